"""Interface of what keeps an upstream's grants in step with the lease."""

from collections.abc import Callable
from typing import Protocol

from verbenadeck.adapters import KeyHandover, UpstreamAdapter
from verbenadeck.model import Fence, ServiceName, Shard
from verbenadeck.records import ReleasedRange
from verbenadeck.utils import Clock

ServableFences = Callable[[], dict[Shard, Fence]]
"""Returns the fences of the shards that the upstream shall serve now."""


class Grants(Protocol):
    """Grants of the upstream beside this node.

    Attributes
    ----------
    on_change : callable
        Called when what the upstream holds has changed.
    """

    on_change: Callable[[], None]

    def deadline_s(self, shard: Shard, fence: Fence) -> float:
        """Return until when the upstream takes orders for a shard."""
        ...

    def granted_fence(self, shard: Shard) -> Fence | None:
        """Return the fence of a shard that is served until its release.

        None for upstreams that a grant is taken back from at once.
        """
        ...

    async def await_release(self, shards: frozenset[Shard]) -> None:
        """Return once these shards may be closed."""
        ...

    async def push(self) -> bool:
        """Grant what the node may serve now; return whether it took hold."""
        ...

    async def revoke(self) -> None:
        """Return when the upstream refuses all that is not wanted now."""
        ...

    def handovers(
        self, ranges: tuple[ReleasedRange, ...]
    ) -> tuple[KeyHandover, ...]:
        """Return what the upstream left when it released these shards."""
        ...

    def add_handovers(self, handovers: tuple[KeyHandover, ...]) -> None:
        """Note what goes to the upstream with the grants to come."""
        ...


class GrantsFactory(Protocol):
    """Makes the keeper of the grants of one upstream."""

    def __call__(
        self,
        *,
        clock: Clock,
        upstream: UpstreamAdapter,
        service: Callable[[], tuple[ServiceName, int]],
        servable_fences: ServableFences,
        lease_deadline_s: Callable[[], float],
    ) -> Grants:
        """Return the keeper."""
        ...
