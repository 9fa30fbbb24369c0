"""Processor time per request of router and door with a null upstream.

Run with ``python -m benchmarks.bench_route``; prints one JSON object.
The network is left out: peers hand messages over in the process.
"""

import argparse
import json
import os
import random
import time
from collections.abc import Callable
from pathlib import Path
from types import MappingProxyType

import uvloop
from returns.result import Failure, Result, Success

from verbenadeck.adapters import UpstreamError, UpstreamRequest
from verbenadeck.logs import setup_logs, teardown_logs
from verbenadeck.model import Answer, Request, RequestId, ServiceName
from verbenadeck.peers import Message, PeerAddress, PeerError, PeerFailure
from verbenadeck.proxy import UpstreamProxy
from verbenadeck.proxy.tests.builders import Node, ProxyFleet
from verbenadeck.proxy.tests.fakes import (
    KEYED,
    SERVICE,
    FakeUpstream,
    make_policy,
)
from verbenadeck.router.tests.builders import make_router
from verbenadeck.testing import FakeTransport

_REQUESTS = 20_000
_ROUNDS = 3
_NS_PER_US = 1000
_FAR_S = 1_000_000.0
_ANSWER = Success(Answer(200, (), b'answer'))


class _NullUpstream(FakeUpstream):
    async def send(
        self, upstream_request: UpstreamRequest
    ) -> Result[Answer, UpstreamError]:
        return _ANSWER


class _DirectTransport(FakeTransport):
    async def call(
        self, peer: PeerAddress, message: Message, *, deadline_s: float
    ) -> Result[Message, PeerError]:
        transport = self._network.transports[peer]
        reply = await transport.receive(self.address, message)
        if reply is None:
            return Failure(PeerError(PeerFailure.NO_REPLY, 'no handler'))
        return Success(reply)


def _local(number: int) -> Request:
    return _request(number, SERVICE, 'GET')


def _keyed(number: int) -> Request:
    return _request(number, KEYED, 'PUT')


def _once(number: int) -> Request:
    return _request(number, SERVICE, 'POST')


def _request(number: int, service: ServiceName, method: str) -> Request:
    return Request(
        RequestId(f'r{number}'),
        service,
        f'key-{number}',
        method,
        '/listings',
        (),
        b'',
        method != 'POST',
        _FAR_S,
    )


_Ways = tuple[Callable[[int], Request], ServiceName, float, bool]

_WAYS: MappingProxyType[str, _Ways] = MappingProxyType(
    {
        'local read': (_local, SERVICE, 0, False),
        'local hedged read': (_local, SERVICE, 0.05, False),
        'local keyed': (_keyed, KEYED, 0, False),
        'local not repeatable': (_once, SERVICE, 0, False),
        'remote keyed': (_keyed, KEYED, 0, True),
    }
)


async def _spend_ns(way: _Ways) -> int:
    make, service, hedge_ratio, is_remote = way
    site = ProxyFleet()
    site.fleet.config.services[SERVICE] = make_policy(hedge_ratio=hedge_ratio)
    nodes = [await _add(site, service) for _ in range(1 + is_remote)]
    site.own_all(nodes[-1])
    router = make_router(site, nodes[0])
    requests = [make(number) for number in range(_REQUESTS)]
    started_ns = time.process_time_ns()
    for request in requests:
        result = await router.route(request)
        if result != _ANSWER:
            raise AssertionError(f'not answered: {result}')
    spent_ns = time.process_time_ns() - started_ns
    for node in nodes:
        await node.proxy.stop()
    return spent_ns


async def _add(site: ProxyFleet, service: ServiceName) -> Node:
    node = await site.add(_NullUpstream(service=service, slots=20))
    transport = _DirectTransport(site.network, node.address, site.clock)
    site.network.transports[node.address] = transport
    node.transport = transport  # type: ignore[assignment]
    await node.proxy.stop()
    node.proxy = UpstreamProxy(
        node_id=node.node_id,
        zone=node.zone,
        incarnation=lambda: node.incarnation,
        upstream=node.upstream,
        ownership=node.ownership,
        fleet=site.fleet,
        peers=transport,
        clock=site.clock,
        random_source=random.Random(1),
    )
    await node.proxy.start()
    node.upstream.announce()
    return node


def measure(log_path: Path, level: str) -> dict[str, float]:
    """Return microseconds per request by way, the least of some rounds."""
    costs: dict[str, float] = {}
    with log_path.open('w') as stream:
        setup_logs(level=level, stream=stream)
        for name, way in _WAYS.items():
            spent = [uvloop.run(_spend_ns(way)) for _ in range(_ROUNDS)]
            costs[name] = round(min(spent) / _REQUESTS / _NS_PER_US, 1)
        teardown_logs()
    return costs


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--level', default='INFO')
    options = parser.parse_args()
    costs = measure(Path(os.devnull), options.level)
    print(json.dumps({'cpu_us_per_request': costs, 'level': options.level}))


if __name__ == '__main__':
    _main()
