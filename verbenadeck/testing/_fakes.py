"""Fake upstream and fake proxy of one node of a virtual fleet."""

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

_ANSWER_DELAY_S = 0.001
_CLOSE_DELAY_S = 0.002
_SLOT_COUNT = 6


class FakeUpstream:
    """Upstream that serves under a fenced grant, or ignores fences.

    Parameters
    ----------
    clock : Clock
        Clock against which deadlines of grants and requests are checked.
    service : ServiceName
        Service that the upstream announces.
    checks_fences : bool
        Whether upstream requests are refused when their fence is not the
        granted one; otherwise only the deadline of the request is checked.

    Attributes
    ----------
    runs : list of (float, int, int)
        Loop time in seconds, shard and fence of each upstream request that
        was run.
    is_up : bool
        Whether grants and fenced requests are accepted.
    instance : str
        Name of the current instance, `life-N`; a restart increments N.
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
        """Register a listener and send it the current announcement."""
        self._listeners.append(listener)
        listener(self._announcement())

    def on_report(self, listener: Callable[[LoadReport], None]) -> None:
        """Ignore the listener, as this upstream only answers to `report`."""

    def restart(self) -> None:
        """Begin a new instance without a grant and announce it."""
        self.instance = f'life-{int(self.instance[5:]) + 1}'
        self._fences.clear()
        for listener in self._listeners:
            listener(self._announcement())

    def granted_fences(self) -> dict[int, int]:
        """Return the fence of each shard that is granted now."""
        return {shard: self._fences[shard] for shard in self.granted_shards()}

    def granted_shards(self) -> tuple[int, ...]:
        """Return the shards for which an upstream request would run now."""
        is_granted = self._clock.now_s() < self._deadline_s
        return tuple(self._fences) if self.is_up and is_granted else ()

    async def send(
        self, upstream_request: UpstreamRequest
    ) -> Result[Answer, UpstreamError]:
        """Run an upstream request, or refuse it with `FENCED`."""
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
        await asyncio.sleep(_ANSWER_DELAY_S)
        return Success(Answer(200))

    async def cancel(self, request_id: RequestId) -> None:
        """Ignore a cancellation."""

    async def grant(self, grant: Grant) -> Result[None, UpstreamError]:
        """Replace the granted shards, their fences and the deadline."""
        await asyncio.sleep(_ANSWER_DELAY_S)
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
        """Report success without draining."""
        return Success(None)

    async def report(self) -> Result[LoadReport, UpstreamError]:
        """Return a load report of a healthy, idle upstream."""
        return Success(LoadReport(True, 0, _SLOT_COUNT, self.instance))

    async def close(self) -> None:
        """Do nothing; there is no connection to close."""

    def _announcement(self) -> Announcement:
        return Announcement(
            self._service,
            self.instance,
            '',
            0,
            _SLOT_COUNT,
            _SLOT_COUNT,
            _SLOT_COUNT,
        )


_LedgerEntries = dict[int, tuple[str, ...]]
_codec = msgspec.json


class FakeProxy:
    """Proxy that keeps a ledger of request ids for each shard.

    Attributes
    ----------
    ledger : dict of int to tuple of str
        Ids of the requests that ran, by shard.
    shards_without_ledger : set of int
        Shards that were opened without the previous owner's entries.
    closed : set of int
        Shards that were closed and not opened again.
    """

    def __init__(self) -> None:
        self.ledger: _LedgerEntries = {}
        self.shards_without_ledger: set[int] = set()
        self.closed: set[int] = set()

    async def close_shards(
        self, ranges: tuple[ReleasedRange, ...], *, deadline_s: float
    ) -> bytes:
        """Close shards and return their encoded ledger entries."""
        shards = _shards_in_ranges(ranges)
        self.closed.update(shards)
        await asyncio.sleep(_CLOSE_DELAY_S)
        return _codec.encode(
            {shard: self.ledger.pop(shard, ()) for shard in shards}
        )

    def open_shards(
        self, ranges: tuple[ReleasedRange, ...], ledger_entries: bytes | None
    ) -> None:
        """Open shards with the ledger entries of the previous owner."""
        shards = _shards_in_ranges(ranges)
        self.closed.difference_update(shards)
        if ledger_entries is None:
            self.shards_without_ledger.update(shards)
        entries = (
            _codec.decode(ledger_entries, type=_LedgerEntries)
            if ledger_entries
            else {}
        )
        for shard in shards:
            self.ledger[shard] = entries.get(shard, ())

    def record_run(self, shard: Shard, request_id: str) -> None:
        """Add the id of a request that ran to the ledger."""
        self.ledger[shard] = (*self.ledger.get(shard, ()), request_id)


def _shards_in_ranges(ranges: tuple[ReleasedRange, ...]) -> set[int]:
    return {
        shard
        for each in ranges
        for shard in range(each.first_shard, each.stop_shard)
    }
