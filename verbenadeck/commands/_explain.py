"""Command `explain`: traces one request through the log files of nodes."""

import gzip
import sys
from collections import deque
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec
from absl import flags
from returns.result import Failure, Success

from verbenadeck.commands._command import Command, CommandResult, Invocation
from verbenadeck.commands._outcomes import CommandError, ExitCode

_STDIN_PATH = '-'
_GZIP_SUFFIX = '.gz'
_MAX_STATE_LINES = 5
"""Maximum number of state changes shown before a request, per source."""

_STATE_PARTS = frozenset(
    (
        'routes',
        'membership',
        'lease',
        'operators',
        'control',
        'upstream',
        'node',
    )
)


_StateLines = dict[str, 'deque[LogLine]']
_LogSource = tuple[str, Iterable[str]]


class LogLine(msgspec.Struct, frozen=True):
    """Structured line of a node's log file.

    Parameters
    ----------
    time_s : float
        Unix time, in seconds.
    level : str
        Name of the log level.
    part : str
        Part of the node that logged the line.
    message : str
        Decision or state change that is logged.
    source : str
        File or node that the line comes from.
    """

    time_s: float
    level: str
    part: str
    message: str
    source: str = ''


def select_request_lines(
    request_id: str, sources: Iterable[_LogSource]
) -> list[LogLine]:
    """Select the lines of a request and the state changes before them.

    Parameters
    ----------
    request_id : str
        Id of the request, as the caller knows it.
    sources : iterable of (str, iterable of str)
        Name and lines of each file. If a line has text before its JSON
        object, such as a node name added by a log collector, the last word
        of that text becomes the line's source instead of the file name.

    Returns
    -------
    list of LogLine
        Selected lines, ordered by time.
    """
    found: list[LogLine] = []
    for name, lines in sources:
        found.extend(_select_from_source(request_id, name, lines))
    return sorted(found, key=lambda line: line.time_s)


def _select_from_source(
    request_id: str, name: str, lines: Iterable[str]
) -> Iterator[LogLine]:
    state_lines: _StateLines = {}
    for text in lines:
        line = _parse_line(text, name)
        if line is None:
            continue
        if request_id in line.message:
            yield from state_lines.pop(line.source, ())
            yield line
        elif line.part in _STATE_PARTS:
            recent_lines = state_lines.setdefault(
                line.source, deque(maxlen=_MAX_STATE_LINES)
            )
            recent_lines.append(line)


def _parse_line(text: str, name: str) -> LogLine | None:
    """Parse a line; return None if it is not a structured log line."""
    prefix, brace, rest = text.partition('{')
    try:
        line = msgspec.json.decode(brace + rest, type=LogLine)
    except msgspec.MsgspecError:
        return None
    words = prefix.split()
    return msgspec.structs.replace(line, source=words[-1] if words else name)


def _read_lines(path: str) -> Iterator[str]:
    if path == _STDIN_PATH:
        yield from sys.stdin
        return
    if path.endswith(_GZIP_SUFFIX):
        with gzip.open(path, 'rt', errors='replace') as gzip_file:
            yield from gzip_file
        return
    with Path(path).open(errors='replace') as text_file:
        yield from text_file


def _define_explain_flags(flag_values: flags.FlagValues) -> None:
    flags.DEFINE_list(
        'files',
        [_STDIN_PATH],
        'Log files of nodes, plain text or .gz; - is standard input.',
        flag_values=flag_values,
    )


async def _run_explain(invocation: Invocation) -> CommandResult:
    request_id = invocation.arguments[0]
    paths = invocation.flag('files')
    try:
        found = select_request_lines(
            request_id, ((path, _read_lines(path)) for path in paths)
        )
    except OSError as error:
        return Failure(CommandError(ExitCode.INVALID, str(error)))
    if not any(request_id in line.message for line in found):
        text = f'no log line of request {request_id} found'
        return Failure(CommandError(ExitCode.NOT_FOUND, text))
    start_s = found[0].time_s
    for line in found:
        mark = '>' if request_id in line.message else ' '
        after_s = line.time_s - start_s
        invocation.environment.write(
            f'{mark} {after_s:8.3f} s  {line.source}  {line.part}: '
            f'{line.message}'
        )
    return Success(ExitCode.DONE)


EXPLAIN = Command(
    name='explain',
    usage=('REQUEST_ID',),
    summary='Trace one request through the log files of nodes.',
    run=_run_explain,
    define_flags=(_define_explain_flags,),
    details=(
        'Lines of the request are marked with >; before them come the last '
        'state changes that each node logged.'
    ),
)
