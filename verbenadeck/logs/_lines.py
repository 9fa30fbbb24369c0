"""Lines of the log as text for people or as JSON objects."""

import time
from collections.abc import Callable
from typing import NamedTuple

import msgspec

_MS_PER_S = 1000


class Line(NamedTuple):
    """One line that is not formatted yet.

    Parameters
    ----------
    wall_s : float
        Unix time of the event in seconds.
    level : str
        Name of the level.
    part : str
        Part of the node that speaks.
    template : str
        Message with `{}` in place of its arguments.
    arguments : tuple
        Arguments of the message; immutable, as they are formatted later.
    """

    wall_s: float
    level: str
    part: str
    template: str
    arguments: tuple[object, ...] = ()


Render = Callable[[Line], str]


def plain_renderer() -> Render:
    r"""Return a renderer of text; it formats each second only once.

    Examples
    --------
    >>> plain_renderer()(Line(0.25, 'INFO', 'door', 'admit {}', ('r1',)))
    '1970-01-01T00:00:00.250Z INFO    door: admit r1\n'
    """
    second = -1
    stamp = ''

    def render(line: Line) -> str:
        nonlocal second, stamp
        whole = int(line.wall_s)
        if whole != second:
            second = whole
            stamp = _stamp(whole)
        millis = int((line.wall_s - whole) * _MS_PER_S)
        text = _message(line)
        return f'{stamp}.{millis:03}Z {line.level:7} {line.part}: {text}\n'

    return render


def json_renderer() -> Render:
    r"""Return a renderer of one JSON object per line.

    Examples
    --------
    >>> json_renderer()(Line(0.25, 'INFO', 'door', 'admit {}', ('r1',)))
    '{"time_s":0.25,"level":"INFO","part":"door","message":"admit r1"}\n'
    """
    encode = msgspec.json.Encoder().encode

    def render(line: Line) -> str:
        shown = {
            'time_s': round(line.wall_s, 6),
            'level': line.level,
            'part': line.part,
            'message': _message(line),
        }
        return f'{encode(shown).decode()}\n'

    return render


def _stamp(whole_s: int) -> str:
    return time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(whole_s))


def _message(line: Line) -> str:
    if not line.arguments:
        text = line.template
    else:
        text = line.template.format(*line.arguments)
    return text.replace('\n', r'\n').replace('\r', r'\r')
