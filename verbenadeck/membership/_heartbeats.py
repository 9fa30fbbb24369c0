"""Heartbeats from this node to its witnesses."""

from collections.abc import Callable, Iterable

from verbenadeck.fleet import FleetTables
from verbenadeck.membership._messages import Heartbeat, HeartbeatAck
from verbenadeck.membership._renewals import Renewals
from verbenadeck.model import NO_MEMBER, Incarnation
from verbenadeck.peers import PeerAddress, PeerTransport
from verbenadeck.utils import Clock


class Heartbeats:
    """Sender of heartbeats, which records the acknowledged renewals.

    Parameters
    ----------
    clock : Clock
        Boot clock of the VM.
    transport : PeerTransport
        Transport to the witnesses.
    fleet : FleetTables
        Members according to the log.
    renewals : Renewals
        Where renewals are recorded.
    probe_after_s : float
        Silence of a witness after which a heartbeat requests no renewal
        before the witness has answered, in seconds.
    incarnation : callable
        Returns the incarnation of this node, `NO_MEMBER` if it has none.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        transport: PeerTransport,
        fleet: FleetTables,
        renewals: Renewals,
        probe_after_s: float,
        incarnation: Callable[[], Incarnation],
    ) -> None:
        self._clock = clock
        self._transport = transport
        self._fleet = fleet
        self._renewals = renewals
        self._probe_after_s = probe_after_s
        self._incarnation = incarnation
        transport.register_handler(HeartbeatAck, self._on_ack)

    def send(self, witnesses: Iterable[Incarnation]) -> None:
        """Send one heartbeat to each witness.

        Parameters
        ----------
        witnesses : iterable of Incarnation
            Members that get a heartbeat.
        """
        for witness in witnesses:
            age_s = self._renewals.age_s(witness)
            self._send_heartbeat(
                witness, is_renewal=age_s <= self._probe_after_s
            )

    def find_silent_witnesses(
        self, witnesses: Iterable[Incarnation]
    ) -> set[Incarnation]:
        """Return the witnesses whose last renewal is too old.

        Parameters
        ----------
        witnesses : iterable of Incarnation
            Witnesses to check.
        """
        return {
            witness
            for witness in witnesses
            if self._renewals.age_s(witness) > self._probe_after_s
        }

    def _send_heartbeat(
        self, witness: Incarnation, *, is_renewal: bool
    ) -> None:
        own = self._incarnation()
        member = self._fleet.members.get(witness)
        if own == NO_MEMBER or member is None:
            return
        heartbeat = Heartbeat(
            own,
            witness,
            self._clock.now_s(),
            is_renewal,
            self._fleet.claims.log_era,
        )
        self._transport.send_datagram(member.address, heartbeat)

    async def _on_ack(self, _source: PeerAddress, ack: HeartbeatAck) -> None:
        if (
            ack.member != self._incarnation()
            or ack.era != self._fleet.claims.log_era
        ):
            return
        self._renewals.record_answer(ack.witness)
        if ack.is_renewal:
            self._renewals.record_renewal(ack.witness, ack.sent_s)
        elif self._renewals.age_s(ack.witness) > self._probe_after_s:
            self._send_heartbeat(ack.witness, is_renewal=True)
