"""Weighted selection among the services of a route."""

from collections.abc import Callable

from verbenadeck.model import ServiceName
from verbenadeck.routes._table import Route, WeightedService

_MAX_TRACKED_ROUTES = 4096
_SplitKey = tuple[str, tuple[WeightedService, ...]]


def make_service_selector() -> Callable[[Route], ServiceName]:
    """Return a function that selects services in proportion to their weights.

    It uses smooth weighted round robin, so that the shares are also kept over
    short periods.

    Returns
    -------
    callable
        Returns the service for the next request of a route.
    """
    weights_by_route: dict[_SplitKey, list[float]] = {}

    def select_service(route: Route) -> ServiceName:
        candidates = route.weighted_services
        if len(candidates) == 1:
            return candidates[0].service
        if len(weights_by_route) > _MAX_TRACKED_ROUTES:
            weights_by_route.clear()
        current_weights = weights_by_route.setdefault(
            (route.name, candidates), [0 for _ in candidates]
        )
        for index, candidate in enumerate(candidates):
            current_weights[index] += candidate.weight
        chosen = current_weights.index(max(current_weights))
        current_weights[chosen] -= sum(
            candidate.weight for candidate in candidates
        )
        return candidates[chosen].service

    return select_service
