"""Counters, gauges and latency histograms with bounded label sets."""

import re
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from returns.result import Success

from verbenadeck.metrics._latency import Latency
from verbenadeck.model import AnswerResult, Refusal, ServiceName, Zone
from verbenadeck.utils import Clock

_MAX_SERVICE_LABELS = 32
_MAX_METRIC_NAMES = 256
_METRIC_NAME_PATTERN = re.compile('[a-z][a-z0-9_]{0,80}')
_OTHER_SERVICES = 'other'


GaugeGroup = Callable[[], Mapping[str, float]]


class OutcomeLabel(NamedTuple):
    """Labels of the outcome of a request.

    Parameters
    ----------
    outcome : str
        Name of the outcome.
    reason : str
        Reason of a refusal, empty for an answer.
    """

    outcome: str
    reason: str


class LatencyLabels(NamedTuple):
    """Labels of a latency histogram.

    Parameters
    ----------
    service : str
        Name of the service, or `other`.
    zone : str
        Zone of the node that received the request.
    outcome : str
        Name of the outcome.
    """

    service: str
    zone: str
    outcome: str


class RequestLabels(NamedTuple):
    """Labels of a request counter.

    Parameters
    ----------
    service : str
        Name of the service, or `other`.
    zone : str
        Zone of the node that received the request.
    outcome : str
        Name of the outcome.
    reason : str
        Reason of a refusal, empty for an answer.
    """

    service: str
    zone: str
    outcome: str
    reason: str


class Metrics:
    """Metrics of a node.

    Callers' requests are counted by service, zone of the entry node, outcome
    and reason. Label sets are bounded: label values come from the
    configuration and from enums, all services share one label if more than 32
    are configured, and names and kinds of other metrics are fixed in the code.

    Parameters
    ----------
    zone : Zone
        Zone of this node.
    known_services : callable
        Returns the names of the configured services; a request that names
        another one is counted under `other`.
    clock : Clock or None
        Clock of the VM, for the window of latencies.

    Attributes
    ----------
    requests : dict
        Number of requests by labels.
    latencies : dict
        Latency histograms by labels.
    counters : dict
        Values of other counters by name.
    gauges : dict
        Functions that return the value of a gauge, by name.
    gauge_groups : list
        Functions that return the values of several gauges by name.
    """

    def __init__(
        self,
        *,
        zone: Zone,
        known_services: Callable[[], Collection[ServiceName]],
        clock: Clock | None = None,
    ) -> None:
        self._now_s = (clock or Clock()).now_s
        self.requests: dict[RequestLabels, int] = {}
        self.latencies: dict[LatencyLabels, Latency] = {}
        self.counters: dict[str, int] = {}
        self.gauges: dict[str, Callable[[], float]] = {}
        self.gauge_groups: list[GaugeGroup] = []
        self._zone = zone
        self._known_services = known_services

    def observe(
        self, service: ServiceName, result: AnswerResult, latency_s: float
    ) -> None:
        """Record the result and the latency of a caller's request.

        Parameters
        ----------
        service : ServiceName
            Service that the request names.
        result : AnswerResult
            Answer or refusal.
        latency_s : float
            Latency in seconds.
        """
        refusal = None if isinstance(result, Success) else result.failure()
        label = outcome_label(refusal)
        name = self._service_label(service)
        labels = RequestLabels(name, self._zone, *label)
        self.requests[labels] = self.requests.get(labels, 0) + 1
        series = LatencyLabels(name, self._zone, label.outcome)
        if series not in self.latencies:
            self.latencies[series] = Latency(self._now_s)
        self.latencies[series].record(latency_s)

    def count(self, name: str, amount: int = 1) -> None:
        """Add an amount to a counter.

        Parameters
        ----------
        name : str
            Name of the counter; a literal in the code, so that the number of
            counters is bounded.
        amount : int
            Amount to add.

        Raises
        ------
        ValueError
            If the name is malformed or there are too many names.
        """
        if name not in self.counters:
            _check_metric_name(name, self.counters)
            self.counters[name] = 0
        self.counters[name] += amount

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge that is read when metrics are exposed.

        Parameters
        ----------
        name : str
            Name of the gauge; a literal in the code.
        read : callable
            Returns the value of the gauge.

        Raises
        ------
        ValueError
            If the name is malformed or there are too many names.
        """
        _check_metric_name(name, self.gauges)
        self.gauges[name] = read

    def register_gauge_group(self, read: GaugeGroup) -> None:
        """Register a group of gauges that one function reads.

        Parameters
        ----------
        read : callable
            Returns the values by name; names are literals in the code.
        """
        self.gauge_groups.append(read)

    def _service_label(self, service: ServiceName) -> str:
        known = self._known_services()
        if service in known and len(known) <= _MAX_SERVICE_LABELS:
            return service
        return _OTHER_SERVICES


def _check_metric_name(name: str, taken: Collection[str]) -> None:
    if (
        _METRIC_NAME_PATTERN.fullmatch(name) is None
        or len(taken) >= _MAX_METRIC_NAMES
    ):
        raise ValueError(f'malformed metric name or too many metrics: {name}')


def outcome_label(refusal: Refusal | None) -> OutcomeLabel:
    """Return the outcome labels of a refusal or an answer.

    Parameters
    ----------
    refusal : Refusal or None
        The refusal, None for an answer.

    Examples
    --------
    >>> outcome_label(None)
    OutcomeLabel(outcome='answered', reason='')
    """
    if refusal is None:
        return OutcomeLabel('answered', '')
    return OutcomeLabel(refusal.outcome.value, refusal.reason.value)
