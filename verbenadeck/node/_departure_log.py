"""Departures of a node's upstreams, which outlive its process in the log."""

from verbenadeck.journal import Journal
from verbenadeck.model import NodeId
from verbenadeck.records import UpstreamLeave
from verbenadeck.utils import Clock

_APPEND_TIMEOUT_S = 0.8
"""Time in seconds to record a departure; less than an upstream waits for the
acknowledgement."""


class DepartureLog:
    """Departures of the upstream instances beside this node.

    Parameters
    ----------
    journal : Journal
        Log client.
    node_id : NodeId
        Name of this node.
    clock : Clock
        Boot clock of the VM.
    """

    def __init__(
        self, *, journal: Journal, node_id: NodeId, clock: Clock
    ) -> None:
        self._journal = journal
        self._node_id = node_id
        self._clock = clock
        self._recorded_instance = ''

    def has_left(self, instance: str) -> bool:
        """Return whether an instance has left, as far as the log was read.

        Parameters
        ----------
        instance : str
            Id of the instance, which changes with its restart.
        """
        return instance == self._recorded_instance or self._is_in_log(instance)

    async def record(self, instance: str) -> bool:
        """Record a departure; return whether the log has it for certain.

        Parameters
        ----------
        instance : str
            Id of the instance that leaves.
        """
        if not self._is_in_log(instance):
            await self._journal.propose(
                UpstreamLeave(self._node_id, instance),
                deadline_s=self._clock.now_s() + _APPEND_TIMEOUT_S,
            )
        if not self._is_in_log(instance):
            return False
        self._recorded_instance = instance
        return True

    async def keep_recorded(self) -> None:
        """Record the last departure again if the log has lost it."""
        instance = self._recorded_instance
        if instance and not self._is_in_log(instance):
            await self.record(instance)

    def _is_in_log(self, instance: str) -> bool:
        departed = self._journal.fleet.departed_upstreams.get(self._node_id)
        return departed == instance
