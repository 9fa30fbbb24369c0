"""Ownership that is looked up in the kernel on first use.

The proxy needs the lease to admit requests, and the lease needs the proxy to
move shards. The late look-up resolves this circular dependency: the proxy
finds the lease after both are registered.
"""

from returns.result import Result

from verbenadeck.kernel import Kernel
from verbenadeck.lease import Ownership, Permit
from verbenadeck.model import Refusal, ServiceName, Shard


class LateBoundOwnership:
    """Ownership of a node, looked up in its kernel on first use.

    Parameters
    ----------
    kernel : Kernel
        Kernel of the node; it has the service `lease` once the node has
        started.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._found: Ownership | None = None

    @property
    def lease_deadline_s(self) -> float:
        """Time in seconds at which the lease ends; past without a lease."""
        return self._lease.lease_deadline_s

    def permit(
        self, service: ServiceName, shard: Shard
    ) -> Result[Permit, Refusal]:
        """Return a permit to serve a shard now, or the refusal.

        Parameters
        ----------
        service : ServiceName
            Service that the shard belongs to.
        shard : Shard
            Shard to serve.
        """
        return self._lease.permit(service, shard)

    async def wait_permit(
        self, service: ServiceName, shard: Shard, *, deadline_s: float
    ) -> Result[Permit, Refusal]:
        """Wait for a move of the shard to this node, then return as `permit`.

        Parameters
        ----------
        service : ServiceName
            Service that the shard belongs to.
        shard : Shard
            Shard to serve.
        deadline_s : float
            Time in seconds at which the wait ends.
        """
        return await self._lease.wait_permit(
            service, shard, deadline_s=deadline_s
        )

    @property
    def _lease(self) -> Ownership:
        if self._found is None:
            self._found = self._kernel.find('lease', Ownership)
        return self._found
