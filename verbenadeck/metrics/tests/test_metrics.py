"""Label bounds, quantiles and exposition of metrics."""

import math

import pytest
from prometheus_client.parser import text_string_to_metric_families
from returns.result import Failure, Success

from verbenadeck.metrics import Latency, Metrics, make_exposition
from verbenadeck.model import (
    Answer,
    Outcome,
    Refusal,
    RefusalReason,
    ServiceName,
    Zone,
)

_SUVA = Zone('suva')
_CATALOGUE = ServiceName('catalogue')


def _metrics() -> Metrics:
    return Metrics(zone=_SUVA, known_services=lambda: (_CATALOGUE,))


def _samples(metrics: Metrics) -> dict[tuple[str, str], float]:
    text = make_exposition(metrics)().decode()
    return {
        (
            sample.name,
            ' '.join(sample.labels[one] for one in sorted(sample.labels)),
        ): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_requests_are_counted_by_service_zone_outcome_and_reason() -> None:
    metrics = _metrics()
    refusal = Refusal(Outcome.NOT_RUN, RefusalReason.SHED)
    metrics.observe(_CATALOGUE, Success(Answer(200)), 0.01)
    metrics.observe(_CATALOGUE, Failure(refusal), 0.002)
    metrics.observe(_CATALOGUE, Failure(refusal), 0.002)
    samples = _samples(metrics)
    name = 'verbenadeck_requests_total'
    assert samples[name, 'answered  catalogue suva'] == 1
    assert samples[name, 'not-run shed catalogue suva'] == 2


def test_latency_quantiles_are_accurate_to_one_percent() -> None:
    metrics = _metrics()
    for latency_ms in range(1, 1001):
        answered = Success(Answer(200))
        metrics.observe(_CATALOGUE, answered, latency_ms / 1000)
    samples = _samples(metrics)
    name = 'verbenadeck_request_seconds'
    found_s = samples[name, 'answered 0.99 catalogue suva']
    assert math.isclose(found_s, 0.99, rel_tol=0.01)
    assert samples[f'{name}_count', 'answered catalogue suva'] == 1000
    assert math.isclose(
        samples[f'{name}_sum', 'answered catalogue suva'], 500.5
    )


def test_unknown_services_share_one_label() -> None:
    metrics = _metrics()
    for index in range(1000):
        name = ServiceName(f'guess-{index}')
        metrics.observe(name, Success(Answer(200)), 0.01)
    assert len(metrics.requests) == 1
    assert len(metrics.latencies) == 1


def test_latencies_out_of_range_are_counted() -> None:
    metrics = _metrics()
    for latency_s in (0.0, -1.0, 1e9):
        metrics.observe(_CATALOGUE, Success(Answer(200)), latency_s)
    assert [one.count for one in metrics.latencies.values()] == [3]


def test_failing_gauge_does_not_hide_other_gauges() -> None:
    metrics = _metrics()
    metrics.register_gauge('broken', lambda: math.sqrt(-1))
    metrics.register_gauge('owned_shards', lambda: 12)
    metrics.register_gauge_group(lambda: {'ready': math.sqrt(-1)})
    metrics.register_gauge_group(lambda: {'limit': 20})
    samples = _samples(metrics)
    assert samples['verbenadeck_owned_shards', ''] == 12
    assert samples['verbenadeck_limit', ''] == 20
    assert math.isnan(samples['verbenadeck_broken', ''])


@pytest.mark.parametrize('name', ['', 'Bad', 'a-b', 'a b', 'a\n'])
def test_malformed_metric_name_raises(name: str) -> None:
    with pytest.raises(ValueError, match='malformed metric name'):
        _metrics().count(name)


def test_quantiles_cover_only_the_last_two_minutes() -> None:
    clock_s = [0.0]
    latency = Latency(lambda: clock_s[0])
    latency.record(1.0)
    clock_s[0] = 61
    latency.record(0.01)
    assert latency.quantiles_s((1,)) == pytest.approx((1,), rel=0.01)
    clock_s[0] = 122
    assert latency.quantiles_s((1,)) == pytest.approx((0.01,), rel=0.01)
    clock_s[0] = 300
    assert latency.quantiles_s((0.5,)) == (0,)
    assert (latency.count, latency.sum_s) == pytest.approx((2, 1.01))
