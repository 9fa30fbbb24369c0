"""Decoding and validation of the announcements that upstreams send."""

import ipaddress

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.adapters import wire
from verbenadeck.adapters._upstream import MAX_SLOTS, Announcement
from verbenadeck.model import ServiceName

_VALID_PORTS = range(1, 65536)
_MAX_NAME_LENGTH = 200


class AnnounceError(msgspec.Struct, frozen=True):
    """Announcement that was refused, with the cause for the upstream."""

    detail: str


def read_announcement(body: bytes) -> Result[Announcement, AnnounceError]:
    """Return the announcement in a request body, or why it is malformed.

    Parameters
    ----------
    body : bytes
        Body of the request, in JSON.

    Examples
    --------
    >>> read_announcement(b'[]').failure().detail
    'Expected `object`, got `array`'
    """
    try:
        announce_body = msgspec.json.decode(body, type=wire.AnnounceBody)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(AnnounceError(str(error)))
    fault = _find_fault(announce_body)
    if fault is not None:
        return Failure(AnnounceError(fault))
    return Success(
        Announcement(
            service=ServiceName(announce_body.service),
            instance=announce_body.instance,
            host=announce_body.host,
            port=announce_body.port,
            slots=announce_body.slots,
            connections=announce_body.connections,
            bearable=announce_body.bearable,
        )
    )


def _find_fault(body: wire.AnnounceBody) -> str | None:
    checks = (
        (_is_valid_name(body.service), 'service is empty or too long'),
        (_is_valid_name(body.instance), 'instance is empty or too long'),
        (_is_ip_address(body.host), 'host is not an IP address'),
        (body.port in _VALID_PORTS, 'port is out of range'),
        (0 < body.slots <= MAX_SLOTS, 'slots are out of range'),
        (0 < body.connections, 'connections must be positive'),
        (0 <= body.bearable <= body.slots, 'bearable is out of range'),
    )
    for is_met, fault in checks:
        if not is_met:
            return fault
    return None


def _is_valid_name(text: str) -> bool:
    return text.isprintable() and 0 < len(text) <= _MAX_NAME_LENGTH


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
