"""Operators' records after the store has come back from a copy."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from verbenadeck.fleet import FleetState
from verbenadeck.journal import ReadOptions, SourcePlanner
from verbenadeck.model import NodeId, Zone
from verbenadeck.peers import PeerAddress
from verbenadeck.platform._frames import make_record
from verbenadeck.platform._operator_records import (
    make_operator_follower,
    make_records_handler,
)
from verbenadeck.platform.tests.builders import make_config
from verbenadeck.routes import OperatorState, RouteStore
from verbenadeck.testing import (
    FakeNetwork,
    MemoryLog,
    MemoryLogAdapter,
    run_virtual,
    virtual_clock,
)

_SETTLING_S = 3.0
_IN_FORCE = '0000000c'
_SUVA = 'evacuate/suva'
_NADI = 'evacuate/nadi'


class _OperatedNode:
    """Node that follows operators' records in a store that comes back."""

    def __init__(self) -> None:
        clock = virtual_clock()
        self._log = MemoryLog()
        self._adapter = MemoryLogAdapter(self._log, clock)
        self._route_store = RouteStore()
        self._follower = make_operator_follower(
            adapter=self._adapter,
            clock=clock,
            random_source=random.Random(1),
            transport=FakeNetwork().transport(
                PeerAddress('127.0.0.1', 1), clock
            ),
            planner=SourcePlanner(
                fleet=FleetState(),
                node_id=NodeId('node'),
                random_source=random.Random(1),
                direct_readers=1,
            ),
            options=ReadOptions(),
            on_records=make_records_handler(self._route_store),
        )

    async def start(self) -> None:
        """Start with the configuration in force."""
        self.write('config', make_config(_IN_FORCE))
        await self._follower.start()
        await asyncio.sleep(1)

    async def stop(self) -> None:
        """Stop following."""
        await self._follower.stop()

    def write(self, key: str, content: bytes) -> None:
        """Write a record as an operator; an empty one drops the key."""
        self._log.append(make_record(key, content), key, is_drop=not content)

    async def write_and_read(self, key: str, content: bytes) -> None:
        """Write a record, and let the node read it."""
        self.write(key, content)
        await asyncio.sleep(1)

    def copy(self) -> int:
        """Return a copy of the store, for `return_from`."""
        return len(self._log.records)

    async def return_from(
        self, copied: int, *written: tuple[str, bytes]
    ) -> None:
        """Come back from a copy; the node learns of it after some writes."""
        self._adapter.is_cut = True
        await asyncio.sleep(1)
        self._log.return_from_copy(copied)
        for key, content in written:
            self.write(key, content)
        self._adapter.is_cut = False
        await asyncio.sleep(_SETTLING_S)

    async def forget_history(self, *written: tuple[str, bytes]) -> None:
        """Expire some records before the node reads them."""
        self._adapter.is_cut = True
        await asyncio.sleep(1)
        for key, content in written:
            self.write(key, content)
        self._log.expire_all()
        self._adapter.is_cut = False
        await asyncio.sleep(_SETTLING_S)

    @property
    def state(self) -> OperatorState:
        """State in force on the node."""
        state = self._route_store.state
        assert state is not None
        return state


def _run(scenario: Callable[[_OperatedNode], Awaitable[None]]) -> None:
    async def main() -> None:
        node = _OperatedNode()
        await node.start()
        await scenario(node)
        await node.stop()

    run_virtual(main())


def _config(version: str = _IN_FORCE) -> tuple[str, bytes]:
    return 'config', make_config(version)


# Guards against an evacuation that is skipped with the rest of the copy.
@pytest.mark.parametrize('version', [_IN_FORCE, '0000000d'])
def test_evacuation_right_after_a_return_takes_effect(version: str) -> None:
    async def scenario(node: _OperatedNode) -> None:
        await node.return_from(node.copy(), _config(version), (_SUVA, b'{}'))
        assert node.state.version == int(version, 16)
        assert node.state.zones_out == {Zone('suva')}

    _run(scenario)


def test_evacuations_after_two_returns_take_effect() -> None:
    async def scenario(node: _OperatedNode) -> None:
        copied = node.copy()
        await node.return_from(copied, _config(), (_SUVA, b'{}'))
        await node.return_from(copied, _config(), (_NADI, b'{}'))
        assert node.state.zones_out == {Zone('suva'), Zone('nadi')}

    _run(scenario)


# Guards against an acknowledged evacuation that ends with the lost records.
@pytest.mark.parametrize('written', [(), (_config(),), (_config('0000000d'),)])
def test_lost_evacuation_stays_in_force(
    written: tuple[tuple[str, bytes], ...],
) -> None:
    async def scenario(node: _OperatedNode) -> None:
        copied = node.copy()
        await node.write_and_read(_SUVA, b'{}')
        await node.return_from(copied, *written)
        assert node.state.zones_out == {Zone('suva')}
        await node.forget_history(_config('0000000e'))
        assert node.state.version == 14
        assert node.state.zones_out == {Zone('suva')}
        await node.write_and_read(_SUVA, b'')
        assert not node.state.zones_out

    _run(scenario)


# Guards against a zone that is out again without a word of the operators.
def test_evacuation_of_the_copy_that_was_taken_back_stays_so() -> None:
    async def scenario(node: _OperatedNode) -> None:
        await node.write_and_read(_SUVA, b'{}')
        copied = node.copy()
        await node.write_and_read(_SUVA, b'')
        await node.return_from(copied, _config())
        assert not node.state.zones_out
        await node.return_from(copied, _config('0000000d'))
        assert not node.state.zones_out
        await node.write_and_read(_SUVA, b'{}')
        assert node.state.zones_out == {Zone('suva')}

    _run(scenario)


def test_evacuation_of_the_copy_that_is_taken_back_unread_ends() -> None:
    async def scenario(node: _OperatedNode) -> None:
        await node.write_and_read(_SUVA, b'{}')
        await node.return_from(node.copy())
        assert node.state.zones_out == {Zone('suva')}
        await node.forget_history((_SUVA, b''))
        assert not node.state.zones_out

    _run(scenario)


# Guards against an evacuation that goes on after its end was read with the copy.
@pytest.mark.parametrize('version', ['0000000b', '0000000d'])
def test_end_of_an_evacuation_right_after_a_return_takes_effect(
    version: str,
) -> None:
    async def scenario(node: _OperatedNode) -> None:
        await node.write_and_read('config', make_config(version))
        await node.write_and_read(_SUVA, b'{}')
        copied = node.copy()
        await node.write_and_read(_NADI, b'{}')
        await node.return_from(copied, (_SUVA, b''))
        assert node.state.zones_out == {Zone('nadi')}

    _run(scenario)


# Guards against the same where older records of the copy have expired.
def test_end_of_an_evacuation_is_read_from_a_shortened_history() -> None:
    async def scenario(node: _OperatedNode) -> None:
        await node.write_and_read(_SUVA, b'{}')
        await node.forget_history()
        await node.return_from(node.copy(), (_SUVA, b''), _config('0000000d'))
        assert not node.state.zones_out

    _run(scenario)


# Guards against a configuration that goes back to that of the copy.
def test_version_in_force_outlives_an_older_copy() -> None:
    async def scenario(node: _OperatedNode) -> None:
        copied = node.copy()
        await node.write_and_read('config', make_config('0000000f'))
        await node.return_from(copied)
        assert node.state.version == 15
        await node.return_from(copied, _config('0000000e'))
        assert node.state.version == 15
        await node.return_from(copied, _config('00000010'))
        assert node.state.version == 16

    _run(scenario)
