"""Set-up of log lines for a process, and the cheap lines of decisions."""

import atexit
import sys
import time
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING, Literal

from loguru import logger

from verbenadeck.logs._lines import (
    Line,
    Render,
    json_renderer,
    plain_renderer,
)
from verbenadeck.logs._pipe import PipeStream
from verbenadeck.logs._writer import LineWriter, Stream

if TYPE_CHECKING:
    from loguru import Message

Format = Literal['plain', 'json']
Decide = Callable[..., None]
"""Writes one decision: a template with `{}` and its arguments."""

_INFO = 'INFO'
_NO_PART = 'node'
_RENDERERS: Mapping[Format, Callable[[], Render]] = MappingProxyType(
    {
        'plain': plain_renderer,
        'json': json_renderer,
    }
)


class _Current:
    """Writer of this process, None before the set-up."""

    writer: LineWriter | None = None
    is_deciding: bool = True


def open_pipe(descriptor: int, *, line_format: Format) -> PipeStream:
    """Return a stream to a descriptor that drops lines and never blocks.

    Parameters
    ----------
    descriptor : int
        Where lines go, such as that of standard output.
    line_format : {'plain', 'json'}
        Format of the line that tells of dropped ones.
    """
    render = _RENDERERS[line_format]()

    def tell_dropped(count: int) -> str:
        return render(
            Line(
                time.time(),
                'WARNING',
                'logs',
                '{} lines dropped: their reader is too slow',
                (count,),
            )
        )

    return PipeStream(descriptor, tell_dropped=tell_dropped)


def setup_logs(
    *,
    level: str = _INFO,
    line_format: Format = 'plain',
    stream: Stream | None = None,
) -> LineWriter:
    """Send the lines of all parts of this process to one stream.

    Parameters
    ----------
    level : str
        Lowest level that is written; decisions are at `INFO`.
    line_format : {'plain', 'json'}
        Text for people or one JSON object per line.
    stream : Stream or None
        Where lines go; standard error by default.

    Returns
    -------
    LineWriter
        The writer; its `flush` is called at exit.
    """
    teardown_logs()
    writer = LineWriter(stream or sys.stderr, _RENDERERS[line_format]())
    logger.remove()
    logger.add(
        _sink_to(writer),
        level=level,
        format='{message}',
        colorize=False,
        # Tracebacks with values would put callers' data into the log.
        backtrace=False,
        diagnose=False,
    )
    _Current.writer = writer
    _Current.is_deciding = logger.level(level).no <= logger.level(_INFO).no
    atexit.register(writer.flush)
    return writer


def teardown_logs() -> None:
    """Write what is pending and give decisions back to loguru."""
    writer = _Current.writer
    if writer is None:
        return
    writer.flush()
    atexit.unregister(writer.flush)
    logger.remove()
    logger.add(sys.stderr)
    _Current.writer = None
    _Current.is_deciding = True


def make_decision_logger(part: str) -> Decide:
    r"""Return the writer of a part's routing or placement decisions.

    A call takes a template and its arguments, as loguru's `info` does, but
    formats later and writes in batches, in order with all other lines.
    Arguments must not change afterwards. Without `setup_logs`, as in a
    library's caller or a test, the line goes to loguru at once.

    Parameters
    ----------
    part : str
        Fixed prefix of the lines.

    Examples
    --------
    >>> import io
    >>> out = io.StringIO()
    >>> writer = setup_logs(stream=out)
    >>> make_decision_logger('router')('route {} to {}', 'r1', 'suva-1')
    >>> writer.flush()
    >>> out.getvalue()[25:]
    'INFO    router: route r1 to suva-1\n'
    >>> teardown_logs()
    """
    unbuffered = logger.bind(part=part)

    def decide(template: str, /, *arguments: object) -> None:
        writer = _Current.writer
        if writer is None:
            unbuffered.info(template, *arguments)
        elif _Current.is_deciding:
            line = Line(time.time(), _INFO, part, template, arguments)
            writer.add(line)

    return decide


def _sink_to(writer: LineWriter) -> Callable[['Message'], None]:
    def sink(message: 'Message') -> None:
        record = message.record
        part = str(record['extra'].get('part', _NO_PART))
        text = str(message).rstrip('\n')
        level = record['level'].name
        line = Line(record['time'].timestamp(), level, part, text)
        writer.add(line)

    return sink
