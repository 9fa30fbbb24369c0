"""Routes: which service answers which host and path, under which terms."""

from collections.abc import Mapping

import msgspec

from verbenadeck.model import ServiceName, Zone


class WeightedService(msgspec.Struct, frozen=True):
    """Service that gets a share of a route's requests."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Terms of the requests of one host below one path.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host in lower case.
    path_prefix : str
        Prefix of the path; begins and ends with a slash.
    weighted_services : tuple of WeightedService
        Services that answer, with their shares; one at least.
    is_repeatable : bool
        Whether a request may run more than once.
    timeout_s : float
        Longest time that a request may be kept waiting, in seconds.
    objective_s : float
        Time within which an answer is worth most, in seconds.
    priority : int
        Urgency; 0 is the most urgent.
    max_sends : int
        Most upstreams that one request may reach.
    """

    name: str
    host: str
    path_prefix: str
    weighted_services: tuple[WeightedService, ...]
    is_repeatable: bool
    timeout_s: float
    objective_s: float
    priority: int
    max_sends: int


class ServiceConfig(msgspec.Struct, frozen=True):
    """What operators say of the upstreams of one service.

    Parameters
    ----------
    name : ServiceName
        Service.
    is_keyed : bool
        Whether it is divided by key.
    health_path : str
        Path of the health check.
    max_connections : int
        Connections that one upstream accepts from all callers.
    cold_requests_per_s : float
        Requests a second that a cold upstream bears.
    """

    name: ServiceName
    is_keyed: bool
    health_path: str
    max_connections: int
    cold_requests_per_s: float


class CallerLimits(msgspec.Struct, frozen=True):
    """Bounds of what callers may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3
    idle_timeout_s: float = 15


class OperatorState(msgspec.Struct, frozen=True):
    """Everything that operators have published, as of one version.

    Parameters
    ----------
    version : int
        Version of the routes.
    routes : tuple of Route
        Routes.
    services : mapping of ServiceName to ServiceConfig
        Services.
    limits : CallerLimits
        Bounds of what callers may send.
    zones_out : frozenset of Zone
        Availability zones that get no new work.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, ServiceConfig]
    limits: CallerLimits = CallerLimits()
    zones_out: frozenset[Zone] = frozenset()


class RouteTable:
    """Finds the route of a request.

    Parameters
    ----------
    routes : tuple of Route
        Routes; of those that match, the one with the longest prefix counts.

    Examples
    --------
    >>> part = WeightedService('desk', 1)
    >>> routes = [
    ...     Route(p, 'a.example', p, (part,), True, 1, 1, 0, 2)
    ...     for p in ('/', '/photos/')
    ... ]
    >>> table = RouteTable(tuple(routes))
    >>> table.find('a.example', '/photos/7?x=1').name
    '/photos/'
    >>> table.find('b.example', '/') is None
    True
    """

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.path_prefix] = route

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a host and a path, None without one."""
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        prefix = target.partition('?')[0]
        while prefix:
            prefix = prefix[: prefix.rfind('/') + 1]
            route = prefixes.get(prefix)
            if route is not None:
                return route
            prefix = prefix[:-1]
        return None
