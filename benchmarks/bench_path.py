"""Cost of a request from entry over door to upstream, beside a plain proxy.

``python -m benchmarks.bench_path --out build/bench_path.json`` starts a log,
two upstreams with their nodes, a plain proxy of sanic and aiohttp and a
server of sanic alone on 127.0.0.0/8, sends each the same bounded load and
writes throughput, latency and processor time per request. Every server is
one process with one thread, so its throughput is that of one core.
"""

import asyncio
import os
import random
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec
import psutil
import uvloop
from absl import app, flags

from benchmarks._http_load import LoadResult, run_load
from verbenadeck.adapters import LogHttpAdapter
from verbenadeck.demo import ServiceSpec, Site
from verbenadeck.demo._fleet import ENTRY_PORT, SiteFleet
from verbenadeck.demo._observer import Observer
from verbenadeck.demo._operator import Operator
from verbenadeck.demo._processes import Child, ProcessGroup
from verbenadeck.fleet import shard_of
from verbenadeck.model import (
    ConfigDocument,
    Incarnation,
    ServiceName,
    ServicePolicy,
)
from verbenadeck.utils import Clock

_OUT = flags.DEFINE_string('out', 'build/bench_path.json', 'Report file.')
_REQUESTS = flags.DEFINE_integer('requests', 4000, 'Requests per path.')
_CONNECTIONS = flags.DEFINE_integer('connections', 16, 'Connections.')
_SERVICE = ServiceName('bench')
_SITE = Site(
    name='bench',
    region='bench',
    zones=('one',),
    services=(ServiceSpec(_SERVICE, 2, is_keyed=True, service_time_s=0.0001),),
    slots=64,
    connections=110,
)
_PROXY_PORT = 7600
_FIXED_PORT = 7601
_WARM_UP_REQUESTS = 800
_QUIET_REQUESTS = 800
_START_S = 3.0
_TIMEOUT_S = 20.0
_KEYS = 400
_US_PER_S = 1_000_000


class PathResult(msgspec.Struct, frozen=True):
    """Measured path.

    Parameters
    ----------
    path : str
        Name of the path.
    quiet : LoadResult
        With one request at a time.
    busy : LoadResult
        With all connections.
    cpu_us : dict of str to float
        Processor time per request of each process in microseconds, busy.
    """

    path: str
    quiet: LoadResult
    busy: LoadResult
    cpu_us: dict[str, float]


class Report(msgspec.Struct, frozen=True):
    """All paths and the cost that each layer adds, in microseconds."""

    paths: tuple[PathResult, ...]
    layers_us: dict[str, float]


def _cpu_s(child: Child) -> float:
    times = psutil.Process(child.process.pid).cpu_times()
    return times.user + times.system


async def _measure(
    name: str,
    address: tuple[str, int],
    paths: Sequence[str],
    children: Sequence[Child],
) -> PathResult:
    """Warm up, then measure quiet and busy load."""
    connections = _CONNECTIONS.value
    host, port = address
    await run_load(
        host,
        port,
        paths,
        requests=_WARM_UP_REQUESTS,
        connections=connections,
    )
    quiet = await run_load(
        host, port, paths, requests=_QUIET_REQUESTS, connections=1
    )
    before_s = [_cpu_s(child) for child in children]
    busy = await run_load(
        host,
        port,
        paths,
        requests=_REQUESTS.value,
        connections=connections,
    )
    cpu_us = {
        child.name: round(
            (_cpu_s(child) - start_s) * _US_PER_S / busy.requests, 1
        )
        for child, start_s in zip(children, before_s, strict=True)
    }
    result = PathResult(name, quiet, busy, cpu_us)
    sys.stdout.write(
        f'{name:<28} {busy.rate_per_s:>8.0f}/s  '
        f'p50 {busy.p50_ms:6.2f}  p99 {busy.p99_ms:6.2f} ms  '
        f'alone p50 {quiet.p50_ms:6.2f}  p99 {quiet.p99_ms:6.2f} ms  '
        f'failed {busy.failures + quiet.failures}  {cpu_us}\n'
    )
    sys.stdout.flush()
    return result


async def _settle(observer: Observer, clock: Clock) -> None:
    deadline_s = clock.now_s() + _TIMEOUT_S
    while not observer.is_settled():
        if clock.now_s() > deadline_s:
            raise RuntimeError('shards have no owners in time')
        await asyncio.sleep(0.05)
    await asyncio.sleep(_START_S)


def _keys_of(observer: Observer, owner: Incarnation) -> list[str]:
    owners = observer.owners(_SERVICE)
    count = observer.fleet.shard_count(_SERVICE)
    keys = (f'key-{index}' for index in range(_KEYS))
    return [key for key in keys if owners.get(shard_of(key, count)) == owner]


async def _start_plain(
    group: ProcessGroup, name: str, port: int, target: str
) -> Child:
    child = await group.start(
        name, 'benchmarks._baseline', '127.0.0.1', str(port), target
    )
    deadline_s = asyncio.get_running_loop().time() + _TIMEOUT_S
    while asyncio.get_running_loop().time() < deadline_s:
        try:
            _, writer = await asyncio.open_connection('127.0.0.1', port)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        writer.close()
        return child
    raise RuntimeError(f'{name} does not listen')


async def _measure_nodes(
    fleet: SiteFleet, observer: Observer
) -> tuple[PathResult, PathResult]:
    near, far = fleet.places
    owner = observer.member(near.node_id)
    other = observer.member(far.node_id)
    if owner is None or other is None:
        raise RuntimeError('a node has not joined')
    address = (near.host, ENTRY_PORT)
    children = (fleet.node(near), fleet.node(far))
    results = []
    for name, member in (('entry = owner', owner), ('entry > owner', other)):
        keys = _keys_of(observer, member.incarnation)
        paths = [f'/{_SERVICE}/{key}' for key in keys]
        results.append(await _measure(name, address, paths, children))
    return results[0], results[1]


def _write_configuration(folder: Path) -> Path:
    document = ConfigDocument(services={_SERVICE: ServicePolicy(is_keyed=True)})
    path = folder / 'configuration.json'
    path.write_bytes(msgspec.json.encode(document))
    return path


async def _run(folder: Path) -> Report:
    clock = Clock()
    subnet = 10 + os.getpid() % 240
    async with ProcessGroup(folder) as group:
        fleet = SiteFleet(_SITE, subnet=subnet, folder=folder, group=group)
        await fleet.start()
        log = LogHttpAdapter(
            url=fleet.log_url, stream='verbenadeck', clock=clock
        )
        observer = Observer(log, (_SERVICE,), clock=clock)
        following = asyncio.ensure_future(observer.follow())
        try:
            operator = Operator(group, log_url=fleet.log_url)
            await operator.publish(_write_configuration(folder))
            await _settle(observer, clock)
            return await _measure_all(group, fleet, observer)
        finally:
            following.cancel()
            await log.close()


async def _measure_all(
    group: ProcessGroup, fleet: SiteFleet, observer: Observer
) -> Report:
    plain = await fleet.start_plain_upstream()
    target = f'http://{plain.host}:{plain.port}'
    fixed = await _start_plain(group, 'fixed', _FIXED_PORT, '')
    proxy = await _start_plain(group, 'proxy', _PROXY_PORT, target)
    paths = [f'/key-{index}' for index in range(_KEYS)]
    random.Random(1).shuffle(paths)
    direct = await _measure(
        'upstream alone', (plain.host, plain.port), paths, ()
    )
    alone = await _measure(
        'sanic alone', ('127.0.0.1', _FIXED_PORT), paths, (fixed,)
    )
    proxied = await _measure(
        'plain proxy', ('127.0.0.1', _PROXY_PORT), paths, (proxy,)
    )
    near, far = await _measure_nodes(fleet, observer)
    entry_us = alone.cpu_us['fixed']
    proxy_us = proxied.cpu_us['proxy']
    near_us = sum(near.cpu_us.values())
    far_us = sum(far.cpu_us.values())
    return Report(
        paths=(direct, alone, proxied, near, far),
        layers_us={
            'HTTP towards the caller': entry_us,
            'HTTP towards the upstream': round(proxy_us - entry_us, 1),
            'router and door': round(near_us - proxy_us, 1),
            'hop between two nodes': round(far_us - near_us, 1),
        },
    )


def main(_argv: list[str]) -> None:
    """Measure and write the report; the status is 1 when requests failed."""
    out = Path(_OUT.value)
    out.parent.mkdir(parents=True, exist_ok=True)
    report = uvloop.run(_run(out.parent / 'bench'))
    out.write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    sys.stdout.write(f'layers, us of processor time: {report.layers_us}\n')
    failures = sum(
        path.busy.failures + path.quiet.failures for path in report.paths
    )
    sys.exit(1 if failures else 0)


if __name__ == '__main__':
    app.run(main)
