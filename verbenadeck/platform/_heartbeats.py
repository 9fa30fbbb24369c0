"""Decoding of instances' heartbeats and encoding of the replies."""

from types import MappingProxyType
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.adapters import (
    HeldRange,
    HoldReply,
    HoldReport,
    KeyHandover,
)
from verbenadeck.model import Fence, ServiceName
from verbenadeck.platform._fields import (
    read_int,
    read_name,
    read_range,
    read_text,
)
from verbenadeck.platform._units import (
    DECODE_ERRORS,
    Address,
    read_address,
    read_time_s,
    write_time,
)

_IS_DRAINING_BY_STATE = MappingProxyType({'ready': False, 'draining': True})
MAX_REPLY_BYTES = 4096
"""Longest reply to a heartbeat that an instance reads, in bytes."""


class InstanceHeartbeat(msgspec.Struct, frozen=True):
    """One heartbeat of an instance.

    Parameters
    ----------
    instance : str
        Name of the instance; may stay the same after a restart.
    started_at_ms : int
        Unix time of its start in milliseconds; distinguishes its restarts.
    sequence : int
        Number of the heartbeat since its start.
    service : ServiceName
        Service that it provides.
    address : Address
        Address at which it accepts requests.
    slots : int
        Requests that it can run at the same time.
    is_draining : bool
        Whether it is about to stop.
    cold_remaining_s : float
        Seconds until its cold start is over.
    holds : HoldReport
        Keys that it holds and keys that it has released.
    """

    instance: str
    started_at_ms: int
    sequence: int
    service: ServiceName
    address: Address
    slots: int
    is_draining: bool
    cold_remaining_s: float
    holds: HoldReport

    @property
    def instance_id(self) -> str:
        """Identity of the instance since its last start."""
        return make_instance_id(self.instance, self.started_at_ms)


class HeartbeatError(msgspec.Struct, frozen=True):
    """Heartbeat that could not be decoded, with the cause for logs."""

    detail: str


def make_instance_id(instance: str, started_at_ms: int) -> str:
    """Return the identity of an instance, which changes with every start.

    Parameters
    ----------
    instance : str
        Name of the instance.
    started_at_ms : int
        Unix time of its start, in milliseconds.
    """
    return f'{instance}@{started_at_ms}'


def read_heartbeat(
    instance: str, body: bytes, *, key_space: int
) -> Result[InstanceHeartbeat, HeartbeatError]:
    """Return the heartbeat in a request body, or why it can't be decoded.

    Parameters
    ----------
    instance : str
        Name of the instance from the path of the request.
    body : bytes
        Body of the request.
    key_space : int
        Number of keys of a service; keys beyond it do not exist.
    """
    try:
        body_fields = msgspec.json.decode(body)
        return Success(
            _decode_heartbeat(instance, body_fields, key_space=key_space)
        )
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(HeartbeatError(f'invalid JSON: {error}'))
    except DECODE_ERRORS as error:
        return Failure(HeartbeatError(f'missing or invalid field: {error!r}'))


def write_reply(reply: HoldReply | None) -> bytes:
    """Return the body of the reply to a heartbeat.

    Parameters
    ----------
    reply : HoldReply or None
        Keys that the instance is to hold, None when nothing is renewed.

    Examples
    --------
    >>> write_reply(None)
    b'{}'
    >>> write_reply(HoldReply((HeldRange(0, 9, 7),), 2.5))
    b'{"holds":[[0,9,7,""]],"hold_time":"2500ms"}'
    """
    if reply is None:
        return b'{}'
    hold_rows = [
        [
            held_range.first_key,
            held_range.last_key,
            held_range.fence,
            held_range.handover,
        ]
        for held_range in reply.held
    ]
    return msgspec.json.encode(
        {'holds': hold_rows, 'hold_time': write_time(reply.hold_s)}
    )


def _decode_heartbeat(
    instance: str, body_fields: dict[str, Any], *, key_space: int
) -> InstanceHeartbeat:
    info = body_fields['info']
    status = body_fields['status']
    started_at_ms = read_int(body_fields['born'])
    return InstanceHeartbeat(
        instance=read_name(instance),
        started_at_ms=started_at_ms,
        sequence=read_int(status['sequence']),
        service=ServiceName(read_name(info['service'])),
        address=read_address(body_fields['address']),
        slots=read_int(info['slots']),
        is_draining=_IS_DRAINING_BY_STATE[status['state']],
        cold_remaining_s=read_time_s(status.get('coldRemaining', '0ms')),
        holds=_decode_holds(
            make_instance_id(instance, started_at_ms),
            body_fields,
            key_space=key_space,
        ),
    )


def _decode_holds(
    instance_id: str, body_fields: dict[str, Any], *, key_space: int
) -> HoldReport:
    held = body_fields.get('holds') or ()
    released = body_fields.get('freed') or ()
    return HoldReport(
        instance_id,
        tuple(
            HeldRange(
                *read_range(first, last, stop=key_space), Fence(read_int(fence))
            )
            for first, last, fence in held
        ),
        tuple(
            KeyHandover(
                *read_range(first, last, stop=key_space), read_text(text)
            )
            for first, last, text in released
        ),
    )
