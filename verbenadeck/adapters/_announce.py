"""Announcements of upstreams, checked before anything acts on them."""

import ipaddress

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.adapters import wire
from verbenadeck.adapters._upstream import Announcement
from verbenadeck.model import ServiceName

_PORTS = range(1, 65536)
_MAX_SLOTS = 100_000
_MAX_NAME_LENGTH = 200


class AnnounceError(msgspec.Struct, frozen=True):
    """An announcement was refused."""

    detail: str


def read_announcement(body: bytes) -> Result[Announcement, AnnounceError]:
    """Return the announcement in a request body, or why it is malformed.

    Examples
    --------
    >>> read_announcement(b'[]').failure().detail
    'Expected `object`, got `array`'
    """
    try:
        parsed = msgspec.json.decode(body, type=wire.AnnounceBody)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(AnnounceError(str(error)))
    fault = _fault(parsed)
    if fault is not None:
        return Failure(AnnounceError(fault))
    return Success(
        Announcement(
            service=ServiceName(parsed.service),
            instance=parsed.instance,
            host=parsed.host,
            port=parsed.port,
            slots=parsed.slots,
            connections=parsed.connections,
            bearable=parsed.bearable,
        )
    )


def _fault(body: wire.AnnounceBody) -> str | None:
    checks = (
        (_is_name(body.service), 'service is empty or too long'),
        (_is_name(body.instance), 'instance is empty or too long'),
        (_is_ip_address(body.host), 'host is not an IP address'),
        (body.port in _PORTS, 'port is out of range'),
        (0 < body.slots <= _MAX_SLOTS, 'slots are out of range'),
        (0 < body.connections, 'connections must be positive'),
        (0 <= body.bearable <= body.slots, 'bearable is out of range'),
    )
    for is_met, fault in checks:
        if not is_met:
            return fault
    return None


def _is_name(text: str) -> bool:
    return text.isprintable() and 0 < len(text) <= _MAX_NAME_LENGTH


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
