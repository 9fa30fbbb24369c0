"""Routes from hosts and paths to services."""

from collections.abc import Mapping

import msgspec

from verbenadeck.model import ServiceName, Zone


class WeightedService(msgspec.Struct, frozen=True):
    """Service that receives a share of a route's requests.

    Parameters
    ----------
    service : ServiceName
        The service.
    weight : float
        Weight of the service; its share is this over the sum of the weights.
    """

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Settings for the requests to one host below one path.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host in lower case.
    path_prefix : str
        Prefix of the path; starts and ends with a slash.
    weighted_services : tuple of WeightedService
        Services that receive the requests; at least one.
    is_repeatable : bool
        Whether a request may run more than once.
    timeout_s : float
        Maximum time in seconds for which a request may wait for its answer.
    objective_s : float
        Latency objective in seconds.
    priority : int
        Priority; 0 is the most urgent.
    max_sends : int
        Maximum number of upstreams that one request is sent to.
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
    """Configuration by operators of the upstreams of one service.

    Parameters
    ----------
    name : ServiceName
        Name of the service.
    is_keyed : bool
        Whether it is sharded by key.
    health_path : str
        Path of the health check.
    max_connections : int
        Maximum number of connections that one upstream accepts in total.
    cold_requests_per_s : float
        Requests per second that an upstream can handle after a cold start.
    """

    name: ServiceName
    is_keyed: bool
    health_path: str
    max_connections: int
    cold_requests_per_s: float


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits for callers.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum sizes of the headers and of the body of a request.
    header_timeout_s : float
        Maximum time in seconds for receiving the headers of a request.
    idle_timeout_s : float
        Time in seconds after which an idle connection is closed.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3
    idle_timeout_s: float = 15


class OperatorState(msgspec.Struct, frozen=True):
    """State published by operators, as of one version.

    Parameters
    ----------
    version : int
        Version of the routes.
    routes : tuple of Route
        Published routes.
    services : mapping of ServiceName to ServiceConfig
        Configuration of the services.
    limits : CallerLimits
        Limits for callers.
    zones_out : frozenset of Zone
        Availability zones that get no new requests.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, ServiceConfig]
    limits: CallerLimits = CallerLimits()
    zones_out: frozenset[Zone] = frozenset()


class RouteTable:
    """Lookup of routes by host and longest path prefix.

    Parameters
    ----------
    routes : tuple of Route
        The routes; of two with the same host and prefix the last one is used.

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
        """Return the matching route that has the longest prefix.

        Parameters
        ----------
        host : str
            Host in lower case.
        target : str
            Path of the request, with or without query.

        Returns
        -------
        Route or None
            None if no route matches.
        """
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
