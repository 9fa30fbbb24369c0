"""Expected service times by kind of request."""

from collections.abc import Callable

_MIN_WEIGHT = 0.1
_MAX_KINDS = 256


class ServiceTimes:
    """Mean service time of each kind of request at one upstream.

    Kinds of requests that share an upstream may differ by a factor of ten, so
    that their common mean says little about one of them.

    Parameters
    ----------
    overall_s : callable returning float
        Returns the mean service time of all requests, in seconds.
    """

    def __init__(self, *, overall_s: Callable[[], float]) -> None:
        self._overall_s = overall_s
        self._mean_by_kind: dict[str, tuple[float, int]] = {}

    def record(self, kind: str, service_time_s: float) -> None:
        """Record the service time of an answered request.

        Parameters
        ----------
        kind : str
            Kind of the request; one without a name is not recorded.
        service_time_s : float
            Service time in seconds.
        """
        if not kind:
            return
        mean_s, count = self._mean_by_kind.pop(kind, (0.0, 0))
        weight = max(1 / (count + 1), _MIN_WEIGHT)
        mean_s += weight * (service_time_s - mean_s)
        # The kind that was recorded least lately is dropped first.
        self._mean_by_kind[kind] = mean_s, count + 1
        if len(self._mean_by_kind) > _MAX_KINDS:
            self._mean_by_kind.pop(next(iter(self._mean_by_kind)))

    def expected_s(self, kind: str, *, objective_left_s: float) -> float:
        """Return the expected service time of a request, in seconds.

        Parameters
        ----------
        kind : str
            Kind of the request.
        objective_left_s : float
            Time left of its latency objective in seconds, within which a kind
            that was not measured yet is assumed to run.
        """
        measured = self._mean_by_kind.get(kind)
        if measured is not None:
            return measured[0]
        overall_s = self._overall_s()
        if kind and objective_left_s > 0:
            return min(overall_s, objective_left_s)
        return overall_s
