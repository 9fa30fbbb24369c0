"""Decoding of instances' heartbeats and encoding of the replies."""

from types import MappingProxyType
from typing import Any

import msgspec
from returns.result import Result, Success

from verbenadeck.adapters import (
    MAX_SLOTS,
    HeldRange,
    HoldReply,
    HoldReport,
    KeyHandover,
)
from verbenadeck.model import Fence, ServiceName, Zone
from verbenadeck.platform._fields import (
    read_int,
    read_name,
    read_range,
    read_text,
)
from verbenadeck.platform._refusals import (
    HeartbeatError,
    HeartbeatFault,
    refuse_heartbeat,
)
from verbenadeck.platform._units import (
    DECODE_ERRORS,
    Address,
    read_address,
    read_time_s,
    write_time,
)

_IS_DRAINING_BY_STATE = MappingProxyType({'ready': False, 'draining': True})
_LIST_FIELDS = frozenset(('holds', 'freed'))
_MAX_COLD_S = 3600.0
_BODY_ERRORS = (msgspec.MsgspecError, *DECODE_ERRORS)
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
    holds : HoldReport or None
        Keys that it holds and keys that it has released, None when it lists
        neither.
    """

    instance: str
    started_at_ms: int
    sequence: int
    service: ServiceName
    address: Address
    slots: int
    is_draining: bool
    cold_remaining_s: float
    holds: HoldReport | None

    @property
    def instance_id(self) -> str:
        """Identity of the instance since its last start."""
        return make_instance_id(self.instance, self.started_at_ms)


class Deregistration(msgspec.Struct, frozen=True):
    """Message of an instance that it leaves now.

    Parameters
    ----------
    instance : str
        Name of the instance.
    started_at_ms : int or None
        Unix time of its start in milliseconds, None when it does not say.
    """

    instance: str
    started_at_ms: int | None

    def is_of(self, heartbeat: InstanceHeartbeat) -> bool:
        """Return whether the instance that sent a heartbeat sent this.

        Parameters
        ----------
        heartbeat : InstanceHeartbeat
            Heartbeat to compare with.
        """
        return self.instance == heartbeat.instance and (
            self.started_at_ms in {None, heartbeat.started_at_ms}
        )


class ExpectedUpstream(msgspec.Struct, frozen=True):
    """What a node knows of the instance beside it without its heartbeats.

    Parameters
    ----------
    service : ServiceName
        Service that it provides.
    address : Address
        Address at which it accepts requests.
    zone : Zone
        Availability zone.
    key_space : int
        Number of keys of a service; keys beyond it do not exist.
    """

    service: ServiceName
    address: Address
    zone: Zone
    key_space: int


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
    instance: str, body: bytes, expected: ExpectedUpstream
) -> Result[InstanceHeartbeat, HeartbeatError]:
    """Return the heartbeat in a request body, or why it is refused.

    It may come from another writer. It is refused as a whole when any field
    is malformed or contradicts what the node knows of the instance.

    Parameters
    ----------
    instance : str
        Name of the instance from the path of the request.
    body : bytes
        Body of the request.
    expected : ExpectedUpstream
        What the node knows of the instance beside it.
    """
    try:
        return _decode_heartbeat(instance, msgspec.json.decode(body), expected)
    except _BODY_ERRORS as error:
        return refuse_heartbeat(HeartbeatFault.MALFORMED, repr(error))


def read_deregistration(
    instance: str, body: bytes
) -> Result[Deregistration, HeartbeatError]:
    """Return the message that an instance leaves, or why it is refused.

    Parameters
    ----------
    instance : str
        Name of the instance from the path of the request.
    body : bytes
        Body of the request; empty when it says nothing of its start.
    """
    try:
        started_at_ms = (
            read_int(msgspec.json.decode(body)['born']) if body else None
        )
    except _BODY_ERRORS as error:
        return refuse_heartbeat(HeartbeatFault.MALFORMED, repr(error))
    return Success(Deregistration(instance, started_at_ms))


def read_hold_report(
    heartbeat: InstanceHeartbeat, *, is_keyed: bool | None
) -> Result[HoldReport | None, HeartbeatError]:
    """Return the keys in a heartbeat; None while it says nothing of them.

    Instances of a keyed service list the keys that they hold, all others hold
    none. Before the configuration is known, one that lists none may hold any.

    Parameters
    ----------
    heartbeat : InstanceHeartbeat
        Decoded heartbeat.
    is_keyed : bool or None
        Whether its service has keys, None while that is not known.
    """
    report = heartbeat.holds
    if is_keyed and report is None:
        return refuse_heartbeat(
            HeartbeatFault.NO_LISTS, 'it does not list the keys it holds'
        )
    if is_keyed is False and report is not None and report.is_any_listed:
        return refuse_heartbeat(
            HeartbeatFault.UNEXPECTED_LISTS,
            'it lists keys of a service without keys',
        )
    if is_keyed is False and report is None:
        report = HoldReport(heartbeat.instance_id, (), ())
    return Success(report)


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
    body = _encode_reply(reply)
    if len(body) <= MAX_REPLY_BYTES:
        return body
    # Keys without a handover are slow for a while; those of a reply that the
    # instance does not read are not held at all.
    held = tuple(
        msgspec.structs.replace(each, handover='') for each in reply.held
    )
    return _encode_reply(HoldReply(held, reply.hold_s))


def _encode_reply(reply: HoldReply) -> bytes:
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
    instance: str, body_fields: dict[str, Any], expected: ExpectedUpstream
) -> Result[InstanceHeartbeat, HeartbeatError]:
    info = body_fields['info']
    status = body_fields['status']
    address = read_address(body_fields['address'])
    for fault, found, known in (
        (HeartbeatFault.OTHER_SERVICE, info['service'], expected.service),
        (HeartbeatFault.OTHER_ADDRESS, address, expected.address),
        (HeartbeatFault.OTHER_ZONE, info['zone'], expected.zone),
    ):
        if found != known:
            return refuse_heartbeat(fault, f'{found!r} in place of {known!r}')
    # Not used, but a heartbeat without it is not one of an instance.
    read_text(info['version'])
    started_at_ms = read_int(body_fields['born'])
    return Success(
        InstanceHeartbeat(
            instance=read_name(instance),
            started_at_ms=started_at_ms,
            sequence=read_int(status['sequence']),
            service=expected.service,
            address=address,
            slots=read_int(info['slots'], least=1, most=MAX_SLOTS),
            is_draining=_IS_DRAINING_BY_STATE[status['state']],
            cold_remaining_s=_read_cold_s(status['coldRemaining']),
            holds=_decode_holds(
                make_instance_id(instance, started_at_ms),
                body_fields,
                key_space=expected.key_space,
            ),
        )
    )


def _decode_holds(
    instance_id: str, body_fields: dict[str, Any], *, key_space: int
) -> HoldReport | None:
    if not _LIST_FIELDS & body_fields.keys():
        return None
    held = _read_list(body_fields['holds'])
    released = _read_list(body_fields['freed'])
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


def _read_list(rows: object) -> list[Any]:
    if not isinstance(rows, list):
        raise TypeError('expected a list')
    return rows


def _read_cold_s(text: object) -> float:
    cold_s = read_time_s(text)
    if not 0 <= cold_s <= _MAX_COLD_S:
        raise ValueError('cold start out of range')
    return cold_s
