"""Attribution of upstream crashes to the requests that were running."""

import asyncio

from loguru import logger

from verbenadeck.fleet import FleetView
from verbenadeck.model import NodeId
from verbenadeck.peers import PeerAddress, PeerTransport
from verbenadeck.proxy._messages import PoisonCleared, PoisonNotice
from verbenadeck.proxy._poison import Quarantine, fingerprint_of
from verbenadeck.proxy._runs import Run
from verbenadeck.utils import Clock

_log = logger.bind(part='door')

_CRASH_WINDOW_S = 10.0
_NOTICE_DELAYS_S = (0.0, 0.5, 1.5)


class CrashTracker:
    """Tracker that marks the requests running at a crash as suspect.

    Parameters
    ----------
    node_id : NodeId
        Name of this node, to which no notice is sent.
    fleet : FleetView
        Members to which notices are sent.
    peers : PeerTransport
        Transport to the members.
    clock : Clock
        Clock of this VM.
    quarantine : Quarantine
        Quarantine in which suspect requests are marked.
    """

    def __init__(
        self,
        *,
        node_id: NodeId,
        fleet: FleetView,
        peers: PeerTransport,
        clock: Clock,
        quarantine: Quarantine,
    ) -> None:
        self._node_id = node_id
        self._fleet = fleet
        self._peers = peers
        self._clock = clock
        self._quarantine = quarantine
        self._broken_runs: list[tuple[float, Run]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def on_broken(self, run: Run) -> None:
        """Record a run whose connection broke before its answer."""
        oldest_s = self._clock.now_s() - _CRASH_WINDOW_S
        self._broken_runs = [
            one for one in self._broken_runs if one[0] >= oldest_s
        ]
        self._broken_runs.append((self._clock.now_s(), run))

    def on_crash(self, instance: str, running: tuple[Run, ...]) -> None:
        """Mark the requests that were running when an instance ended.

        Parameters
        ----------
        instance : str
            Instance of the upstream that ended.
        running : tuple of Run
            Runs that have not ended yet.
        """
        crash_id = f'{self._node_id}/{instance}'
        oldest_s = self._clock.now_s() - _CRASH_WINDOW_S
        broken = [run for at_s, run in self._broken_runs if at_s >= oldest_s]
        self._broken_runs.clear()
        suspects = [run for run in running if run.is_sent] + broken
        if not suspects:
            return
        fingerprints = tuple({fingerprint_of(one.request) for one in suspects})
        self.mark_suspects(PoisonNotice(fingerprints, crash_id))
        _log.warning(
            'upstream crash {}: marked {} requests as suspect',
            crash_id,
            len(fingerprints),
        )
        notice = PoisonNotice(fingerprints, crash_id)
        task = asyncio.create_task(self._broadcast_repeatedly(notice))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def mark_suspects(self, notice: PoisonNotice) -> None:
        """Mark the requests of a notice in the quarantine."""
        now_s = self._clock.now_s()
        for fingerprint in notice.fingerprints:
            self._quarantine.mark(fingerprint, notice.crash_id, now_s=now_s)

    def on_answer(self, run: Run) -> None:
        """Clear an answered request, here and at the other proxies."""
        if self._quarantine.is_empty:
            return
        fingerprint = fingerprint_of(run.request)
        if not self._quarantine.clear(fingerprint):
            return
        for address in self._other_addresses():
            self._peers.send_datagram(address, PoisonCleared(fingerprint))

    def clear_suspect(self, notice: PoisonCleared) -> None:
        """Clear a request that the upstream of another proxy answered."""
        self._quarantine.clear(notice.fingerprint)

    async def _broadcast_repeatedly(self, notice: PoisonNotice) -> None:
        for delay_s in _NOTICE_DELAYS_S:
            await asyncio.sleep(delay_s)
            for address in self._other_addresses():
                self._peers.send_datagram(address, notice)

    def _other_addresses(self) -> list[PeerAddress]:
        return [
            member.address
            for member in self._fleet.members.values()
            if member.node_id != self._node_id
        ]
