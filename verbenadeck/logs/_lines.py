"""Rendering of log lines as plain text or as JSON objects."""

import time
from collections.abc import Callable
from typing import NamedTuple

import msgspec

_MS_PER_S = 1000


class Line(NamedTuple):
    """Log line whose message is not formatted yet.

    Parameters
    ----------
    wall_s : float
        Unix time of the event in seconds.
    level : str
        Name of the log level.
    part : str
        Part of the node that logs the line.
    template : str
        Message with `{}` as the placeholder of each argument.
    arguments : tuple
        Arguments of the message; immutable, since they are formatted later.
    """

    wall_s: float
    level: str
    part: str
    template: str
    arguments: tuple[object, ...] = ()


Render = Callable[[Line], str]


def plain_renderer() -> Render:
    r"""Return a renderer of plain text.

    The date and time is formatted once for all lines of one second.

    Examples
    --------
    >>> plain_renderer()(Line(0.25, 'INFO', 'door', 'admit {}', ('r1',)))
    '1970-01-01T00:00:00.250Z INFO    door: admit r1\n'
    """
    rendered_second_s = -1
    timestamp = ''

    def render(line: Line) -> str:
        nonlocal rendered_second_s, timestamp
        whole_s = int(line.wall_s)
        if whole_s != rendered_second_s:
            rendered_second_s = whole_s
            timestamp = _format_timestamp(whole_s)
        millis = int((line.wall_s - whole_s) * _MS_PER_S)
        text = _format_message(line)
        return f'{timestamp}.{millis:03}Z {line.level:7} {line.part}: {text}\n'

    return render


def json_renderer() -> Render:
    r"""Return a renderer of one JSON object for each line.

    Examples
    --------
    >>> json_renderer()(Line(0.25, 'INFO', 'door', 'admit {}', ('r1',)))
    '{"time_s":0.25,"level":"INFO","part":"door","message":"admit r1"}\n'
    """
    encode = msgspec.json.Encoder().encode

    def render(line: Line) -> str:
        entry = {
            'time_s': round(line.wall_s, 6),
            'level': line.level,
            'part': line.part,
            'message': _format_message(line),
        }
        return f'{encode(entry).decode()}\n'

    return render


def _format_timestamp(whole_s: int) -> str:
    return time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(whole_s))


def _format_message(line: Line) -> str:
    if not line.arguments:
        text = line.template
    else:
        text = line.template.format(*line.arguments)
    return text.replace('\n', r'\n').replace('\r', r'\r')
