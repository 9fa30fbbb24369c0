"""State machine that runs routers and doors against a simple oracle."""

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
from verbenadeck.proxy.tests.fakes import SERVICE, SHARDS, FakeUpstream
from verbenadeck.router.tests.builders import make_router
from verbenadeck.testing import VirtualLoop

_NODES = 5
_TIMEOUT_S = 2.0
_LEASE_S = 0.5
_EVICTION_S = 1.0

_numbers = st.integers(0, _NODES - 1)
_targets = st.sampled_from((None, None, None, *range(_NODES)))
_ids = st.integers(1, 4).map('deposit-{}'.format)


class _Send:
    """One send of a deposit by a caller and what came of it."""

    def __init__(
        self, request_id: str, entry: Node, task: asyncio.Task[AnswerResult]
    ) -> None:
        self.request_id = request_id
        self.entry = entry
        self.task = task

    @property
    def result(self) -> AnswerResult | None:
        """Result that the caller saw, None when it saw none."""
        if not self.task.done() or self.task.cancelled():
            return None
        return self.task.result()


class OnceMachine(RuleBasedStateMachine):
    """Callers, faults and moves; the oracle counts runs of each id."""

    def __init__(self) -> None:
        super().__init__()
        logger.disable('verbenadeck')
        self.runner = asyncio.Runner(loop_factory=VirtualLoop)
        self.sends: list[_Send] = []
        self.is_loss_spent = False
        self.busy: set[asyncio.Task[None]] = set()

    def teardown(self) -> None:
        """Let all sends end, check once more and close the loop."""
        try:
            self._finish()
        finally:
            self.runner.close()
            logger.enable('verbenadeck')

    def _finish(self) -> None:
        self.heal()
        self.advance(2 * _TIMEOUT_S)
        assert all(send.task.done() for send in self.sends)
        self.oracle()

    @initialize()
    def start(self) -> None:
        self.runner.run(self._start())

    @rule(request_id=_ids, number=_numbers, wait_s=st.sampled_from((0, 0.05)))
    def send(self, request_id: str, number: int, wait_s: float) -> None:
        """Let a caller send a deposit through an entry."""
        entry = self._alive(number)
        router = self.routers[entry.incarnation]

        async def begin() -> None:
            deposit = make_deposit(request_id, timeout_s=_TIMEOUT_S)
            task = asyncio.create_task(router.route(deposit))
            self.sends.append(_Send(request_id, entry, task))

        self.runner.run(begin())
        self.advance(wait_s)

    @rule(wait_s=st.sampled_from((0.004, 0.03, 0.2, 1.0)))
    def advance(self, wait_s: float) -> None:
        """Let time pass."""
        self.runner.run(asyncio.sleep(wait_s))

    @rule(number=_targets)
    def crash(self, number: int | None) -> None:
        """Crash an upstream, which comes back at once."""
        upstream = self._target(number).upstream
        self.runner.run(_call(upstream.crash))
        self.runner.run(_call(upstream.announce))

    @rule(number=_targets, is_connected=st.booleans())
    def connect(self, number: int | None, is_connected: bool) -> None:
        """Break or mend new connections to an upstream."""
        self._target(number).upstream.is_connected = is_connected

    @rule(number=_targets, sheds_above=st.sampled_from((None, 0, 1)))
    def shed(self, number: int | None, sheds_above: int | None) -> None:
        """Let an upstream shed load or stop it."""
        self._target(number).upstream.sheds_above = sheds_above

    @rule(number=_targets, service_time_s=st.sampled_from((0.05, 0.5, 3)))
    def straggle(self, number: int | None, service_time_s: float) -> None:
        """Change the speed of an upstream."""
        self._target(number).upstream.service_time_s = service_time_s

    @rule(first=_numbers, second=_numbers)
    def cut(self, first: int, second: int) -> None:
        """Cut one direction between two nodes."""
        link = (self.nodes[first].address, self.nodes[second].address)
        self.site.network.blocked_links.add(link)

    @rule()
    def heal(self) -> None:
        """Mend all links."""
        self.site.network.heal()

    @rule(number=st.integers(0, 20))
    def hang_up(self, number: int) -> None:
        """Let a caller go away."""
        if number < len(self.sends):
            self.sends[number].task.cancel()
            self.advance(0)

    @rule(number=_numbers)
    def move(self, number: int) -> None:
        """Move all shards as planned."""
        if not self.busy:
            self._spawn(self._move(self._alive(number)))

    @rule()
    def lose_owner(self) -> None:
        """Lose the owner for good and let another node take over."""
        if not self.busy and not self.is_loss_spent:
            self.is_loss_spent = True
            self._spawn(self._lose_owner())

    @invariant()
    def oracle(self) -> None:
        """No id runs twice, answers are true, "not run" is true."""
        runs = self._runs()
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

    def _runs(self) -> dict[str, int]:
        runs: dict[str, int] = {}
        for node in getattr(self, 'nodes', ()):
            for request_id, count in node.upstream.runs.items():
                runs[request_id] = runs.get(request_id, 0) + count
        return runs

    async def _start(self) -> None:
        self.site = ProxyFleet()
        for number in range(_NODES):
            others = [(number + step) % _NODES + 1 for step in (1, 2, 3)]
            await self.site.add(
                FakeUpstream(slots=2, service_time_s=0.3),
                witnesses=tuple(Incarnation(other) for other in others),
            )
        self.nodes = self.site.nodes
        self.owner = self.nodes[0]
        self.site.own_all(self.owner)
        self.routers = {
            node.incarnation: make_router(self.site, node)
            for node in self.nodes
        }

    def _target(self, number: int | None) -> Node:
        return self.owner if number is None else self._alive(number)

    def _alive(self, number: int) -> Node:
        node = self.nodes[number]
        if node.incarnation in self.site.fleet.members and node.transport.is_up:
            return node
        return self.nodes[(number + 1) % _NODES]

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        async def begin() -> None:
            task = asyncio.create_task(work)
            self.busy.add(task)
            task.add_done_callback(self.busy.discard)

        self.runner.run(begin())

    async def _move(self, new: Node) -> None:
        old = self.owner
        if new is old:
            return
        self.owner = new
        new.ownership.moving.update(range(SHARDS))
        self.site.own_all(new)
        deadline_s = self.site.clock.now_s() + _TIMEOUT_S
        entries = await old.proxy.close_shards(
            all_shards(SERVICE), deadline_s=deadline_s
        )
        new.proxy.open_shards(all_shards(SERVICE), entries)
        new.ownership.moving.clear()

    async def _lose_owner(self) -> None:
        lost = self.owner
        lost.transport.is_up = False
        lost.ownership.lease_deadline_s = self.site.clock.now_s() + _LEASE_S
        await asyncio.sleep(_EVICTION_S)
        self.site.lose(lost)
        self.owner = self._alive(self.nodes.index(lost))
        self.owner.proxy.open_shards(all_shards(SERVICE), None)
        self.site.own_all(self.owner)


async def _call(work: functools.partial[None] | Any) -> None:
    work()
