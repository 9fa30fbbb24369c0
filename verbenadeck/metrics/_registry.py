"""Counters and latency histograms of a node, with bounded label sets."""

import re
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from returns.result import Success

from verbenadeck.metrics._latency import Latency
from verbenadeck.model import AnswerResult, Refusal, ServiceName, Zone
from verbenadeck.utils import Clock

_MAX_SERVICES = 32
_MAX_NAMES = 256
_NAME = re.compile('[a-z][a-z0-9_]{0,80}')
_OTHER = 'other'


GaugeGroup = Callable[[], Mapping[str, float]]


class OutcomeLabel(NamedTuple):
    """Outcome of a request as metrics show it."""

    outcome: str
    reason: str


class LatencyLabels(NamedTuple):
    """Labels of one latency histogram."""

    service: str
    zone: str
    outcome: str


class RequestLabels(NamedTuple):
    """Labels of one request counter."""

    service: str
    zone: str
    outcome: str
    reason: str


class Metrics:
    """Metrics of a node.

    Callers' requests are counted by service, zone of the entry, outcome
    and reason. Label sets are bounded: names come from the configuration
    and enums, services beyond a limit share one label, and names and
    kinds of other counters are fixed in code.

    Parameters
    ----------
    zone : Zone
        Zone of this node.
    known_services : callable
        Returns the names of the configured services; a request that names
        another one is counted under `other`.
    clock : Clock or None
        Clock of the VM, for the window of latencies.
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
        """Count a caller's request with its result and latency."""
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
        """Add to a counter; names are literals in the code.

        Raises
        ------
        ValueError
            When the name is malformed or there are too many.
        """
        if name not in self.counters:
            _check_name(name, self.counters)
            self.counters[name] = 0
        self.counters[name] += amount

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge that is read when metrics are served.

        Raises
        ------
        ValueError
            When the name is malformed or there are too many.
        """
        _check_name(name, self.gauges)
        self.gauges[name] = read

    def register_gauge_group(self, read: GaugeGroup) -> None:
        """Register gauges that one function reads together.

        Parameters
        ----------
        read : callable
            Returns the gauges by name; names are literals in the code.
        """
        self.gauge_groups.append(read)

    def _service_label(self, service: ServiceName) -> str:
        known = self._known_services()
        if service in known and len(known) <= _MAX_SERVICES:
            return service
        return _OTHER


def _check_name(name: str, taken: Collection[str]) -> None:
    if _NAME.fullmatch(name) is None or len(taken) >= _MAX_NAMES:
        raise ValueError(f'bad metric name or too many: {name}')


def outcome_label(refusal: Refusal | None) -> OutcomeLabel:
    """Return the labels of a refusal, or of an answer.

    Examples
    --------
    >>> outcome_label(None)
    OutcomeLabel(outcome='answered', reason='')
    """
    if refusal is None:
        return OutcomeLabel('answered', '')
    return OutcomeLabel(refusal.outcome.value, refusal.reason.value)
