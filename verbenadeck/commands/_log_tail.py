"""Command `log tail`: records of the log as JSON lines."""

from typing import Any

import msgspec
from absl import flags
from returns.result import Failure, Success

from verbenadeck.adapters import LogAdapter, LogError, LogFailure, LogPage
from verbenadeck.commands._command import Command, CommandResult, Invocation
from verbenadeck.commands._log_flags import define_log_flags, log_target
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.model import Offset
from verbenadeck.records import ConfigPublished, Envelope, decode_envelope

_PAGE = 256
_READ_WAIT_S = 1.0
_LONG_BYTES = 200


def _define_flags(flag_values: flags.FlagValues) -> None:
    flags.DEFINE_integer(
        'start',
        0,
        'First offset; older ones may be gone.',
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        'limit',
        0,
        'Most records; 0 prints all.',
        lower_bound=0,
        flag_values=flag_values,
    )
    flags.DEFINE_bool(
        'follow',
        default=False,
        help='Wait for further records until the timeout.',
        flag_values=flag_values,
    )


async def _run(invocation: Invocation) -> CommandResult:
    environment = invocation.environment
    opened = log_target(invocation).bind(
        lambda target: environment.open_log(target, environment.clock)
    )
    if not isinstance(opened, Success):
        return Failure(opened.failure())
    adapter = opened.unwrap()
    try:
        return await _tail(invocation, adapter)
    finally:
        await adapter.close()


async def _tail(invocation: Invocation, adapter: LogAdapter) -> CommandResult:
    clock = invocation.environment.clock
    deadline_s = clock.now_s() + invocation.flag('timeout_s')
    offset = Offset(max(0, invocation.flag('start')))
    left = invocation.flag('limit') or float('inf')
    while left > 0 and clock.now_s() < deadline_s:
        page = await adapter.read(
            offset,
            limit=int(min(left, _PAGE)),
            deadline_s=min(deadline_s, clock.now_s() + _READ_WAIT_S),
        )
        match page:
            case Success(LogPage() as found):
                _write_page(invocation, found)
                offset = Offset(found.start_offset + len(found.records))
                left -= len(found.records)
                if not found.records and not invocation.flag('follow'):
                    break
            case Failure(LogError(LogFailure.EXPIRED) as error):
                offset = error.first_offset
            case Failure(error):
                return Failure(_unavailable(error))
    return Success(ExitCode.DONE)


def _write_page(invocation: Invocation, page: LogPage) -> None:
    for index, payload in enumerate(page.records):
        offset = Offset(page.start_offset + index)
        invocation.environment.write(record_line(offset, payload))


def record_line(offset: Offset, payload: bytes) -> str:
    """Return a record as one line of JSON.

    Examples
    --------
    >>> record_line(Offset(7), b'noise').startswith('{"offset":7,"error":')
    True
    """
    decoded = decode_envelope(payload)
    if not isinstance(decoded, Success):
        detail = decoded.failure().detail
        return _json({'offset': offset, 'error': detail})
    envelope = decoded.unwrap()
    return _json(
        {
            'offset': offset,
            'writer': envelope.writer,
            'sequence': envelope.sequence,
            'record': type(envelope.record).__name__,
            'fields': _fields(envelope),
        }
    )


def _fields(envelope: Envelope) -> dict[str, Any]:
    record = envelope.record
    fields = {
        name: _shown(getattr(record, name)) for name in record.__struct_fields__
    }
    if isinstance(record, ConfigPublished):
        fields['document'] = record.document.decode(errors='replace')
    return fields


def _shown(content: object) -> object:
    if isinstance(content, bytes) and len(content) > _LONG_BYTES:
        return f'{len(content)} bytes'
    return content


def _json(line: dict[str, Any]) -> str:
    return msgspec.json.encode(line).decode()


def _unavailable(error: LogError) -> CommandError:
    return CommandError(
        ExitCode.UNAVAILABLE,
        f'the log is not readable: {error.detail}',
        'Check URL and stream, and whether the log is up.',
    )


LOG_TAIL = Command(
    name='log tail',
    usage=(),
    summary='Print records of the log, one JSON object a line.',
    run=_run,
    define_flags=(define_log_flags, _define_flags),
)
