"""Datagrams that a member and its witnesses exchange."""

from verbenadeck.model import Era, Incarnation
from verbenadeck.peers import Message


class Heartbeat(Message, frozen=True, array_like=True, tag='heartbeat'):
    """Request of a member to a witness to renew its lease or to answer.

    A member that has not heard from a witness lately asks only for an answer
    first. Otherwise a member that its witnesses can't reach would be renewed
    for ever without receiving an acknowledgement: it could neither serve nor
    be evicted.

    Parameters
    ----------
    member : Incarnation
        Member that sends the heartbeat.
    witness : Incarnation
        Witness that receives it; a later incarnation there does not answer.
    sent_s : float
        Moment of sending on the member's boot clock, in seconds.
    is_renewal : bool
        Whether the witness is to renew the lease.
    era : Era
        Era of the log that the member's state is from. A witness renews only
        leases of its own era.
    """

    member: Incarnation
    witness: Incarnation
    sent_s: float
    is_renewal: bool
    era: Era = Era(0)


class HeartbeatAck(Message, frozen=True, array_like=True, tag='heartbeat-ack'):
    """Acknowledgement of a heartbeat, which repeats its fields.

    Parameters
    ----------
    member, witness : Incarnation
        As in the heartbeat.
    sent_s : float
        As in the heartbeat.
    is_renewal : bool
        Whether the witness renewed the lease.
    era : Era
        As in the heartbeat.
    """

    member: Incarnation
    witness: Incarnation
    sent_s: float
    is_renewal: bool
    era: Era = Era(0)


MESSAGE_TYPES: tuple[type[Message], ...] = (Heartbeat, HeartbeatAck)
