"""Periodic checkpoints, written well within the retention time of the log."""

import asyncio

import msgspec
from loguru import logger
from returns.pipeline import is_successful

from verbenadeck.fleet import MemberState, compress_snapshot
from verbenadeck.journal._checkpoint_tracker import Checkpoint
from verbenadeck.journal._client import LogClient
from verbenadeck.model import Incarnation, Offset, index_of
from verbenadeck.records import CheckpointChunk, Verdict
from verbenadeck.utils import Clock

CHUNK_BYTES = 131_072
"""Size in bytes of the part of a snapshot that one record holds."""

_log = logger.bind(part='journal')


class CheckpointOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals and limits of writing checkpoints.

    Parameters
    ----------
    interval_s : float
        Maximum time in seconds between two checkpoints; a small fraction
        of the retention time of the log.
    max_records : int
        Maximum number of records between two checkpoints.
    check_interval_s : float
        Time in seconds between checks whether a checkpoint is due.
    turn_s : float
        Time in seconds by which each node waits longer than the member
        that joined before it.
    max_turns : int
        Rank from which on all members wait equally long.
    chunk_s : float
        Timeout in seconds of appending one chunk.
    """

    interval_s: float = 600
    max_records: int = 8_192
    check_interval_s: float = 2
    turn_s: float = 6
    max_turns: int = 16
    chunk_s: float = 10


class Checkpointer:
    """Writer of checkpoints that leaves precedence to older members.

    When a checkpoint is due, the oldest member writes it; every other member
    does so only if no checkpoint appears within a delay that grows with its
    rank. Concurrent writers are harmless: each checkpoint is
    self-contained, and an incomplete one is ignored.

    Parameters
    ----------
    client : LogClient
        Log client of this node.
    clock : Clock
        Monotonic clock of this VM.
    options : CheckpointOptions or None
        Intervals and limits; None for the defaults.
    """

    def __init__(
        self,
        *,
        client: LogClient,
        clock: Clock,
        options: CheckpointOptions | None = None,
    ) -> None:
        self._client = client
        self._clock = clock
        self._options = options or CheckpointOptions()
        self._newest: Checkpoint | None = None
        self._newest_at_s = clock.now_s()
        self._due_at_s: float | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the periodic check whether a checkpoint is due."""
        self._newest_at_s = self._clock.now_s()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop writing; readers ignore a checkpoint that is left incomplete."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def write(self) -> bool:
        """Append a snapshot of the state; return whether every chunk arrived."""
        fleet = self._client.fleet
        as_of_offset = fleet.applied_offset
        packed = await _compress_in_steps(fleet.snapshot())
        starts = range(0, len(packed), CHUNK_BYTES)
        for index, start in enumerate(starts):
            chunk = CheckpointChunk(
                as_of_offset=as_of_offset,
                index=index,
                count=len(starts),
                part=packed[start : start + CHUNK_BYTES],
            )
            if not await self._append(chunk):
                _log.warning(
                    'checkpoint {} is incomplete: a chunk was not appended; giving up',
                    as_of_offset,
                )
                return False
        _log.info('wrote checkpoint {} of {} bytes', as_of_offset, len(packed))
        return True

    async def _run(self) -> None:
        while True:
            next_s = self._clock.now_s() + self._options.check_interval_s
            await self._clock.sleep_until(next_s)
            if self._should_write():
                await self.write()

    async def _append(self, chunk: CheckpointChunk) -> bool:
        deadline_s = self._clock.now_s() + self._options.chunk_s
        answer = await self._client.propose(chunk, deadline_s=deadline_s)
        if not is_successful(answer):
            return False
        return answer.unwrap().verdict is Verdict.ACCEPTED

    def _should_write(self) -> bool:
        now_s = self._clock.now_s()
        self._record_newest(now_s)
        if not self._client.is_ready or not self._is_due(now_s):
            self._due_at_s = None
            return False
        if self._due_at_s is None:
            self._due_at_s = now_s
        write_at_s = self._due_at_s + self._rank() * self._options.turn_s
        return now_s >= write_at_s

    def _record_newest(self, now_s: float) -> None:
        newest = self._client.applier.checkpoints.newest
        if newest != self._newest:
            self._newest = newest
            self._newest_at_s = now_s

    def _is_due(self, now_s: float) -> bool:
        """Return whether a joining node would soon have too much to read."""
        first_offset = self._client.applier.first_offset
        as_of_offset = Offset(-1)
        if self._newest is not None:
            as_of_offset = self._newest.as_of_offset
        as_of_index = index_of(as_of_offset)
        if as_of_index + 1 < first_offset:
            return True
        applied_index = index_of(self._client.fleet.applied_offset)
        unsaved_count = applied_index - as_of_index
        if unsaved_count > self._options.max_records:
            return True
        return now_s >= self._newest_at_s + self._options.interval_s

    def _rank(self) -> int:
        """Return the number of older members, limited to `max_turns`."""
        own = self._client.incarnation
        joined = sorted(
            member.incarnation
            for member in self._client.fleet.members.values()
            if member.state is MemberState.JOINED
        )
        older_count = _count_older(joined, own)
        return min(older_count, self._options.max_turns)


def _count_older(joined: list[Incarnation], own: Incarnation | None) -> int:
    return joined.index(own) if own in joined else len(joined)


async def _compress_in_steps(raw: bytes) -> bytes:
    """Compress in steps that yield to the event loop, for requests to run."""
    pieces: list[bytes] = []
    for piece in compress_snapshot(raw):
        pieces.append(piece)
        await asyncio.sleep(0)
    return b''.join(pieces)
