"""Exposition of metrics in the Prometheus text format."""

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
"""Content type of the Prometheus text format."""

_QUANTILES = (0.5, 0.9, 0.99, 0.999)
_REQUESTS_METRIC = 'verbenadeck_requests'
_LATENCY_METRIC = 'verbenadeck_request_seconds'
_log = logger.bind(part='metrics')
_ValueT = TypeVar('_ValueT')
_NO_GAUGES: Mapping[str, float] = MappingProxyType({})


def make_exposition(metrics: Metrics) -> Callable[[], bytes]:
    """Return a function that renders all metrics in the text format.

    Parameters
    ----------
    metrics : Metrics
        Metrics to render.

    Returns
    -------
    callable
        Returns the current metrics in the Prometheus text format.

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
        """Return nothing, so that registration does not read the metrics."""
        return ()

    def collect(self) -> Iterator[Metric]:
        """Yield all metric families."""
        yield self._collect_requests()
        yield self._collect_latencies()
        yield from self._collect_gauges()
        for name, total in self._metrics.counters.items():
            yield CounterMetricFamily(f'verbenadeck_{name}', name, value=total)

    def _collect_requests(self) -> Metric:
        family = CounterMetricFamily(
            _REQUESTS_METRIC,
            "Callers' requests by outcome.",
            labels=RequestLabels._fields,
        )
        for labels, total in self._metrics.requests.items():
            family.add_metric(labels, total)
        return family

    def _collect_latencies(self) -> Metric:
        family = Metric(
            _LATENCY_METRIC, "Time of callers' requests.", 'summary'
        )
        for series, latency in self._metrics.latencies.items():
            labels = dict(zip(LatencyLabels._fields, series, strict=True))
            values_s = latency.quantiles_s(_QUANTILES)
            for quantile, latency_s in zip(_QUANTILES, values_s, strict=True):
                quantile_label = {'quantile': str(quantile)}
                family.add_sample(
                    _LATENCY_METRIC, labels | quantile_label, latency_s
                )
            family.add_sample(f'{_LATENCY_METRIC}_count', labels, latency.count)
            family.add_sample(f'{_LATENCY_METRIC}_sum', labels, latency.sum_s)
        return family

    def _collect_gauges(self) -> Iterator[Metric]:
        for name, read in self._metrics.gauges.items():
            yield _make_gauge(name, _read_or_fallback(name, read, math.nan))
        for read_group in self._metrics.gauge_groups:
            for name, value in _read_or_fallback(
                'group', read_group, _NO_GAUGES
            ).items():
                yield _make_gauge(name, value)


def _make_gauge(name: str, value: float) -> Metric:
    return GaugeMetricFamily(f'verbenadeck_{name}', name, value=value)


def _read_or_fallback(
    name: str, read: Callable[[], _ValueT], fallback: _ValueT
) -> _ValueT:
    """Return the value; a failing gauge must not hide all others."""
    try:
        return read()
    except Exception as error:
        _log.warning(
            'reading gauge {} failed: {!r}; exposing the other metrics',
            name,
            error,
        )
        return fallback
