"""Reasons for which messages of instances are refused."""

import enum

import msgspec
from returns.result import Failure

from verbenadeck.adapters import OrderFault

_MAX_DETAIL_LENGTH = 200


class HeartbeatFault(enum.Enum):
    """Reason for refusing a heartbeat; also the end of its counter's name."""

    MALFORMED = 'malformed'
    TOO_LONG = 'too_long'
    OTHER_SERVICE = 'other_service'
    OTHER_ADDRESS = 'other_address'
    OTHER_ZONE = 'other_zone'
    NO_LISTS = 'no_lists'
    UNEXPECTED_LISTS = 'unexpected_lists'
    OTHER_INSTANCE = 'other_instance'
    NOT_RECORDED = 'not_recorded'


class HeartbeatError(msgspec.Struct, frozen=True):
    """Heartbeat that was refused, with the cause for logs."""

    fault: HeartbeatFault | OrderFault
    detail: str


def refuse_heartbeat(
    fault: HeartbeatFault | OrderFault, detail: str
) -> Failure[HeartbeatError]:
    """Return the result of a heartbeat that is refused.

    Parameters
    ----------
    fault : HeartbeatFault or OrderFault
        Reason.
    detail : str
        Cause, for logs.
    """
    return Failure(HeartbeatError(fault, detail[:_MAX_DETAIL_LENGTH]))
