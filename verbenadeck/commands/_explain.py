"""Command `explain`: shows the way of one request from nodes' logs."""

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

_STDIN = '-'
_GZIP_SUFFIX = '.gz'
_BELIEFS_BEFORE = 5
"""Changes of belief shown from before the request, for each file."""

_BELIEF_PARTS = frozenset(
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


_Beliefs = dict[str, 'deque[LogLine]']
_NamedLines = tuple[str, Iterable[str]]


class LogLine(msgspec.Struct, frozen=True):
    """One structured line of a node's log.

    Parameters
    ----------
    time_s : float
        Unix time, in seconds.
    level : str
        Name of the level.
    part : str
        Part of the node that wrote it.
    message : str
        What was decided, or what changed.
    source : str
        File or node that it comes from.
    """

    time_s: float
    level: str
    part: str
    message: str
    source: str = ''


def explain(request_id: str, sources: Iterable[_NamedLines]) -> list[LogLine]:
    """Return the lines of a request and the beliefs around it, in order.

    Parameters
    ----------
    request_id : str
        Id of the request, as the caller knows it.
    sources : iterable of (str, iterable of str)
        Lines of each node, by the name of their file. Text before the
        object of a line, such as the name that a collector puts there, is
        kept as its source.
    """
    found: list[LogLine] = []
    for name, lines in sources:
        found.extend(_of_source(request_id, name, lines))
    return sorted(found, key=lambda line: line.time_s)


def _of_source(
    request_id: str, name: str, lines: Iterable[str]
) -> Iterator[LogLine]:
    before: _Beliefs = {}
    for text in lines:
        line = _read(text, name)
        if line is None:
            continue
        if request_id in line.message:
            yield from before.pop(line.source, ())
            yield line
        elif line.part in _BELIEF_PARTS:
            kept = before.setdefault(line.source, deque(maxlen=_BELIEFS_BEFORE))
            kept.append(line)


def _read(text: str, name: str) -> LogLine | None:
    """Return a line, None for what is no structured one."""
    lead, brace, rest = text.partition('{')
    try:
        line = msgspec.json.decode(brace + rest, type=LogLine)
    except msgspec.MsgspecError:
        return None
    words = lead.split()
    return msgspec.structs.replace(line, source=words[-1] if words else name)


def _open(path: str) -> Iterator[str]:
    if path == _STDIN:
        yield from sys.stdin
        return
    if path.endswith(_GZIP_SUFFIX):
        with gzip.open(path, 'rt', errors='replace') as packed:
            yield from packed
        return
    with Path(path).open(errors='replace') as plain:
        yield from plain


def _define_flags(flag_values: flags.FlagValues) -> None:
    flags.DEFINE_list(
        'files',
        [_STDIN],
        'Log files of nodes, plain or .gz; - is standard input.',
        flag_values=flag_values,
    )


async def _run(invocation: Invocation) -> CommandResult:
    request_id = invocation.arguments[0]
    paths = invocation.flag('files')
    try:
        found = explain(request_id, ((path, _open(path)) for path in paths))
    except OSError as error:
        return Failure(CommandError(ExitCode.INVALID, str(error)))
    if not any(request_id in line.message for line in found):
        text = f'no line of request {request_id}'
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
    summary="Show one request's way through the nodes from their logs.",
    run=_run,
    define_flags=(_define_flags,),
    details=(
        'Lines of the request are marked; before them stand the last '
        'changes of belief of each node.'
    ),
)
