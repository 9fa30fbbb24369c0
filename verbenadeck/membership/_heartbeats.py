"""Heartbeats of this node to its witnesses."""

from collections.abc import Callable, Iterable

from verbenadeck.fleet import FleetView
from verbenadeck.membership._messages import Heartbeat, HeartbeatAck
from verbenadeck.membership._renewals import Renewals
from verbenadeck.model import NO_MEMBER, Incarnation
from verbenadeck.peers import PeerAddress, PeerPort
from verbenadeck.utils import Clock


class Heartbeats:
    """Sends heartbeats and notes the renewals that come back."""

    def __init__(
        self,
        *,
        clock: Clock,
        port: PeerPort,
        fleet: FleetView,
        renewals: Renewals,
        incarnation: Callable[[], Incarnation],
    ) -> None:
        self._clock = clock
        self._port = port
        self._fleet = fleet
        self._renewals = renewals
        self._incarnation = incarnation
        port.handle(HeartbeatAck, self._on_ack)

    def send(self, witnesses: Iterable[Incarnation]) -> None:
        """Send one heartbeat to each witness."""
        own = self._incarnation()
        if own == NO_MEMBER:
            return
        for witness in witnesses:
            member = self._fleet.members.get(witness)
            if member is None:
                continue
            beat = Heartbeat(own, witness, self._clock.now_s())
            self._port.notify(member.address, beat)

    async def _on_ack(self, _source: PeerAddress, ack: HeartbeatAck) -> None:
        if ack.member == self._incarnation():
            self._renewals.renew(ack.witness, ack.sent_s)
