"""Cost of control per node: processor time, bytes and memory.

Control services of many nodes run in one process in virtual time over fakes
that only count. One JSON line per fleet size, then the slope to the target.
The processor time holds the fakes and the virtual loop, so it is an upper
bound of what the services themselves take.
"""

import asyncio
import gc
import json
import time
import tracemalloc

import msgspec

from verbenadeck.peers import Message, PeerAddress
from verbenadeck.testing import VirtualFleet, run_processes, zoned_specs
from verbenadeck.testing import _memory_log as memory_log
from verbenadeck.testing._fleet_node import ProcessTransport

_SIZES = (3, 10, 30, 100)
_TARGET = 440
_ZONES = 3
_SHARDS = 4096
_STEADY_S = 20.0
_FORM_S = 10.0
_POLL_S = 0.5
_HEADERS_BYTES = 28
_KB = 1000
_MB = 1_000_000


class _Traffic:
    """Datagrams and bytes that nodes sent."""

    def __init__(self) -> None:
        self.datagrams = 0
        self.sent_bytes = 0

    def count(self, message: Message) -> None:
        """Count a datagram with its IP and UDP headers."""
        self.datagrams += 1
        self.sent_bytes += len(msgspec.msgpack.encode(message))
        self.sent_bytes += _HEADERS_BYTES


def _count_datagrams(traffic: _Traffic) -> None:
    send_datagram = ProcessTransport.send_datagram

    def counted(
        transport: ProcessTransport, peer: PeerAddress, message: Message
    ) -> None:
        traffic.count(message)
        send_datagram(transport, peer, message)

    ProcessTransport.send_datagram = counted  # type: ignore[method-assign, assignment]


async def _measure(size: int, traffic: _Traffic) -> dict[str, float]:
    sizes = [len(range(zone, size, _ZONES)) for zone in range(_ZONES)]
    tracemalloc.start()
    fleet = VirtualFleet(
        zoned_specs(*sizes), shard_count=_SHARDS, is_watched=False
    )
    async with fleet:
        await asyncio.sleep(_FORM_S)
        gc.collect()
        memory_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        records = len(fleet.log.records)
        sent_before = traffic.sent_bytes
        start_s = time.process_time()
        await asyncio.sleep(_STEADY_S)
        spent_s = time.process_time() - start_s
        sent_bytes = traffic.sent_bytes - sent_before
        appended = len(fleet.log.records) - records
    node_seconds = size * _STEADY_S
    return {
        'nodes': size,
        'core_percent': 100 * spent_s / node_seconds,
        'sent_kb_per_s': sent_bytes / node_seconds / _KB,
        'memory_mb': memory_bytes / size / _MB,
        'steady_appends': appended,
    }


def _slope(found: list[dict[str, float]], field: str) -> float:
    """Return a field at the target, on the line of the two largest."""
    one, two = found[-2:]
    rise = (two[field] - one[field]) / (two['nodes'] - one['nodes'])
    return two[field] + rise * (_TARGET - two['nodes'])


def main() -> None:
    """Print the results."""
    memory_log._POLL_S = _POLL_S
    traffic = _Traffic()
    _count_datagrams(traffic)
    found: list[dict[str, float]] = []
    for size in _SIZES:
        found.append(run_processes(_measure(size, traffic)))
        print(json.dumps({'bench': 'control', **found[-1]}), flush=True)
    fields = ('core_percent', 'sent_kb_per_s', 'memory_mb')
    at_target = {field: _slope(found, field) for field in fields}
    print(json.dumps({'bench': 'control', 'nodes': _TARGET, **at_target}))


if __name__ == '__main__':
    main()
