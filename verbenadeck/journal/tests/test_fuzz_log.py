"""Random faults of the log, links and nodes lose no acknowledged change."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from loguru import logger
from returns.pipeline import is_successful

from verbenadeck.config import add_exception
from verbenadeck.config.operations import apply_change
from verbenadeck.config.tests.builders import make_rule
from verbenadeck.fleet import FleetState
from verbenadeck.journal import Checkpointer, CheckpointOptions
from verbenadeck.journal._checkpoint_tracker import Checkpoint
from verbenadeck.journal._state_loader import StateLoader
from verbenadeck.journal.tests.builders import LogFleet, Node
from verbenadeck.model import Era, Offset
from verbenadeck.records import ConfigPublished, Verdict
from verbenadeck.testing import run_virtual

_ZONES = ('suva', 'nadi', 'lautoka')
_OPTIONS = CheckpointOptions(
    interval_s=20, max_records=30, check_interval_s=1, turn_s=2, chunk_s=5
)
_RECOVERY_S = 40
_CHANGE_TIMEOUT_S = 12
_APPLY_S = 1
_FUZZ_SETTINGS = settings(
    max_examples=30, derandomize=True, database=None, deadline=None
)
_DEFECT_SEARCH = settings(
    _FUZZ_SETTINGS, max_examples=150, phases=(Phase.generate,)
)


class FaultInjectingSite:
    """Site of three nodes with operators and injected faults.

    Attributes
    ----------
    site : LogFleet
        The nodes and their log.
    acknowledged : set of str
        Names of the changes that were acknowledged to operators.
    """

    def __init__(self) -> None:
        self.site = LogFleet()
        self.acknowledged: set[str] = set()
        self.versions: list[int] = []
        self._checkpointers: list[Checkpointer] = []
        self._changes: set[asyncio.Task[None]] = set()
        self._count = 0
        self._incarnation_count = 1
        self._faults: dict[str, Callable[[Node], Awaitable[None] | None]] = {
            'change': self._change,
            'log-down': lambda _node: self._set_log(is_up=False),
            'log-up': lambda _node: self._set_log(is_up=True),
            'lose-answers': self._lose_answers,
            'cut': lambda node: setattr(node.adapter, 'is_cut', True),
            'go-silent': lambda node: setattr(node.adapter, 'is_silent', True),
            'hold-appends': lambda node: setattr(
                node.adapter, 'holds_appends', True
            ),
            'release-appends': lambda node: node.adapter.release_appends(),
            'isolate': lambda node: self.site.network.isolate(node.address),
            'heal': lambda _node: self.heal(),
            'expire': lambda _node: self._expire(),
            'restart': self._restart,
        }

    async def start(self) -> None:
        """Start the nodes and their checkpointers."""
        for zone in _ZONES:
            self._add_checkpointer(await self.site.add(zone=zone))
            await self._checkpointers[-1].start()
        await self.site.settle()

    async def inject(self, fault: str, index: int, wait_s: float) -> None:
        """Inject a fault at a node, then let the site run for `wait_s` seconds."""
        done = self._faults[fault](self.site.nodes[index])
        if done is not None:
            await done
        await asyncio.sleep(wait_s)

    def heal(self) -> None:
        """End all lasting faults."""
        self.site.log.is_up = True
        self.site.log.lost_answers = 0
        self.site.network.heal()
        for node in self.site.nodes:
            node.adapter.is_cut = False
            node.adapter.is_silent = False
            node.adapter.release_appends()

    async def stop(self) -> None:
        """Stop pending changes, checkpointers and nodes."""
        for change in self._changes:
            change.cancel()
        for checkpointer in self._checkpointers:
            await checkpointer.stop()
        for node in self.site.nodes:
            await node.client.stop()

    def check(self) -> None:
        """Fail if a node lacks an acknowledged change or differs from others."""
        assert self.site.has_converged()
        for node in self.site.nodes:
            assert node.client.is_ready
            rules = node.client.fleet.config.exceptions
            assert self.acknowledged <= {rule.name for rule in rules}

    def _add_checkpointer(self, node: Node) -> None:
        checkpointer = Checkpointer(
            client=node.client, clock=node.clock, options=_OPTIONS
        )
        self._checkpointers.append(checkpointer)
        seen: list[int] = [0]

        def check_version(*_applied: object) -> None:
            version = node.client.fleet.config_version
            assert version >= seen[-1]
            seen.append(version)

        node.client.fleet.subscribe(check_version)

    def _change(self, node: Node) -> None:
        self._count += 1
        name = f'change-{self._count}'
        change = asyncio.ensure_future(self._apply(node, name))
        self._changes.add(change)

    async def _apply(self, node: Node, name: str) -> None:
        answer = await apply_change(
            node.client,
            add_exception(make_rule(name)),
            author=node.node_id,
            deadline_s=node.deadline_in(_CHANGE_TIMEOUT_S),
        )
        if is_successful(answer):
            self.acknowledged.add(name)

    def _set_log(self, *, is_up: bool) -> None:
        self.site.log.is_up = is_up

    def _lose_answers(self, _node: Node) -> None:
        self.site.log.lost_answers = 2

    def _expire(self) -> None:
        """Expire the log if all nodes are ready and one has applied its last record."""
        applied = [
            node.client.fleet.applied_offset
            for node in self.site.nodes
            if node.client.is_ready
        ]
        last = len(self.site.log.records) - 1
        if last in applied and len(applied) == len(self.site.nodes):
            self.site.expire()

    async def _restart(self, node: Node) -> None:
        """Restart a node unless no other node has applied the whole log."""
        others = [other for other in self.site.nodes if other is not node]
        last = len(self.site.log.records) - 1
        known = [other.client.fleet.applied_offset for other in others]
        if last not in known:
            return
        index = self.site.nodes.index(node)
        await self._checkpointers[index].stop()
        await node.stop()
        self._incarnation_count += 1
        restarted = Node(
            self.site.log,
            self.site.network,
            index,
            zone=node.zone,
            run_number=self._incarnation_count,
        )
        self.site.nodes[index] = restarted
        checkpointers = self._checkpointers
        self._add_checkpointer(restarted)
        checkpointers[index] = checkpointers.pop()
        await restarted.client.start()
        await checkpointers[index].start()


_FAULTS = (
    'change',
    'log-down',
    'log-up',
    'lose-answers',
    'cut',
    'go-silent',
    'hold-appends',
    'release-appends',
    'isolate',
    'heal',
    'expire',
    'restart',
)
_Steps = list[tuple[str, int, float]]


def _steps(*faults: str) -> st.SearchStrategy[_Steps]:
    step = st.tuples(
        st.one_of(st.just('change'), st.sampled_from(faults)),
        st.integers(0, len(_ZONES) - 1),
        st.sampled_from((0.0, 0.02, 0.5, 3.0)),
    )
    return st.lists(step, min_size=10, max_size=30)


async def _run(steps: _Steps) -> None:
    logger.disable('verbenadeck')
    injector = FaultInjectingSite()
    try:
        await injector.start()
        for fault, index, wait_s in steps:
            await injector.inject(fault, index, wait_s)
        injector.heal()
        await asyncio.sleep(_RECOVERY_S)
        if not injector.site.has_converged():
            # A checkpoint may have been appended right now.
            await asyncio.sleep(_APPLY_S)
        injector.check()
    finally:
        await injector.stop()
        logger.enable('verbenadeck')


def _start_at_any_offset(
    loader: StateLoader,
    checkpoint: Checkpoint | None,
    first: Offset,
    _era: Era,
) -> bool:
    """Start from any offset, even if the records before it have expired."""
    fleet = loader._fleet
    if checkpoint is not None:
        fleet.restore(checkpoint.packed)
    fleet._applied_offset = max(fleet.applied_offset, Offset(first - 1))
    return True


_apply_config = FleetState._apply_config


def _judge_without_version(
    state: FleetState, offset: Offset, record: ConfigPublished
) -> Verdict:
    """Accept a document regardless of its expected version."""
    forced = msgspec.structs.replace(
        record, expected_version=state.config_version
    )
    return _apply_config(state, offset, forced)


@_FUZZ_SETTINGS
@given(_steps(*_FAULTS))
def test_acknowledged_changes_survive_random_faults(steps: _Steps) -> None:
    run_virtual(_run(steps))


@pytest.mark.parametrize(
    ('owner', 'name', 'fault', 'faults'),
    (
        (
            StateLoader,
            '_start_from',
            _start_at_any_offset,
            ('expire', 'restart'),
        ),
        (
            FleetState,
            '_apply_config',
            _judge_without_version,
            ('lose-answers', 'hold-appends', 'release-appends'),
        ),
    ),
)
def test_seeded_defect_is_detected_as_lost_change(
    owner: object,
    name: str,
    fault: object,
    faults: tuple[str, ...],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(owner, name, fault)

    @_DEFECT_SEARCH
    @given(_steps(*faults))
    def search_for_loss(steps: _Steps) -> None:
        run_virtual(_run(steps))

    with pytest.raises(AssertionError):
        search_for_loss()
