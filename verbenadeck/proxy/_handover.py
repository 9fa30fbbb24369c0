"""Handover of shards to and from a proxy."""

import asyncio

import msgspec
from loguru import logger

from verbenadeck.model import RefusalReason
from verbenadeck.proxy._components import ProxyComponents
from verbenadeck.proxy._ledger import ExportedEntry
from verbenadeck.proxy._refusals import not_run
from verbenadeck.proxy._takeovers import ExportedTakeover
from verbenadeck.records import ReleasedRange

_log = logger.bind(part='door')
_DRAIN_POLL_S = 0.005


class _HandoverState(msgspec.Struct, frozen=True, array_like=True):
    entries: list[ExportedEntry]
    takeovers: list[ExportedTakeover]


class Handover:
    """Handover of shards together with their ledger entries.

    Parameters
    ----------
    components : ProxyComponents
        Components of the proxy.
    """

    def __init__(self, components: ProxyComponents) -> None:
        self._components = components
        self._clock = components.dependencies.clock
        self._gate = components.gate
        self._runs = components.runs
        self._ledger = components.ledger
        self._takeovers = components.takeovers

    async def close(
        self, ranges: tuple[ReleasedRange, ...], *, deadline_s: float
    ) -> bytes:
        """Stop admitting requests for shards and export their state.

        Parameters
        ----------
        ranges : tuple of ReleasedRange
            Shards to close.
        deadline_s : float
            Time in seconds up to which running requests may end; after it,
            the repeatable ones are cancelled.

        Returns
        -------
        bytes
            Ledger entries and takeovers for the new owner.
        """
        shards = self._served_shards(ranges)
        self._gate.closed_shards.update(shards)
        self._components.slots.refuse(
            not_run(
                RefusalReason.MOVING, 'the shard is moving to another node'
            ),
            shards=shards,
        )
        await self._wait_idle(shards, deadline_s)
        now_s = self._clock.now_s()
        entries = self._ledger.export(shards, now_s=now_s)
        await self._components.duplicate_guard.copy_to_new_owners(
            entries, deadline_s=deadline_s
        )
        exported = _HandoverState(entries, self._takeovers.export(shards))
        self._takeovers.close(shards)
        _log.info(
            'closed {} shards with {} ledger entries',
            len(shards),
            len(entries),
        )
        return msgspec.msgpack.encode(exported)

    def open(
        self, ranges: tuple[ReleasedRange, ...], ledger_entries: bytes | None
    ) -> None:
        """Admit requests for shards and load the earlier owner's state.

        Parameters
        ----------
        ranges : tuple of ReleasedRange
            Shards to open.
        ledger_entries : bytes or None
            State that the earlier owner exported; None if it was lost.
        """
        shards = self._served_shards(ranges)
        self._gate.closed_shards.difference_update(shards)
        exported = _decode_state(ledger_entries)
        if exported is None:
            self._start_takeovers(ranges)
        elif ledger_entries:
            self._load_state(ranges, exported)
        _log.info(
            'opened {} shards, {}',
            len(shards),
            'ledger lost' if exported is None else 'ledger handed over',
        )

    def _start_takeovers(self, ranges: tuple[ReleasedRange, ...]) -> None:
        keep_s = self._components.keep_s()
        for one in ranges:
            self._takeovers.open(
                one.service, self._served_shards((one,)), keep_s=keep_s
            )

    def _load_state(
        self, ranges: tuple[ReleasedRange, ...], exported: _HandoverState
    ) -> None:
        self._ledger.load(exported.entries, now_s=self._clock.now_s())
        for one in ranges:
            shards = self._served_shards((one,))
            takeovers = [
                takeover
                for takeover in exported.takeovers
                if takeover.shard in shards
            ]
            self._takeovers.load(one.service, takeovers)

    async def _wait_idle(
        self, shards: frozenset[int], deadline_s: float
    ) -> None:
        running = self._runs.on_shards(shards)
        while running and self._clock.now_s() < deadline_s:
            await asyncio.sleep(_DRAIN_POLL_S)
            running = self._runs.on_shards(shards)
        for run in running:
            self._components.sender.cancel(run)
        while self._runs.on_shards(shards):
            await asyncio.sleep(_DRAIN_POLL_S)

    def _served_shards(
        self, ranges: tuple[ReleasedRange, ...]
    ) -> frozenset[int]:
        return frozenset(
            shard
            for one in ranges
            if self._gate.service in {None, one.service}
            for shard in range(one.first_shard, one.stop_shard)
        )


def _decode_state(ledger_entries: bytes | None) -> _HandoverState | None:
    """Return the state of the earlier owner, None if it is lost."""
    if ledger_entries is None:
        return None
    if not ledger_entries:
        return _HandoverState([], [])
    try:
        return msgspec.msgpack.decode(ledger_entries, type=_HandoverState)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        _log.error('ledger of the earlier owner is unreadable: {}', error)
        return None
