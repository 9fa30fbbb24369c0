"""Metrics in the Prometheus text format."""

import math
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType
from typing import TypeVar

from loguru import logger
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from verbenadeck.metrics._registry import (
    LatencyLabels,
    Metrics,
    RequestLabels,
)

CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
"""Content type of the text format."""

_QUANTILES = (0.5, 0.9, 0.99, 0.999)
_REQUESTS = 'verbenadeck_requests'
_LATENCY = 'verbenadeck_request_seconds'
_log = logger.bind(part='metrics')
_Read = TypeVar('_Read')
_NO_GAUGES: Mapping[str, float] = MappingProxyType({})


def make_exposition(metrics: Metrics) -> Callable[[], bytes]:
    """Return a function that writes all metrics in the text format.

    Examples
    --------
    >>> metrics = Metrics(zone='suva', known_services=tuple)
    >>> metrics.count('hedges')
    >>> print(make_exposition(metrics)().decode().splitlines()[-1])
    verbenadeck_hedges_total 1.0
    """
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_MetricsCollector(metrics))

    def write() -> bytes:
        return generate_latest(registry)

    return write


class _MetricsCollector(Collector):
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def describe(self) -> tuple[Metric, ...]:
        """Return nothing, so that registering does not read the metrics."""
        return ()

    def collect(self) -> Iterator[Metric]:
        """Yield all metric families."""
        yield self._requests()
        yield self._latencies()
        yield from self._gauges()
        for name, total in self._metrics.counters.items():
            yield CounterMetricFamily(f'verbenadeck_{name}', name, value=total)

    def _requests(self) -> Metric:
        family = CounterMetricFamily(
            _REQUESTS,
            "Callers' requests by outcome.",
            labels=RequestLabels._fields,
        )
        for labels, total in self._metrics.requests.items():
            family.add_metric(labels, total)
        return family

    def _latencies(self) -> Metric:
        family = Metric(_LATENCY, "Time of callers' requests.", 'summary')
        for series, latency in self._metrics.latencies.items():
            labels = dict(zip(LatencyLabels._fields, series, strict=True))
            found_s = latency.quantiles_s(_QUANTILES)
            for quantile, level_s in zip(_QUANTILES, found_s, strict=True):
                quantile_label = {'quantile': str(quantile)}
                family.add_sample(_LATENCY, labels | quantile_label, level_s)
            family.add_sample(f'{_LATENCY}_count', labels, latency.count)
            family.add_sample(f'{_LATENCY}_sum', labels, latency.sum_s)
        return family

    def _gauges(self) -> Iterator[Metric]:
        for name, read in self._metrics.gauges.items():
            yield _gauge(name, _read(name, read, math.nan))
        for read_group in self._metrics.gauge_groups:
            for name, level in _read('group', read_group, _NO_GAUGES).items():
                yield _gauge(name, level)


def _gauge(name: str, level: float) -> Metric:
    return GaugeMetricFamily(f'verbenadeck_{name}', name, value=level)


def _read(name: str, read: Callable[[], _Read], fallback: _Read) -> _Read:
    """Return what is read; a broken gauge must not hide all the others."""
    try:
        return read()
    except Exception as error:
        _log.warning('gauge {} failed: {!r}', name, error)
        return fallback
