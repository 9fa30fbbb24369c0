"""Micro-kernel: services find each other by name."""

from collections.abc import Iterable
from typing import Protocol, TypeVar, runtime_checkable

from loguru import logger

_log = logger.bind(part='kernel')
_Found = TypeVar('_Found')


@runtime_checkable
class Service(Protocol):
    """Part of a node with a start and a graceful stop."""

    async def start(self) -> None:
        """Start; services that this one needs have started."""
        ...

    async def stop(self) -> None:
        """Stop gracefully; services that need this one have stopped."""
        ...


class KernelError(Exception):
    """A service is missing, doubled or of another type."""


class Kernel:
    """Registry that starts services in dependency order."""

    def __init__(self) -> None:
        self._services: dict[str, object] = {}
        self._depends_on: dict[str, tuple[str, ...]] = {}
        self._started: list[str] = []
        self._started_elsewhere: set[str] = set()

    def register(
        self,
        name: str,
        service: object,
        *,
        depends_on: Iterable[str] = (),
        is_auto_started: bool = True,
    ) -> None:
        """Add a service under a name.

        Parameters
        ----------
        name : str
            Unique name.
        service : object
            The service; its `start` and `stop` are called when it has them.
        depends_on : iterable of str
            Names of services that start before this one.
        is_auto_started : bool
            False for a service that another one starts when its time comes;
            it is stopped here all the same.

        Raises
        ------
        KernelError
            When the name is taken.
        """
        if name in self._services:
            raise KernelError(f'service {name} is registered twice')
        self._services[name] = service
        self._depends_on[name] = tuple(depends_on)
        if not is_auto_started:
            self._started_elsewhere.add(name)

    def find(self, name: str, kind: type[_Found]) -> _Found:
        """Return the service of a name.

        Raises
        ------
        KernelError
            When there is none or it is not of the given type.
        """
        service = self._services.get(name)
        if not isinstance(service, kind):
            raise KernelError(f'no service {name} of type {kind.__name__}')
        return service

    async def start(self) -> None:
        """Start all services, each after those that it needs."""
        for name in self._start_order():
            service = self._services[name]
            is_auto_started = name not in self._started_elsewhere
            if is_auto_started and isinstance(service, Service):
                await service.start()
            self._started.append(name)
            _log.debug('started {}', name)

    async def stop(self) -> None:
        """Stop all started services in reverse order."""
        while self._started:
            name = self._started.pop()
            service = self._services[name]
            if isinstance(service, Service):
                await service.stop()
            _log.debug('stopped {}', name)

    def _start_order(self) -> list[str]:
        order: list[str] = []
        visiting: set[str] = set()

        def visit(name: str) -> None:
            if name in order:
                return
            if name in visiting or name not in self._services:
                raise KernelError(f'service {name} is missing or in a cycle')
            visiting.add(name)
            for needed in self._depends_on[name]:
                visit(needed)
            order.append(name)

        for name in self._services:
            visit(name)
        return order
