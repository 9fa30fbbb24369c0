"""Datagrams between a member and its witnesses."""

from verbenadeck.model import Incarnation
from verbenadeck.peers import Message


class Heartbeat(Message, frozen=True, array_like=True, tag='heartbeat'):
    """A member asks a witness to renew its lease.

    Parameters
    ----------
    member : Incarnation
        Member that asks.
    witness : Incarnation
        Witness that is asked; a later incarnation there does not answer.
    sent_s : float
        Moment of sending on the member's boot clock.
    """

    member: Incarnation
    witness: Incarnation
    sent_s: float


class HeartbeatAck(Message, frozen=True, array_like=True, tag='heartbeat-ack'):
    """A witness has renewed the lease; echoes the heartbeat."""

    member: Incarnation
    witness: Incarnation
    sent_s: float


MESSAGES: tuple[type[Message], ...] = (Heartbeat, HeartbeatAck)
