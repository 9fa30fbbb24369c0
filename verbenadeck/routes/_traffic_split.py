"""Choice among the services of a route by weight."""

from collections.abc import Callable

from verbenadeck.model import ServiceName
from verbenadeck.routes._table import Route, WeightedService

_MOST_ROUTES = 4096
_Parts = tuple[str, tuple[WeightedService, ...]]


def make_service_selector() -> Callable[[Route], ServiceName]:
    """Return a function that picks services in proportion to their weights.

    It is smooth weighted round robin, so that shares are kept over short
    spans too.
    """
    credits: dict[_Parts, list[float]] = {}

    def pick(route: Route) -> ServiceName:
        parts = route.weighted_services
        if len(parts) == 1:
            return parts[0].service
        if len(credits) > _MOST_ROUTES:
            credits.clear()
        earned = credits.setdefault((route.name, parts), [0 for _ in parts])
        for index, part in enumerate(parts):
            earned[index] += part.weight
        chosen = earned.index(max(earned))
        earned[chosen] -= sum(part.weight for part in parts)
        return parts[chosen].service

    return pick
