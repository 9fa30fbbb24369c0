"""Shards that move to or from a door."""

import asyncio

import msgspec
from loguru import logger

from verbenadeck.door._ledger import KeptEntry
from verbenadeck.door._parts import Parts
from verbenadeck.door._refusals import not_run
from verbenadeck.door._takeovers import KeptTakeover
from verbenadeck.model import RefusalReason
from verbenadeck.records import ReleasedRange

_log = logger.bind(part='door')
_POLL_S = 0.005


class _Exported(msgspec.Struct, frozen=True, array_like=True):
    entries: list[KeptEntry]
    takeovers: list[KeptTakeover]


class Handover:
    """Closes and opens shards with their ledger entries.

    Parameters
    ----------
    parts : Parts
        Parts of the door.
    """

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._clock = parts.around.clock
        self._gate = parts.gate
        self._runs = parts.runs
        self._ledger = parts.ledger
        self._takeovers = parts.takeovers

    async def close(
        self, moved: tuple[ReleasedRange, ...], *, deadline_s: float
    ) -> bytes:
        """Stop admitting shards and return what the new owner needs."""
        shards = self._own(moved)
        self._gate.closed.update(shards)
        self._parts.slots.refuse(
            not_run(RefusalReason.MOVING, 'the shard moves away'),
            shards=shards,
        )
        await self._wait_idle(shards, deadline_s)
        now_s = self._clock.now_s()
        entries = self._ledger.export(shards, now_s=now_s)
        await self._parts.once.copy_to_new_owners(
            entries, deadline_s=deadline_s
        )
        exported = _Exported(entries, self._takeovers.export(shards))
        self._takeovers.close(shards)
        _log.info(
            'closed {} shards with {} ledger entries',
            len(shards),
            len(entries),
        )
        return msgspec.msgpack.encode(exported)

    def open(
        self, moved: tuple[ReleasedRange, ...], entries: bytes | None
    ) -> None:
        """Admit shards again."""
        shards = self._own(moved)
        self._gate.closed.difference_update(shards)
        if entries is None:
            self._take_over(moved)
        elif entries:
            exported = msgspec.msgpack.decode(entries, type=_Exported)
            self._take(moved, exported)
        _log.info(
            'opened {} shards, {}',
            len(shards),
            'ledger lost' if entries is None else 'ledger handed over',
        )

    def _take_over(self, moved: tuple[ReleasedRange, ...]) -> None:
        keep_s = self._parts.keep_s()
        for one in moved:
            self._takeovers.open(one.service, self._own((one,)), keep_s=keep_s)

    def _take(
        self, moved: tuple[ReleasedRange, ...], exported: _Exported
    ) -> None:
        self._ledger.load(exported.entries, now_s=self._clock.now_s())
        for one in moved:
            shards = self._own((one,))
            kept = [
                takeover
                for takeover in exported.takeovers
                if takeover.shard in shards
            ]
            self._takeovers.load(one.service, kept)

    async def _wait_idle(
        self, shards: frozenset[int], deadline_s: float
    ) -> None:
        running = self._runs.on_shards(shards)
        while running and self._clock.now_s() < deadline_s:
            await asyncio.sleep(_POLL_S)
            running = self._runs.on_shards(shards)
        for run in running:
            self._parts.sender.cancel(run)
        while self._runs.on_shards(shards):
            await asyncio.sleep(_POLL_S)

    def _own(self, moved: tuple[ReleasedRange, ...]) -> frozenset[int]:
        return frozenset(
            shard
            for one in moved
            if self._gate.service in {None, one.service}
            for shard in range(one.first_shard, one.stop_shard)
        )
