"""Policies under load and faults, compared in virtual time.

Run with ``python -m benchmarks.bench_policy --seed 1``; prints a table a
scenario and one JSON object at the end. The same seed gives the same
figures, but for the cost per request, which `bench_route` measures.
"""

import argparse
import asyncio
import json
from collections.abc import Callable, Iterator, Mapping
from functools import partial
from pathlib import Path
from types import MappingProxyType
from typing import Any
from unittest import mock

import msgspec
from returns.result import Failure, Result, Success

from benchmarks.policy_alternatives import (
    CHOICES,
    LIMITERS,
    Breaker,
    choose_with,
)
from benchmarks.policy_load import (
    SLOTS,
    Bench,
    CongestedUpstream,
    Figures,
    Setup,
    quiet,
    sample,
    straggle,
)
from benchmarks.policy_plot import plot_zone
from verbenadeck.adapters import UpstreamError, UpstreamFailure, UpstreamRequest
from verbenadeck.model import Answer, OutOfService
from verbenadeck.proxy import ConcurrencyLimit
from verbenadeck.proxy.tests.builders import Node
from verbenadeck.proxy.tests.fakes import FakeUpstream
from verbenadeck.router import ProxyStats, choose_by_expected_wait
from verbenadeck.router import _attempt_sender as attempt_sender
from verbenadeck.router import _router as router
from verbenadeck.router._quantile import LatencyQuantile
from verbenadeck.testing import run_virtual

Row = dict[str, Any]
Scenario = Callable[[int], Iterator[Row]]

_LOADS = (0.5, 0.8, 1.0, 1.5, 2.0, 3.0)
_STRAGGLE = 10
_WARM_S = 5
_RUN_S = 15
_REAL_SLOTS = 8
_SLOW = 1.8
_LIGHT_LOAD = 0.3
_STRAGGLERS = ((3, 0), (3, 1), (3, 2), (4, 0), (4, 1))
_PRESSURES = ('none', 'neighbour', 'all slow')
_FIXED_HEDGE_S = 0.25


def _row(figures: Figures, **labels: object) -> Row:
    return {**labels, **msgspec.to_builtins(figures)}


def limiters(seed: int) -> Iterator[Row]:
    """Limit by slots, AIMD or gradient, under three kinds of pressure."""
    for name, algorithm in LIMITERS.items():
        for pressure in _PRESSURES:
            bench = Bench(Setup(seed, algorithm=algorithm, upstream=_congested))
            found = run_virtual(_squeeze(bench, pressure))
            yield _row(found, limiter=name, pressure=pressure)


def _congested(seed: int) -> FakeUpstream:
    return CongestedUpstream(seed=seed)


async def _squeeze(bench: Bench, pressure: str) -> Figures:
    await bench.start(load=0.5, timeout_s=1)
    await bench.run(_WARM_S)
    for node in bench.nodes:
        _press(node, pressure)
    return await bench.run(_RUN_S)


def _press(node: Node, pressure: str) -> None:
    upstream = node.upstream
    if pressure == 'all slow':
        straggle(node, _SLOW)
    elif isinstance(upstream, CongestedUpstream) and pressure == 'neighbour':
        upstream.real_slots = _REAL_SLOTS


async def _under(bench: Bench, *, load: float) -> Figures:
    await bench.start(load=load, timeout_s=1)
    await bench.run(_WARM_S)
    return await bench.run(_RUN_S)


def choices(seed: int) -> Iterator[Row]:
    """Choose a door in four ways, without and with a straggler."""
    for name, choose in CHOICES.items():
        for nodes, stragglers in _STRAGGLERS:
            bench = Bench(Setup(seed, nodes=nodes, choose=choose))
            found, healed = run_virtual(_straggle_and_heal(bench, stragglers))
            yield _row(
                found,
                choice=name,
                nodes=nodes,
                stragglers=stragglers,
                share_after_healing=healed,
            )


async def _straggle_and_heal(
    bench: Bench, stragglers: int
) -> tuple[Figures, float]:
    found = await _with_stragglers(bench, stragglers)
    for node in bench.nodes[:stragglers]:
        straggle(node, 1)
    await bench.run(_RUN_S)
    return found, _shares(bench.nodes)[0]


async def _with_stragglers(bench: Bench, stragglers: int) -> Figures:
    await bench.start(load=_LIGHT_LOAD)
    await bench.run(_WARM_S)
    for node in bench.nodes[:stragglers]:
        straggle(node, _STRAGGLE)
    return await bench.run(_RUN_S)


class _FixedDelay:
    """Stands in for the latency estimate with a fixed delay."""

    estimate_s = _FIXED_HEDGE_S

    def add(self, latency_s: float, quantile: float) -> None:
        """Learn nothing."""


def hedges(seed: int) -> Iterator[Row]:
    """Hedge not at all, after a fixed delay, or after a quantile."""
    ways = (
        ('off', 0, 0.95, LatencyQuantile),
        ('fixed', 0.05, 0.95, _FixedDelay),
        ('quantile 0.95', 0.05, 0.95, LatencyQuantile),
        ('quantile 0.98', 0.05, 0.98, LatencyQuantile),
        ('quantile 0.99', 0.05, 0.99, LatencyQuantile),
    )
    for name, ratio, quantile, estimate in ways:
        for nodes in (3, 4):
            for stragglers in (0, 1):
                setup = Setup(
                    seed,
                    nodes=nodes,
                    hedge_ratio=ratio,
                    hedge_quantile=quantile,
                )
                with mock.patch.object(router, 'LatencyQuantile', estimate):
                    found = run_virtual(
                        _with_stragglers(Bench(setup), stragglers)
                    )
                yield _row(
                    found, hedge=name, nodes=nodes, stragglers=stragglers
                )


class _FailingUpstream(FakeUpstream):
    """Upstream that breaks a share of its requests at once."""

    broken_share = 0.0

    async def send(
        self, upstream_request: UpstreamRequest
    ) -> Result[Answer, UpstreamError]:
        if self.random.random() < self.broken_share:
            return Failure(UpstreamError(UpstreamFailure.BROKEN, 'reset'))
        return await super().send(upstream_request)


def breakers(seed: int) -> Iterator[Row]:
    """Circuit breaker against limits and probes, when an upstream fails."""
    for name in ('breaker', 'limit and probe'):
        for share in (0.3, 0.9):
            yield from run_virtual(_fail(seed, name, share))


async def _fail(seed: int, name: str, share: float) -> list[Row]:
    found: dict[int, Breaker] = {}

    def breaker_of(proxy: ProxyStats) -> Breaker:
        return found.setdefault(id(proxy), Breaker())

    real = attempt_sender.AttemptSender._record_result

    def feed(
        self: attempt_sender.AttemptSender,
        target: ProxyStats,
        started_s: float,
        result: Any,
    ) -> None:
        real(self, target, started_s, result)
        now_s = asyncio.get_running_loop().time()
        is_failure = not isinstance(result, Success)
        breaker_of(target).add(now_s, is_failure=is_failure)

    is_breaker = name == 'breaker'
    choose = choose_with(breaker_of) if is_breaker else choose_by_expected_wait

    def make(upstream_seed: int) -> FakeUpstream:
        return _FailingUpstream(slots=SLOTS, seed=upstream_seed)

    bench = Bench(Setup(seed, choose=choose, upstream=make))
    rows = []
    with mock.patch.object(
        attempt_sender.AttemptSender, '_record_result', feed
    ):
        await bench.start(load=_LIGHT_LOAD)
        await bench.run(_WARM_S)
        failing = bench.nodes[0].upstream
        if not isinstance(failing, _FailingUpstream):
            raise AssertionError('not the upstream that was made')
        for phase, broken in (('failing', share), ('healed', 0.0)):
            failing.broken_share = broken
            figures = await bench.run(_RUN_S)
            shares = _shares(bench.nodes)
            rows.append(
                _row(
                    figures,
                    way=name,
                    broken=share,
                    phase=phase,
                    failing_share=shares[0],
                )
            )
    return rows


def _shares(nodes: list[Node]) -> list[float]:
    runs = [sum(node.upstream.runs.values()) for node in nodes]
    return [round(one / max(1, sum(runs)), 3) for one in runs]


def loads(seed: int) -> Iterator[Row]:
    """Goodput from half to three times the capacity."""
    for load in _LOADS:
        bench = Bench(Setup(seed, hedge_ratio=0.05))
        yield _row(run_virtual(_under(bench, load=load)), load=load)


def cold(seed: int) -> Iterator[Row]:
    """Work of an upstream that turns cold, against what it bears."""
    for is_told in (True, False):
        yield run_virtual(_chill(seed, 'ramp', is_told=is_told))
        slots_only = property(lambda limit: limit.slots)
        with mock.patch.object(ConcurrencyLimit, 'limit', slots_only):
            yield run_virtual(_chill(seed, 'slots only', is_told=is_told))


async def _chill(seed: int, name: str, *, is_told: bool) -> Row:
    bench = Bench(Setup(seed))
    await bench.start(load=0.6, timeout_s=1)
    await bench.run(_WARM_S)
    upstream = bench.nodes[0].upstream
    upstream.crash(bearable=2)
    upstream.over_bearable = 0
    if is_told:
        upstream.announce()
    else:
        upstream.sheds_above = 2
        upstream.reported_bearable = lambda: SLOTS
    peak: list[tuple[int, int]] = []

    def warm(now_s: float) -> None:
        peak.append((upstream.running, upstream.bearable))
        upstream.bearable = min(SLOTS, upstream.bearable + 1)
        if upstream.sheds_above is not None:
            upstream.sheds_above = upstream.bearable

    found, _ = await asyncio.gather(bench.run(_RUN_S), sample(1, 14, warm))
    return _row(
        found,
        way=name,
        told=is_told,
        over_bearable=upstream.over_bearable,
        sheds=upstream.sheds,
        running_by_second=[running for running, _ in peak],
        bearable_by_second=[bearable for _, bearable in peak],
    )


def zone(seed: int) -> Iterator[Row]:
    """Service by second while a zone leaves and returns."""
    bench = Bench(Setup(seed, hedge_ratio=0.05))
    yield from run_virtual(_leave_and_return(bench))


async def _leave_and_return(bench: Bench) -> list[Row]:
    await bench.start(load=0.5)
    gone = bench.nodes[1]
    fleet = bench.site.fleet
    loop = asyncio.get_running_loop()
    loop.call_later(
        10, partial(fleet.publish, zones_out={gone.zone: OutOfService('power')})
    )
    loop.call_later(20, partial(fleet.publish, zones_out={}))
    runs: list[int] = []

    def look(_now_s: float) -> None:
        runs.append(sum(gone.upstream.runs.values()))

    await asyncio.gather(bench.run(30), sample(1, 30, look))
    return [_second(bench, second, runs) for second in range(30)]


def _second(bench: Bench, second: int, runs: list[int]) -> Row:
    if bench.callers is None:
        raise AssertionError('not started')
    ended = [
        (result, latency_s)
        for at_s, _, result, latency_s in bench.callers.results
        if int(at_s) == second
    ]
    answered = sorted(
        latency_s for result, latency_s in ended if isinstance(result, Success)
    )
    earlier = runs[second - 1] if second else 0
    return {
        'second': second,
        'asked': len(ended),
        'answered': len(answered),
        'p99_ms': round(1000 * answered[int(0.99 * len(answered))], 1),
        'runs_in_zone': runs[second] - earlier,
    }


SCENARIOS: Mapping[str, Scenario] = MappingProxyType(
    {
        'limiters': limiters,
        'choices': choices,
        'hedges': hedges,
        'breakers': breakers,
        'loads': loads,
        'cold': cold,
        'zone': zone,
    }
)


def _print_table(name: str, rows: list[Row]) -> None:
    print(f'\n{name}')
    print(' | '.join(rows[0]))
    for row in rows:
        print(' | '.join(str(cell) for cell in row.values()))


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--only', choices=tuple(SCENARIOS))
    parser.add_argument('--plot', type=Path, help='PNG of the zone move')
    options = parser.parse_args()
    quiet()
    names = [options.only] if options.only else list(SCENARIOS)
    found = {name: list(SCENARIOS[name](options.seed)) for name in names}
    for name, rows in found.items():
        _print_table(name, rows)
    if options.plot and 'zone' in found:
        plot_zone(found['zone'], options.plot)
    print(json.dumps({'seed': options.seed, 'policy': found}))


if __name__ == '__main__':
    _main()
