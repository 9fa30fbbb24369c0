"""Microkernel in which services find each other by name."""

from collections.abc import Iterable
from typing import Protocol, TypeVar, runtime_checkable

from loguru import logger

_log = logger.bind(part='kernel')
_ServiceT = TypeVar('_ServiceT')


@runtime_checkable
class Service(Protocol):
    """Component of a node that is started and gracefully stopped."""

    async def start(self) -> None:
        """Start the service; its dependencies have already started."""
        ...

    async def stop(self) -> None:
        """Stop gracefully; the services that depend on it have stopped."""
        ...


class KernelError(Exception):
    """Service is missing, registered twice, of another type or in a cycle."""


class Kernel:
    """Registry that starts and stops services in dependency order."""

    def __init__(self) -> None:
        self._services: dict[str, object] = {}
        self._depends_on: dict[str, tuple[str, ...]] = {}
        self._started: list[str] = []
        self._not_auto_started: set[str] = set()

    def register(
        self,
        name: str,
        service: object,
        *,
        depends_on: Iterable[str] = (),
        is_auto_started: bool = True,
    ) -> None:
        """Register a service under a name.

        Parameters
        ----------
        name : str
            Unique name.
        service : object
            The service; its `start` and `stop` are called if it has both.
        depends_on : iterable of str
            Names of services that start before this one.
        is_auto_started : bool
            False for a service that another service starts later; the kernel
            stops it like all others.

        Raises
        ------
        KernelError
            If the name is already registered.
        """
        if name in self._services:
            raise KernelError(f'service {name} is already registered')
        self._services[name] = service
        self._depends_on[name] = tuple(depends_on)
        if not is_auto_started:
            self._not_auto_started.add(name)

    def find(self, name: str, service_type: type[_ServiceT]) -> _ServiceT:
        """Return the service registered under a name.

        Parameters
        ----------
        name : str
            Name of the service.
        service_type : type
            Type that the service must have.

        Returns
        -------
        object
            The service, an instance of `service_type`.

        Raises
        ------
        KernelError
            If the name is not registered or the service has another type.
        """
        service = self._services.get(name)
        if not isinstance(service, service_type):
            raise KernelError(
                f'no service {name} of type {service_type.__name__}'
            )
        return service

    async def start(self) -> None:
        """Start all services, each after its dependencies.

        Raises
        ------
        KernelError
            If a dependency is not registered or there is a cycle.
        """
        for name in self._start_order():
            service = self._services[name]
            is_auto_started = name not in self._not_auto_started
            if is_auto_started and isinstance(service, Service):
                await service.start()
            self._started.append(name)
            _log.debug('service {} started', name)

    async def stop(self) -> None:
        """Stop all started services in reverse order."""
        while self._started:
            name = self._started.pop()
            service = self._services[name]
            if isinstance(service, Service):
                await service.stop()
            _log.debug('service {} stopped', name)

    def _start_order(self) -> list[str]:
        order: list[str] = []
        visiting: set[str] = set()

        def visit(name: str) -> None:
            if name in order:
                return
            if name in visiting or name not in self._services:
                raise KernelError(
                    f'service {name} is not registered or is part of a dependency cycle'
                )
            visiting.add(name)
            for dependency in self._depends_on[name]:
                visit(dependency)
            order.append(name)

        for name in self._services:
            visit(name)
        return order
