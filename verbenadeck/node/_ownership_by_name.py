"""Ownership found by name when it is asked.

The door needs the lease to admit, and the lease needs the door to move
shards. The kernel lets the door find the lease once both are there.
"""

from returns.result import Result

from verbenadeck.kernel import Kernel
from verbenadeck.lease import Ownership, Permit
from verbenadeck.model import Refusal, ServiceName, Shard


class OwnershipByName:
    """Ownership of the node that a kernel belongs to.

    Parameters
    ----------
    kernel : Kernel
        Kernel that has the service `lease` when the node has started.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._found: Ownership | None = None

    @property
    def lease_deadline_s(self) -> float:
        """End of the node's lease; in the past when it has none."""
        return self._lease.lease_deadline_s

    def permit(
        self, service: ServiceName, shard: Shard
    ) -> Result[Permit, Refusal]:
        """Return whether this node may serve a shard now."""
        return self._lease.permit(service, shard)

    async def wait_permit(
        self, service: ServiceName, shard: Shard, *, deadline_s: float
    ) -> Result[Permit, Refusal]:
        """Wait during a move towards this node, then answer as `permit`."""
        return await self._lease.wait_permit(
            service, shard, deadline_s=deadline_s
        )

    @property
    def _lease(self) -> Ownership:
        if self._found is None:
            self._found = self._kernel.find('lease', Ownership)
        return self._found
