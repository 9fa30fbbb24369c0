"""Upstream and door of one node of a virtual fleet."""

import asyncio
import math
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from verbenadeck.adapters import (
    Announcement,
    Grant,
    LoadReport,
    UpstreamError,
    UpstreamFailure,
    UpstreamRequest,
)
from verbenadeck.model import Answer, RequestId, ServiceName, Shard
from verbenadeck.records import ReleasedRange
from verbenadeck.utils import Clock

_ANSWER_S = 0.001
_CLOSE_S = 0.002
_SLOTS = 6


class FakeUpstream:
    """Upstream that keeps a fenced grant, or ignores fences.

    Attributes
    ----------
    runs : list of (float, int, int)
        Loop time, shard and fence of each order that it took.
    is_up : bool
        Whether it answers.
    """

    def __init__(
        self, clock: Clock, service: ServiceName, *, checks_fences: bool
    ) -> None:
        self.runs: list[tuple[float, int, int]] = []
        self.is_up = True
        self.instance = 'life-0'
        self._clock = clock
        self._service = service
        self._checks_fences = checks_fences
        self._fences: dict[int, int] = {}
        self._deadline_s = -math.inf
        self._listeners: list[Callable[[Announcement], None]] = []

    def on_announce(self, listener: Callable[[Announcement], None]) -> None:
        """Register a listener and announce."""
        self._listeners.append(listener)
        listener(self._announcement())

    def restart(self) -> None:
        """Come up cold, with no grant."""
        self.instance = f'life-{int(self.instance[5:]) + 1}'
        self._fences.clear()
        for listener in self._listeners:
            listener(self._announcement())

    def granted_shards(self) -> tuple[int, ...]:
        """Return the shards for which an order would be taken now."""
        is_granted = self._clock.now_s() < self._deadline_s
        return tuple(self._fences) if self.is_up and is_granted else ()

    async def send(
        self, upstream_request: UpstreamRequest
    ) -> Result[Answer, UpstreamError]:
        """Run an order unless its fence is refused."""
        is_granted = upstream_request.shard in self.granted_shards()
        is_allowed = (
            is_granted
            and self._fences[upstream_request.shard] == upstream_request.fence
        )
        now_s = self._clock.now_s()
        if not self._checks_fences:
            is_allowed = now_s < upstream_request.request.deadline_s
        if not is_allowed:
            return Failure(UpstreamError(UpstreamFailure.FENCED, 'refused'))
        loop_s = asyncio.get_running_loop().time()
        self.runs.append(
            (loop_s, upstream_request.shard, upstream_request.fence)
        )
        await asyncio.sleep(_ANSWER_S)
        return Success(Answer(200))

    async def cancel(self, request_id: RequestId) -> None:
        """Do nothing."""

    async def grant(self, grant: Grant) -> Result[None, UpstreamError]:
        """Replace what may be served."""
        await asyncio.sleep(_ANSWER_S)
        if not self.is_up:
            return Failure(UpstreamError(UpstreamFailure.BROKEN, 'down'))
        self._fences = {
            shard: each.fence
            for each in grant.ranges
            for shard in range(each.first_shard, each.stop_shard)
        }
        self._deadline_s = grant.deadline_s
        return Success(None)

    async def drain(self) -> Result[None, UpstreamError]:
        """Do nothing."""
        return Success(None)

    async def report(self) -> Result[LoadReport, UpstreamError]:
        """Return a healthy report."""
        return Success(LoadReport(True, 0, _SLOTS, self.instance))

    async def close(self) -> None:
        """Do nothing."""

    def _announcement(self) -> Announcement:
        return Announcement(
            self._service, self.instance, '', 0, _SLOTS, _SLOTS, _SLOTS
        )


_Entries = dict[int, tuple[str, ...]]
_codec = msgspec.json


class FakeProxy:
    """Door that keeps a ledger by shard.

    Attributes
    ----------
    ledger : dict of int to tuple of str
        Ids that ran, by shard.
    shards_without_ledger : set of int
        Shards that were opened without the earlier owner's entries.
    """

    def __init__(self) -> None:
        self.ledger: _Entries = {}
        self.shards_without_ledger: set[int] = set()
        self.closed: set[int] = set()

    async def close_shards(
        self, ranges: tuple[ReleasedRange, ...], *, deadline_s: float
    ) -> bytes:
        """Close shards and return their entries."""
        shards = _shards(ranges)
        self.closed.update(shards)
        await asyncio.sleep(_CLOSE_S)
        return _codec.encode(
            {shard: self.ledger.pop(shard, ()) for shard in shards}
        )

    def open_shards(
        self, ranges: tuple[ReleasedRange, ...], ledger_entries: bytes | None
    ) -> None:
        """Open shards with entries."""
        shards = _shards(ranges)
        self.closed.difference_update(shards)
        if ledger_entries is None:
            self.shards_without_ledger.update(shards)
        found = (
            _codec.decode(ledger_entries, type=_Entries)
            if ledger_entries
            else {}
        )
        for shard in shards:
            self.ledger[shard] = found.get(shard, ())

    def record_run(self, shard: Shard, request_id: str) -> None:
        """Note an id that ran."""
        self.ledger[shard] = (*self.ledger.get(shard, ()), request_id)


def _shards(ranges: tuple[ReleasedRange, ...]) -> set[int]:
    return {
        shard
        for each in ranges
        for shard in range(each.first_shard, each.stop_shard)
    }
