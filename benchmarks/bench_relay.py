"""How records reach 440 nodes in 7 zones, in virtual time.

Prints one JSON document. Run it with ``python -m benchmarks.bench_relay``.
Times are virtual; messages and bytes are counted at the fake network.
"""

import asyncio
import json
import sys
from collections import Counter
from itertools import repeat

import msgspec
from loguru import logger
from returns.result import Result

from verbenadeck.fleet.tests.builders import make_published
from verbenadeck.journal._sources import DIRECT_READERS
from verbenadeck.journal.tests.builders import LogFleet, Node
from verbenadeck.model import Offset
from verbenadeck.peers import Message, PeerAddress, PeerError
from verbenadeck.testing import run_virtual

_NODES = 440
_ZONES = 7
_RECORDS_PER_S = 5
_STEADY_S = 20.0
_FORCE_S = 60.0
_STEP_S = 0.05


class Meter:
    """Counts what each node sends through its peer port."""

    def __init__(self) -> None:
        self.sent_bytes: Counter[PeerAddress] = Counter()
        self.calls: Counter[PeerAddress] = Counter()

    def watch(self, node: Node) -> None:
        """Count the calls of a node and the replies to them."""
        plain = node.transport.call

        async def call(
            peer: PeerAddress, message: Message, *, deadline_s: float
        ) -> Result[Message, PeerError]:
            self.calls[node.address] += 1
            self._count(node.address, message)
            reply = await plain(peer, message, deadline_s=deadline_s)
            reply.map(lambda answer: self._count(peer, answer))
            return reply

        node.transport.call = call  # type: ignore[method-assign]

    def clear(self) -> None:
        """Start counting anew."""
        self.sent_bytes.clear()
        self.calls.clear()

    def _count(self, sender: PeerAddress, message: Message) -> None:
        self.sent_bytes[sender] += len(msgspec.msgpack.encode(message))


async def _publish(node: Node) -> Offset:
    version = node.client.fleet.config_version
    record = make_published(expected_version=version)
    answer = await node.client.propose(record, deadline_s=node.deadline_in(30))
    return answer.unwrap().offset


async def _time_to_all(nodes: list[Node], publisher: Node) -> float:
    """Publish and return the seconds until all nodes have it in force."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    offset = await _publish(publisher)
    await asyncio.gather(
        *(
            node.client.wait_applied(
                offset, deadline_s=node.deadline_in(_FORCE_S)
            )
            for node in nodes
        )
    )
    return loop.time() - started_s


async def _steady(site: LogFleet, meter: Meter) -> dict[str, float]:
    """Measure a fleet that appends a few records a second."""
    meter.clear()
    reads_before = sum(node.adapter.reads for node in site.nodes)
    for payload in repeat(bytes(200), int(_STEADY_S * _RECORDS_PER_S)):
        site.log.records.append(payload)
        await asyncio.sleep(1 / _RECORDS_PER_S)
    reads = sum(node.adapter.reads for node in site.nodes) - reads_before
    sent = [meter.sent_bytes[node.address] for node in site.nodes]
    return {
        'records_per_s': _RECORDS_PER_S,
        'log_reads_per_s': reads / _STEADY_S,
        'most_sent_bytes_per_s': max(sent) / _STEADY_S,
        'mean_sent_bytes_per_s': sum(sent) / len(sent) / _STEADY_S,
        'most_calls_per_s': max(meter.calls.values()) / _STEADY_S,
    }


async def _measure() -> dict[str, float]:
    site = LogFleet()
    meter = Meter()
    for index in range(_NODES):
        node = await site.add(zone=f'zone-{index % _ZONES}')
        meter.watch(node)
    await site.settle(10)
    figures = await _steady(site, meter)
    last = site.nodes[-1]
    figures['in_force_s'] = await _time_to_all(site.nodes, last)
    readers = site.nodes[:DIRECT_READERS]
    others = site.nodes[len(readers) :]
    for node in readers:
        await node.stop()
    figures['in_force_without_readers_s'] = await _time_to_all(others, last)
    site.log.is_up = False
    await site.settle(120)
    site.log.is_up = True
    figures['in_force_after_outage_s'] = await _time_to_all(others, last)
    for node in others:
        await node.client.stop()
    return {'nodes': _NODES, 'zones': _ZONES, **figures}


def main() -> None:
    """Measure and print the figures."""
    logger.remove()
    json.dump(run_virtual(_measure()), sys.stdout, indent=2)


if __name__ == '__main__':
    main()
