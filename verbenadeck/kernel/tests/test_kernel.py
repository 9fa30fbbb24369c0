"""Start order and lookup of services."""

import asyncio

import pytest

from verbenadeck.kernel import Kernel, KernelError


class _RecordingService:
    def __init__(self, name: str, events: list[str]) -> None:
        self._name = name
        self._events = events

    async def start(self) -> None:
        self._events.append(f'start {self._name}')

    async def stop(self) -> None:
        self._events.append(f'stop {self._name}')


def test_services_start_after_their_dependencies() -> None:
    events: list[str] = []
    kernel = Kernel()
    kernel.register(
        'door', _RecordingService('door', events), depends_on=('log',)
    )
    kernel.register('log', _RecordingService('log', events))

    async def scenario() -> None:
        await kernel.start()
        await kernel.stop()

    asyncio.run(scenario())
    assert events == ['start log', 'start door', 'stop door', 'stop log']


def test_dependency_cycle_is_refused() -> None:
    kernel = Kernel()
    kernel.register('one', object(), depends_on=('two',))
    kernel.register('two', object(), depends_on=('one',))
    with pytest.raises(KernelError, match='cycle'):
        asyncio.run(kernel.start())


def test_error_names_missing_service() -> None:
    with pytest.raises(KernelError, match='no service log'):
        Kernel().find('log', str)
