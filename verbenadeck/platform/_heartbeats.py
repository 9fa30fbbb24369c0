"""Heartbeats of instances, decoded into the product's own types."""

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
from verbenadeck.platform._units import (
    Address,
    read_address,
    read_time_s,
    write_time,
)

_STATES = MappingProxyType({'ready': False, 'draining': True})
_MALFORMED = (KeyError, TypeError, ValueError, AttributeError)
MAX_REPLY_BYTES = 4096
"""Longest answer to a heartbeat that an instance reads."""


class InstanceHeartbeat(msgspec.Struct, frozen=True):
    """One heartbeat of an instance.

    Parameters
    ----------
    instance : str
        Name of the instance; may stay the same when it starts again.
    born_ms : int
        Unix time of its start, in milliseconds; tells its lives apart.
    sequence : int
        Number of the heartbeat in its life.
    service : ServiceName
        Service that it provides.
    address : Address
        Where it takes requests.
    slots : int
        Requests it can run at once.
    is_draining : bool
        Whether it leaves soon.
    cold_s : float
        Seconds for which it stays cold.
    holds : HoldReport
        What it holds and has released.
    """

    instance: str
    born_ms: int
    sequence: int
    service: ServiceName
    address: Address
    slots: int
    is_draining: bool
    cold_s: float
    holds: HoldReport

    @property
    def instance_id(self) -> str:
        """Identity of this life of the instance."""
        return instance_id_of(self.instance, self.born_ms)


class HeartbeatError(msgspec.Struct, frozen=True):
    """A heartbeat can't be read; it names no instance to use."""

    detail: str


def instance_id_of(instance: str, born_ms: int) -> str:
    """Return the identity of one life of an instance."""
    return f'{instance}@{born_ms}'


def read_heartbeat(
    instance: str, body: bytes
) -> Result[InstanceHeartbeat, HeartbeatError]:
    """Return a heartbeat, or why it can't be read."""
    try:
        return Success(_convert(instance, msgspec.json.decode(body)))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(HeartbeatError(f'not readable: {error}'))
    except _MALFORMED as error:
        return Failure(HeartbeatError(f'bad field {error!r}'))


def write_reply(reply: HoldReply | None) -> bytes:
    """Return the body of the answer to a heartbeat.

    Examples
    --------
    >>> write_reply(None)
    b'{}'
    >>> write_reply(HoldReply((HeldRange(0, 9, 7),), 2.5))
    b'{"holds":[[0,9,7,""]],"hold_time":"2500ms"}'
    """
    if reply is None:
        return b'{}'
    rows = [
        [row.first_key, row.last_key, row.fence, row.handover]
        for row in reply.held
    ]
    return msgspec.json.encode(
        {'holds': rows, 'hold_time': write_time(reply.hold_s)}
    )


def _convert(instance: str, raw: dict[str, Any]) -> InstanceHeartbeat:
    told = raw['info']
    status = raw['status']
    born_ms = _whole(raw['born'])
    return InstanceHeartbeat(
        instance=_name(instance),
        born_ms=born_ms,
        sequence=_whole(status['sequence']),
        service=ServiceName(_name(told['service'])),
        address=read_address(raw['address']),
        slots=_whole(told['slots']),
        is_draining=_STATES[status['state']],
        cold_s=read_time_s(status.get('coldRemaining', '0ms')),
        holds=_holds(instance_id_of(instance, born_ms), raw),
    )


def _holds(instance_id: str, raw: dict[str, Any]) -> HoldReport:
    held = raw.get('holds') or ()
    freed = raw.get('freed') or ()
    return HoldReport(
        instance_id,
        tuple(
            HeldRange(_whole(first), _whole(last), Fence(_whole(fence)))
            for first, last, fence in held
        ),
        tuple(
            KeyHandover(_whole(first), _whole(last), str(text))
            for first, last, text in freed
        ),
    )


def _whole(number: object) -> int:
    if isinstance(number, bool) or not isinstance(number, int):
        raise TypeError('no whole number')
    return number


def _name(text: object) -> str:
    if not isinstance(text, str) or not text:
        raise TypeError('no name')
    return text
