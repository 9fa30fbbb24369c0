"""Interfaces of the ownership of shards by a node."""

from typing import Protocol

import msgspec
from returns.result import Result

from verbenadeck.model import Fence, Refusal, ServiceName, Shard
from verbenadeck.records import ReleasedRange


class Permit(msgspec.Struct, frozen=True):
    """Permission to serve a shard, valid only at the moment of the check.

    Parameters
    ----------
    fence : Fence
        Fence to send with requests to the upstream.
    deadline_s : float
        End of the lease or of the grant on the boot clock, whichever is
        first, in seconds.
    """

    fence: Fence
    deadline_s: float


class OwnershipView(Protocol):
    """Ownership of shards by this node.

    A result is valid only until the next await, after which it must be read
    again.
    """

    @property
    def lease_deadline_s(self) -> float:
        """End of the node's lease on the boot clock, in seconds.

        In the past if the node has no lease.
        """
        ...

    def permit(
        self, service: ServiceName, shard: Shard
    ) -> Result[Permit, Refusal]:
        """Return a permit if this node may serve a shard now.

        Parameters
        ----------
        service : ServiceName
            Service of the request.
        shard : Shard
            Shard of the request's key.

        Returns
        -------
        Result of Permit and Refusal
            Refusal reasons are `NOT_OWNER`, `NO_LEASE` and `MOVING`: this
            node is the owner, but an earlier owner has not released the
            shard or the grant is not in force. The outcome is `NOT_RUN`.
        """
        ...

    async def wait_permit(
        self, service: ServiceName, shard: Shard, *, deadline_s: float
    ) -> Result[Permit, Refusal]:
        """Wait while a shard moves to this node, then decide as `permit`.

        Parameters
        ----------
        service : ServiceName
            Service of the request.
        shard : Shard
            Shard of the request's key.
        deadline_s : float
            End of the wait on the boot clock, in seconds.

        Returns
        -------
        Result of Permit and Refusal
            As from `permit`; the reason is `MOVING` if the wait ended first.
        """
        ...


class ProxyHandover(Protocol):
    """Operations of the proxy that a move of shards needs."""

    async def close_shards(
        self, ranges: tuple[ReleasedRange, ...], *, deadline_s: float
    ) -> bytes:
        """Stop admission, wait for running requests, return ledger entries.

        After the return no request for these shards runs or can start here.

        Parameters
        ----------
        ranges : tuple of ReleasedRange
            Shards to close.
        deadline_s : float
            End of the wait on the boot clock, in seconds.

        Returns
        -------
        bytes
            Entries of the request ledger for the new owner.
        """
        ...

    def open_shards(
        self, ranges: tuple[ReleasedRange, ...], ledger_entries: bytes | None
    ) -> None:
        """Admit requests for shards that this node owns now.

        Parameters
        ----------
        ranges : tuple of ReleasedRange
            Shards to open.
        ledger_entries : bytes or None
            Entries of the earlier owner's request ledger. None after an
            eviction, which loses them: the proxy must then answer `UNKNOWN`
            for request ids that are not certainly new.
        """
        ...
