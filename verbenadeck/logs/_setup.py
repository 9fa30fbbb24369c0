"""Set-up of logging for a process, and buffered logging of decisions."""

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
"""Function that logs a decision: a template with `{}` and its arguments."""

_INFO = 'INFO'
_DEFAULT_PART = 'node'
_RENDERERS: Mapping[Format, Callable[[], Render]] = MappingProxyType(
    {
        'plain': plain_renderer,
        'json': json_renderer,
    }
)


class _ProcessLogState:
    """Log writer of this process, None before the set-up, and its level.

    `is_info_enabled` is whether decisions, which have level `INFO`, are logged.
    """

    writer: LineWriter | None = None
    is_info_enabled: bool = True


def open_pipe(descriptor: int, *, line_format: Format) -> PipeStream:
    """Return a non-blocking stream that drops lines if its reader is slow.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to, such as that of standard output.
    line_format : {'plain', 'json'}
        Format of the line that states the number of dropped lines.

    Returns
    -------
    PipeStream
        The stream.
    """
    render = _RENDERERS[line_format]()

    def format_dropped_notice(count: int) -> str:
        return render(
            Line(
                time.time(),
                'WARNING',
                'logs',
                '{} log lines dropped: the reader of the log is too slow',
                (count,),
            )
        )

    return PipeStream(descriptor, format_dropped_notice=format_dropped_notice)


def setup_logs(
    *,
    level: str = _INFO,
    line_format: Format = 'plain',
    stream: Stream | None = None,
) -> LineWriter:
    """Write the log lines of all parts of this process to one stream.

    Parameters
    ----------
    level : str
        Minimum level of lines that are written; decisions have `INFO`.
    line_format : {'plain', 'json'}
        Plain text or one JSON object for each line.
    stream : Stream or None
        Stream to write to; standard error by default.

    Returns
    -------
    LineWriter
        The writer; its `flush` is called at the exit of the process.
    """
    teardown_logs()
    writer = LineWriter(stream or sys.stderr, _RENDERERS[line_format]())
    logger.remove()
    logger.add(
        _make_sink(writer),
        level=level,
        format='{message}',
        colorize=False,
        # Tracebacks with values of variables would leak callers' data into
        # the log.
        backtrace=False,
        diagnose=False,
    )
    _ProcessLogState.writer = writer
    _ProcessLogState.is_info_enabled = (
        logger.level(level).no <= logger.level(_INFO).no
    )
    atexit.register(writer.flush)
    return writer


def teardown_logs() -> None:
    """Flush pending lines and restore the default configuration of loguru."""
    writer = _ProcessLogState.writer
    if writer is None:
        return
    writer.flush()
    atexit.unregister(writer.flush)
    logger.remove()
    logger.add(sys.stderr)
    _ProcessLogState.writer = None
    _ProcessLogState.is_info_enabled = True


def make_decision_logger(part: str) -> Decide:
    r"""Return a function that logs routing or placement decisions of a part.

    The function accepts a template and its arguments, as loguru's `info`
    does, but formats later and writes in batches, in order with all other
    lines. Arguments must not change after the call. Without `setup_logs`, as
    in a test or an application that uses the library, loguru writes the line
    at once.

    Parameters
    ----------
    part : str
        Part of the node that the lines are attributed to.

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
    direct_logger = logger.bind(part=part)

    def decide(template: str, /, *arguments: object) -> None:
        writer = _ProcessLogState.writer
        if writer is None:
            direct_logger.info(template, *arguments)
        elif _ProcessLogState.is_info_enabled:
            line = Line(time.time(), _INFO, part, template, arguments)
            writer.add(line)

    return decide


def _make_sink(writer: LineWriter) -> Callable[['Message'], None]:
    def sink(message: 'Message') -> None:
        record = message.record
        part = str(record['extra'].get('part', _DEFAULT_PART))
        text = str(message).rstrip('\n')
        level = record['level'].name
        line = Line(record['time'].timestamp(), level, part, text)
        writer.add(line)

    return sink
