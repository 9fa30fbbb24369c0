"""What a node may serve at this moment."""

from typing import Protocol

import msgspec
from returns.result import Result

from verbenadeck.model import Fence, Refusal, ServiceName, Shard
from verbenadeck.records import ReleasedRange


class Permit(msgspec.Struct, frozen=True):
    """Permission to serve a shard, true only at the moment it was given.

    Parameters
    ----------
    fence : Fence
        Fence that goes with orders to the upstream.
    deadline_s : float
        End of the lease on the boot clock; infinite for a lone node.
    """

    fence: Fence
    deadline_s: float


class OwnershipView(Protocol):
    """Ownership of this node; read again after every await."""

    @property
    def lease_deadline_s(self) -> float:
        """End of the node's lease; in the past when it has none."""
        ...

    def permit(
        self, service: ServiceName, shard: Shard
    ) -> Result[Permit, Refusal]:
        """Return whether this node may serve a shard now.

        Refusals are `NOT_OWNER`, `MOVING` (named owner, but an earlier one
        has not released) and `NO_LEASE`, all with `NOT_RUN`.
        """
        ...

    async def wait_permit(
        self, service: ServiceName, shard: Shard, *, deadline_s: float
    ) -> Result[Permit, Refusal]:
        """Wait during a move towards this node, then answer as `permit`."""
        ...


class ProxyHandover(Protocol):
    """What a planned move needs of the door."""

    async def close_shards(
        self, ranges: tuple[ReleasedRange, ...], *, deadline_s: float
    ) -> bytes:
        """Stop admitting, let running work end, return ledger entries.

        After it returns nothing runs or can start for these shards here.
        """
        ...

    def open_shards(
        self, ranges: tuple[ReleasedRange, ...], ledger_entries: bytes | None
    ) -> None:
        """Admit the shards again with the earlier owner's ledger entries.

        None stands for a takeover after an eviction: entries are lost, and
        the door must answer `UNKNOWN` for ids that it can't tell are new.
        """
        ...
