"""Appends checkpoints well inside the log's retention time."""

import asyncio

import msgspec
from loguru import logger
from returns.pipeline import is_successful

from verbenadeck.fleet import MemberState, compress_snapshot
from verbenadeck.journal._checkpoint_tracker import Checkpoint
from verbenadeck.journal._client import LogClient
from verbenadeck.model import Incarnation, Offset
from verbenadeck.records import CheckpointChunk, Verdict
from verbenadeck.utils import Clock

CHUNK_BYTES = 131_072
"""Bytes of the state in one record."""

_log = logger.bind(part='journal')


class CheckpointOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of writing checkpoints.

    Parameters
    ----------
    interval_s : float
        Longest time between two checkpoints; a small part of the log's
        retention time.
    max_records : int
        Most records between two checkpoints.
    check_interval_s : float
        Time between two looks.
    turn_s : float
        Time that each node leaves to those before it.
    max_turns : int
        Turns after which all remaining nodes may write.
    chunk_s : float
        Longest time to append one chunk.
    """

    interval_s: float = 600
    max_records: int = 8_192
    check_interval_s: float = 2
    turn_s: float = 6
    max_turns: int = 16
    chunk_s: float = 10


class Checkpointer:
    """Writes a checkpoint when one is due and nobody before it does.

    The oldest member goes first, the others wait their turn. Two that write
    at once do no harm: every checkpoint is complete in itself, and half of
    one is ignored.

    Parameters
    ----------
    client : LogClient
        Log client of this node.
    clock : Clock
        Clock of this VM.
    options : CheckpointOptions
        Options.
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
        """Start looking whether a checkpoint is due."""
        self._newest_at_s = self._clock.now_s()
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop; a checkpoint that is half written is ignored by all."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def write(self) -> bool:
        """Append the present state; return whether all of it arrived."""
        fleet = self._client.fleet
        as_of_offset = fleet.applied_offset
        packed = await _pack(fleet.snapshot())
        starts = range(0, len(packed), CHUNK_BYTES)
        for index, start in enumerate(starts):
            chunk = CheckpointChunk(
                as_of_offset=as_of_offset,
                index=index,
                count=len(starts),
                part=packed[start : start + CHUNK_BYTES],
            )
            if not await self._append(chunk):
                _log.warning('checkpoint {} is cut short', as_of_offset)
                return False
        _log.info('checkpoint {} has {} bytes', as_of_offset, len(packed))
        return True

    async def _run(self) -> None:
        while True:
            next_s = self._clock.now_s() + self._options.check_interval_s
            await self._clock.sleep_until(next_s)
            if self._is_my_turn():
                await self.write()

    async def _append(self, chunk: CheckpointChunk) -> bool:
        deadline_s = self._clock.now_s() + self._options.chunk_s
        answer = await self._client.propose(chunk, deadline_s=deadline_s)
        if not is_successful(answer):
            return False
        return answer.unwrap().verdict is Verdict.ACCEPTED

    def _is_my_turn(self) -> bool:
        now_s = self._clock.now_s()
        self._note_newest(now_s)
        if not self._client.is_ready or not self._is_due(now_s):
            self._due_at_s = None
            return False
        if self._due_at_s is None:
            self._due_at_s = now_s
        turn_at_s = self._due_at_s + self._rank() * self._options.turn_s
        return now_s >= turn_at_s

    def _note_newest(self, now_s: float) -> None:
        newest = self._client.intake.checkpoints.newest
        if newest != self._newest:
            self._newest = newest
            self._newest_at_s = now_s

    def _is_due(self, now_s: float) -> bool:
        """Return whether a new node would soon have to read too much."""
        first_offset = self._client.intake.first_offset
        as_of_offset = Offset(-1)
        if self._newest is not None:
            as_of_offset = self._newest.as_of_offset
        if as_of_offset + 1 < first_offset:
            return True
        behind = self._client.fleet.applied_offset - as_of_offset
        if behind > self._options.max_records:
            return True
        return now_s >= self._newest_at_s + self._options.interval_s

    def _rank(self) -> int:
        """Return how many members come before this node."""
        own = self._client.incarnation
        joined = sorted(
            member.incarnation
            for member in self._client.fleet.members.values()
            if member.state is MemberState.JOINED
        )
        before = _count_before(joined, own)
        return min(before, self._options.max_turns)


def _count_before(joined: list[Incarnation], own: Incarnation | None) -> int:
    return joined.index(own) if own in joined else len(joined)


async def _pack(raw: bytes) -> bytes:
    """Compress with pauses, so that requests go on in between."""
    pieces: list[bytes] = []
    for piece in compress_snapshot(raw):
        pieces.append(piece)
        await asyncio.sleep(0)
    return b''.join(pieces)
