"""Command `log tail`: prints records of the log as JSON lines."""

from typing import Any

import msgspec
from absl import flags
from returns.result import Failure, Success

from verbenadeck.adapters import LogAdapter, LogError, LogFailure, LogPage
from verbenadeck.commands._command import Command, CommandResult, Invocation
from verbenadeck.commands._log_flags import define_log_flags, parse_log_target
from verbenadeck.commands._outcomes import CommandError, ExitCode
from verbenadeck.model import Offset
from verbenadeck.records import ConfigPublished, Envelope, decode_envelope

_MAX_PAGE_RECORDS = 256
_READ_TIMEOUT_S = 1.0
_MAX_SHOWN_BYTES = 200


def _define_tail_flags(flag_values: flags.FlagValues) -> None:
    flags.DEFINE_integer(
        'start',
        0,
        'First offset; starts later if the log has expired it.',
        flag_values=flag_values,
    )
    flags.DEFINE_integer(
        'limit',
        0,
        'Maximum number of records; 0 prints all.',
        lower_bound=0,
        flag_values=flag_values,
    )
    flags.DEFINE_bool(
        'follow',
        default=False,
        help='Wait for further records until the timeout.',
        flag_values=flag_values,
    )


async def _run_log_tail(invocation: Invocation) -> CommandResult:
    environment = invocation.environment
    opened = parse_log_target(invocation).bind(
        lambda target: environment.open_log(target, environment.clock)
    )
    if not isinstance(opened, Success):
        return Failure(opened.failure())
    adapter = opened.unwrap()
    try:
        return await _print_records(invocation, adapter)
    finally:
        await adapter.close()


async def _print_records(
    invocation: Invocation, adapter: LogAdapter
) -> CommandResult:
    clock = invocation.environment.clock
    deadline_s = clock.now_s() + invocation.flag('timeout_s')
    offset = Offset(max(0, invocation.flag('start')))
    remaining_records = invocation.flag('limit') or float('inf')
    while remaining_records > 0 and clock.now_s() < deadline_s:
        page = await adapter.read(
            offset,
            limit=int(min(remaining_records, _MAX_PAGE_RECORDS)),
            deadline_s=min(deadline_s, clock.now_s() + _READ_TIMEOUT_S),
        )
        match page:
            case Success(LogPage() as records_page):
                _write_page(invocation, records_page)
                offset = Offset(
                    records_page.start_offset + len(records_page.records)
                )
                remaining_records -= len(records_page.records)
                if not records_page.records and not invocation.flag('follow'):
                    break
            case Failure(LogError(LogFailure.EXPIRED) as error):
                offset = error.first_offset
            case Failure(error):
                return Failure(_make_unavailable_error(error))
    return Success(ExitCode.DONE)


def _write_page(invocation: Invocation, page: LogPage) -> None:
    for index, payload in enumerate(page.records):
        offset = Offset(page.start_offset + index)
        invocation.environment.write(format_record_line(offset, payload))


def format_record_line(offset: Offset, payload: bytes) -> str:
    """Format a record as one line of JSON.

    Parameters
    ----------
    offset : Offset
        Offset of the record.
    payload : bytes
        Encoded record; one that cannot be decoded gives a line with the error.

    Examples
    --------
    >>> line = format_record_line(Offset(7), b'noise')
    >>> line.startswith('{"offset":7,"error":')
    True
    """
    decoded = decode_envelope(payload)
    if not isinstance(decoded, Success):
        detail = decoded.failure().detail
        return _encode_json({'offset': offset, 'error': detail})
    envelope = decoded.unwrap()
    return _encode_json(
        {
            'offset': offset,
            'writer': envelope.writer,
            'sequence': envelope.sequence,
            'record': type(envelope.record).__name__,
            'fields': _collect_fields(envelope),
        }
    )


def _collect_fields(envelope: Envelope) -> dict[str, Any]:
    record = envelope.record
    fields = {
        name: _shorten_bytes(getattr(record, name))
        for name in record.__struct_fields__
    }
    if isinstance(record, ConfigPublished):
        fields['document'] = record.document.decode(errors='replace')
    return fields


def _shorten_bytes(field_content: object) -> object:
    if (
        isinstance(field_content, bytes)
        and len(field_content) > _MAX_SHOWN_BYTES
    ):
        return f'{len(field_content)} bytes'
    return field_content


def _encode_json(line: dict[str, Any]) -> str:
    return msgspec.json.encode(line).decode()


def _make_unavailable_error(error: LogError) -> CommandError:
    return CommandError(
        ExitCode.UNAVAILABLE,
        f'the log cannot be read: {error.detail}',
        'Check the URL and the stream, and whether the log is up.',
    )


LOG_TAIL = Command(
    name='log tail',
    usage=(),
    summary='Print records of the log, one JSON object per line.',
    run=_run_log_tail,
    define_flags=(define_log_flags, _define_tail_flags),
)
