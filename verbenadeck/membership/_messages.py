"""Datagrams between a member and its witnesses."""

from verbenadeck.model import Incarnation
from verbenadeck.peers import Message


class Heartbeat(Message, frozen=True, array_like=True, tag='heartbeat'):
    """A member asks a witness to renew its lease, or only to answer.

    A member that has not heard a witness lately asks for an answer first.
    Else a member whose way back from its witnesses is broken would be
    renewed for ever and never know it: it could neither serve nor be
    evicted.

    Parameters
    ----------
    member : Incarnation
        Member that asks.
    witness : Incarnation
        Witness that is asked; a later incarnation there does not answer.
    sent_s : float
        Moment of sending on the member's boot clock.
    is_renewal : bool
        Whether the lease is to be renewed.
    """

    member: Incarnation
    witness: Incarnation
    sent_s: float
    is_renewal: bool


class HeartbeatAck(Message, frozen=True, array_like=True, tag='heartbeat-ack'):
    """A witness answers a heartbeat and echoes it.

    Parameters
    ----------
    member, witness : Incarnation
        As in the heartbeat.
    sent_s : float
        As in the heartbeat.
    is_renewal : bool
        Whether the lease was renewed.
    """

    member: Incarnation
    witness: Incarnation
    sent_s: float
    is_renewal: bool


MESSAGE_TYPES: tuple[type[Message], ...] = (Heartbeat, HeartbeatAck)
