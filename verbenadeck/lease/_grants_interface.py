"""Interface of the grants of an upstream."""

from collections.abc import Callable
from typing import Protocol

from verbenadeck.adapters import KeyHandover, UpstreamAdapter
from verbenadeck.model import Fence, ServiceName, Shard
from verbenadeck.records import ReleasedRange
from verbenadeck.utils import Clock

ServableFences = Callable[[], dict[Shard, Fence]]
"""Callable that returns the fences of the shards that may be served now."""


class Grants(Protocol):
    """Grants of the node's upstream, which follow the lease of the node.

    Attributes
    ----------
    on_change : callable
        Called when the set of shards that the upstream holds has changed.
    """

    on_change: Callable[[], None]

    def deadline_s(self, shard: Shard, fence: Fence) -> float:
        """Return until when the upstream accepts requests for a shard.

        Parameters
        ----------
        shard : Shard
            Shard of the service.
        fence : Fence
            Fence of the requests.

        Returns
        -------
        float
            Moment on the boot clock, in seconds; minus infinity without a
            grant under this fence.
        """
        ...

    def granted_fence(self, shard: Shard) -> Fence | None:
        """Return the fence of a shard that is served until its release.

        Parameters
        ----------
        shard : Shard
            Shard of the service.

        Returns
        -------
        Fence or None
            None without a grant, and always for upstreams whose grants are
            revoked as soon as a shard moves.
        """
        ...

    async def await_release(self, shards: frozenset[Shard]) -> None:
        """Wait until the shards may be closed.

        Parameters
        ----------
        shards : frozenset of Shard
            Shards that move away.
        """
        ...

    async def push(self) -> bool:
        """Grant the shards that the node may serve now.

        Returns
        -------
        bool
            Whether the grant is in force; if not, it is to be tried again.
        """
        ...

    async def revoke(self) -> None:
        """Wait until the upstream refuses all shards that are not servable."""
        ...

    def pop_handovers(
        self, ranges: tuple[ReleasedRange, ...]
    ) -> tuple[KeyHandover, ...]:
        """Remove and return what the upstream handed over for some shards.

        Parameters
        ----------
        ranges : tuple of ReleasedRange
            Shards that the upstream has released.
        """
        ...

    def add_handovers(self, handovers: tuple[KeyHandover, ...]) -> None:
        """Add texts that go to the upstream with its next grants.

        Parameters
        ----------
        handovers : tuple of KeyHandover
            Texts of the earlier owner's upstream.
        """
        ...


class GrantsFactory(Protocol):
    """Factory of the grants of one upstream."""

    def __call__(
        self,
        *,
        clock: Clock,
        upstream: UpstreamAdapter,
        service: Callable[[], tuple[ServiceName, int]],
        servable_fences: ServableFences,
        lease_deadline_s: Callable[[], float],
    ) -> Grants:
        """Return grants that follow a lease.

        Parameters
        ----------
        clock : Clock
            Boot clock of the VM.
        upstream : UpstreamAdapter
            Upstream that receives the grants.
        service : callable
            Returns the service and its number of shards.
        servable_fences : ServableFences
            Returns the fences of the shards that may be served now.
        lease_deadline_s : callable
            Returns the end of the node's lease on the boot clock, in
            seconds.
        """
        ...
