"""Reads of the log up to the end that it has during the call."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from returns.result import Result

from verbenadeck.adapters import LogError, LogPage
from verbenadeck.fleet.tests.builders import make_join
from verbenadeck.journal import LogClient
from verbenadeck.journal.tests.builders import make_client, make_site
from verbenadeck.model import Offset
from verbenadeck.testing import (
    MemoryLog,
    MemoryLogAdapter,
    run_virtual,
    virtual_clock,
)

_Scenario = Callable[[LogClient, MemoryLogAdapter, MemoryLog], Awaitable[None]]


def _run_scenario(scenario: _Scenario) -> None:
    async def main() -> None:
        log, clock = MemoryLog(), virtual_clock()
        client, adapter = make_client(log, clock)
        await client.start()
        await client.propose(make_join('node-0'), deadline_s=5)
        await scenario(client, adapter, log)
        await client.stop()

    run_virtual(main())


def test_log_that_was_read_to_its_end_is_caught_up() -> None:
    async def scenario(
        client: LogClient, _adapter: MemoryLogAdapter, _log: MemoryLog
    ) -> None:
        assert await client.catch_up(deadline_s=10)

    _run_scenario(scenario)


def test_new_records_are_applied_before_the_log_is_caught_up() -> None:
    async def scenario(
        client: LogClient, _adapter: MemoryLogAdapter, log: MemoryLog
    ) -> None:
        log.records.extend(log.records)
        assert await client.catch_up(deadline_s=10)
        assert client.fleet.applied_offset == len(log.records) - 1

    _run_scenario(scenario)


def test_log_out_of_reach_is_not_caught_up() -> None:
    async def scenario(
        client: LogClient, adapter: MemoryLogAdapter, _log: MemoryLog
    ) -> None:
        adapter.is_cut = True
        assert not await client.catch_up(deadline_s=10)

    _run_scenario(scenario)


def test_page_that_may_end_before_the_log_is_not_caught_up() -> None:
    async def scenario(
        client: LogClient, adapter: MemoryLogAdapter, log: MemoryLog
    ) -> None:
        read = adapter.read

        async def read_part(
            start_offset: Offset, *, limit: int, deadline_s: float
        ) -> Result[LogPage, LogError]:
            answer = await read(
                start_offset, limit=limit, deadline_s=deadline_s
            )
            return answer.map(
                lambda page: msgspec.structs.replace(page, reaches_end=False)
            )

        adapter.read = read_part  # type: ignore[method-assign]
        log.records.extend(log.records)
        assert not await client.catch_up(deadline_s=10)

    _run_scenario(scenario)


def test_state_of_peers_that_are_behind_does_not_count() -> None:
    async def main() -> None:
        async with make_site('suva', 'nadi', 'ba', 'lautoka') as site:
            relayed = site.nodes[-1].client
            for node in site.nodes:
                node.adapter.fails_reads = True
            site.log.records.extend(site.log.records)
            assert not await relayed.catch_up(
                deadline_s=site.nodes[-1].deadline_in(2)
            )
            site.nodes[-1].adapter.fails_reads = False
            caught_up = asyncio.ensure_future(
                relayed.catch_up(deadline_s=site.nodes[-1].deadline_in(10))
            )
            assert await caught_up
            assert relayed.fleet.applied_offset == len(site.log.records) - 1

    run_virtual(main())
