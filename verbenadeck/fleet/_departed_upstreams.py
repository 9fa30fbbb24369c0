"""Upstream instances that have departed from their nodes."""

from collections.abc import Iterable

from verbenadeck.model import NodeId, Offset
from verbenadeck.records import UpstreamLeave, Verdict

_MAX_NODES = 512


class DepartedUpstreams:
    """Upstream instance that departed last, by its node.

    Nodes whose upstreams departed longest ago are dropped beyond a limit.
    """

    def __init__(self) -> None:
        self._instances: dict[NodeId, str] = {}

    def get(self, node_id: NodeId) -> str | None:
        """Return the instance that departed last, None if none has.

        Parameters
        ----------
        node_id : NodeId
            Node beside the instance.
        """
        return self._instances.get(node_id)

    def apply(self, _offset: Offset, record: UpstreamLeave) -> Verdict:
        """Apply the record of a departure.

        Parameters
        ----------
        record : UpstreamLeave
            The departure.
        """
        if not (record.node_id and record.upstream_instance):
            return Verdict.INVALID
        if self.get(record.node_id) == record.upstream_instance:
            return Verdict.STALE
        self._instances.pop(record.node_id, None)
        self._instances[record.node_id] = record.upstream_instance
        if len(self._instances) > _MAX_NODES:
            self._instances.pop(next(iter(self._instances)))
        return Verdict.ACCEPTED

    def encode(self) -> tuple[tuple[NodeId, str], ...]:
        """Return all nodes and instances for a snapshot."""
        return tuple(self._instances.items())

    def load(self, encoded: Iterable[tuple[NodeId, str]]) -> None:
        """Replace all departures by those of a snapshot.

        Parameters
        ----------
        encoded : iterable of (NodeId, str)
            As `encode` returned them.
        """
        self._instances = dict(encoded)
