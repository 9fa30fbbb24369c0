"""State machine that checks routers and proxies against an oracle."""

import asyncio
import functools
from collections.abc import Coroutine
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from loguru import logger
from returns.result import Success

from verbenadeck.model import AnswerResult, Incarnation, Outcome
from verbenadeck.proxy.tests.builders import (
    Node,
    ProxyFleet,
    all_shards,
    make_deposit,
    refusal,
)
from verbenadeck.proxy.tests.fakes import (
    SERVICE,
    SHARDS,
    FakeUpstream,
    make_config,
    make_policy,
)
from verbenadeck.router.tests.builders import make_router
from verbenadeck.testing import VirtualLoop

_NODES = 5
_REQUEST_TIMEOUT_S = 2.0
_LEASE_S = 0.5
_EVICTION_DELAY_S = 1.0

_node_numbers = st.integers(0, _NODES - 1)
_optional_node_numbers = st.sampled_from((None, None, None, *range(_NODES)))
_request_ids = st.integers(1, 4).map('deposit-{}'.format)


class _Send:
    """One send of a deposit by a caller, with its task."""

    def __init__(
        self, request_id: str, entry: Node, task: asyncio.Task[AnswerResult]
    ) -> None:
        self.request_id = request_id
        self.entry = entry
        self.task = task

    @property
    def result(self) -> AnswerResult | None:
        """Result that the caller got, None when it got none."""
        if not self.task.done() or self.task.cancelled():
            return None
        return self.task.result()


class DeduplicationMachine(RuleBasedStateMachine):
    """Callers, faults and shard moves; the oracle counts runs by id."""

    has_copies = True

    def __init__(self) -> None:
        super().__init__()
        logger.disable('verbenadeck')
        self.runner = asyncio.Runner(loop_factory=VirtualLoop)
        self.sends: list[_Send] = []
        self.has_lost_owner = False
        self.running_moves: set[asyncio.Task[None]] = set()

    def teardown(self) -> None:
        """Wait for all sends, check once more and close the loop."""
        try:
            self._finish()
        finally:
            self.runner.close()
            logger.enable('verbenadeck')

    def _finish(self) -> None:
        self.heal()
        self.advance(2 * _REQUEST_TIMEOUT_S)
        assert all(send.task.done() for send in self.sends)
        self.oracle()

    @initialize()
    def start(self) -> None:
        self.runner.run(self._start())

    @rule(
        request_id=_request_ids,
        number=_node_numbers,
        wait_s=st.sampled_from((0, 0.05)),
    )
    def send(self, request_id: str, number: int, wait_s: float) -> None:
        """Send a deposit through the router of a node."""
        entry = self._live_node(number)
        router = self.routers[entry.incarnation]

        is_new = all(send.request_id != request_id for send in self.sends)

        async def begin() -> None:
            deposit = make_deposit(
                request_id, timeout_s=_REQUEST_TIMEOUT_S, is_new=is_new
            )
            task = asyncio.create_task(router.route(deposit))
            self.sends.append(_Send(request_id, entry, task))

        self.runner.run(begin())
        self.advance(wait_s)

    @rule(wait_s=st.sampled_from((0.004, 0.03, 0.2, 1.0)))
    def advance(self, wait_s: float) -> None:
        """Let time pass."""
        self.runner.run(asyncio.sleep(wait_s))

    @rule(number=_optional_node_numbers)
    def crash(self, number: int | None) -> None:
        """Crash an upstream and restart it at once."""
        upstream = self._node_or_owner(number).upstream
        self.runner.run(_call_in_loop(upstream.crash))
        self.runner.run(_call_in_loop(upstream.announce))

    @rule(number=_optional_node_numbers, is_connected=st.booleans())
    def connect(self, number: int | None, is_connected: bool) -> None:
        """Refuse or accept new connections to an upstream."""
        self._node_or_owner(number).upstream.is_connected = is_connected

    @rule(
        number=_optional_node_numbers, sheds_above=st.sampled_from((None, 0, 1))
    )
    def shed(self, number: int | None, sheds_above: int | None) -> None:
        """Make an upstream shed load, or end that."""
        self._node_or_owner(number).upstream.sheds_above = sheds_above

    @rule(
        number=_optional_node_numbers,
        service_time_s=st.sampled_from((0.05, 0.5, 3)),
    )
    def straggle(self, number: int | None, service_time_s: float) -> None:
        """Change the service time of an upstream."""
        self._node_or_owner(number).upstream.service_time_s = service_time_s

    @rule(first=_node_numbers, second=_node_numbers)
    def cut(self, first: int, second: int) -> None:
        """Block one direction between two nodes."""
        link = (self.nodes[first].address, self.nodes[second].address)
        self.proxy_fleet.network.blocked_links.add(link)

    @rule()
    def heal(self) -> None:
        """Unblock all links."""
        self.proxy_fleet.network.heal()

    @rule(number=st.integers(0, 20))
    def hang_up(self, number: int) -> None:
        """Cancel the send of a caller, as when its connection closes."""
        if number < len(self.sends):
            self.sends[number].task.cancel()
            self.advance(0)

    @rule(number=_node_numbers)
    def move(self, number: int) -> None:
        """Hand all shards over to another node in a planned move."""
        if not self.running_moves:
            self._spawn(self._move(self._live_node(number)))

    @rule()
    def lose_owner(self) -> None:
        """Lose the owner permanently; another node takes its shards over."""
        if not self.running_moves and not self.has_lost_owner:
            self.has_lost_owner = True
            self._spawn(self._lose_owner())

    @invariant()
    def oracle(self) -> None:
        """Check runs against results.

        No id runs twice, each answer belongs to a run of its id, and an id
        whose results are all "not run" has no run.
        """
        runs = self._runs_by_id()
        assert all(count <= 1 for count in runs.values()), runs
        outcomes: dict[str, set[Outcome | None]] = {}
        for send in self.sends:
            seen = outcomes.setdefault(send.request_id, set())
            seen.add(self._outcome(send, runs))
        for request_id, seen in outcomes.items():
            if seen == {Outcome.NOT_RUN}:
                assert request_id not in runs, request_id

    def _outcome(self, send: _Send, runs: dict[str, int]) -> Outcome | None:
        result = send.result
        if result is None:
            return None
        if isinstance(result, Success):
            assert result.unwrap().body == send.request_id.encode()
            assert runs[send.request_id] == 1
            return None
        return refusal(result).outcome

    def _runs_by_id(self) -> dict[str, int]:
        runs: dict[str, int] = {}
        for node in getattr(self, 'nodes', ()):
            for request_id, count in node.upstream.runs.items():
                runs[request_id] = runs.get(request_id, 0) + count
        return runs

    async def _start(self) -> None:
        self.proxy_fleet = ProxyFleet()
        self.proxy_fleet.fleet.config = make_config(
            services={SERVICE: make_policy(has_ledger_copies=self.has_copies)}
        )
        for number in range(_NODES):
            others = [(number + step) % _NODES + 1 for step in (1, 2, 3)]
            await self.proxy_fleet.add(
                FakeUpstream(slots=2, service_time_s=0.3),
                witnesses=tuple(Incarnation(other) for other in others),
            )
        self.nodes = self.proxy_fleet.nodes
        self.owner = self.nodes[0]
        self.proxy_fleet.own_all(self.owner)
        self.routers = {
            node.incarnation: make_router(self.proxy_fleet, node)
            for node in self.nodes
        }

    def _node_or_owner(self, number: int | None) -> Node:
        return self.owner if number is None else self._live_node(number)

    def _live_node(self, number: int) -> Node:
        node = self.nodes[number]
        if (
            node.incarnation in self.proxy_fleet.fleet.members
            and node.transport.is_up
        ):
            return node
        return self.nodes[(number + 1) % _NODES]

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        async def begin() -> None:
            task = asyncio.create_task(work)
            self.running_moves.add(task)
            task.add_done_callback(self.running_moves.discard)

        self.runner.run(begin())

    async def _move(self, new: Node) -> None:
        old = self.owner
        if new is old:
            return
        self.owner = new
        new.ownership.moving.update(range(SHARDS))
        self.proxy_fleet.own_all(new)
        deadline_s = self.proxy_fleet.clock.now_s() + _REQUEST_TIMEOUT_S
        entries = await old.proxy.close_shards(
            all_shards(SERVICE), deadline_s=deadline_s
        )
        new.proxy.open_shards(all_shards(SERVICE), entries)
        new.ownership.moving.clear()

    async def _lose_owner(self) -> None:
        lost = self.owner
        lost.transport.is_up = False
        lost.ownership.lease_deadline_s = (
            self.proxy_fleet.clock.now_s() + _LEASE_S
        )
        await asyncio.sleep(_EVICTION_DELAY_S)
        self.proxy_fleet.lose(lost)
        self.owner = self._live_node(self.nodes.index(lost))
        self.owner.proxy.open_shards(all_shards(SERVICE), None)
        self.proxy_fleet.own_all(self.owner)


class CopylessMachine(DeduplicationMachine):
    """The same without copies of ledger entries."""

    has_copies = False


async def _call_in_loop(work: functools.partial[None] | Any) -> None:
    work()
