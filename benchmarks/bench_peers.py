"""Cost of a call between two nodes and memory of an idle connection.

Run with ``python -m benchmarks.bench_peers``; prints one JSON object.
"""

import asyncio
import json
import os
import time

import psutil
import uvloop

from verbenadeck.peers import Message, PeerAddress, StreamTransport
from verbenadeck.utils import Clock

_CALLS = 30_000
_IN_FLIGHT = 30
_IDLE_LINKS = 200
_BODY = bytes(300)
_US_PER_S = 1_000_000
_KB = 1000
_DEADLINE_S = 60


class _Ask(Message, frozen=True, array_like=True, tag='ask'):
    number: int
    body: bytes


class _Tell(Message, frozen=True, array_like=True, tag='tell'):
    number: int
    body: bytes


def _make_transport() -> StreamTransport:
    address = PeerAddress('127.0.0.1', 0)
    return StreamTransport(address, message_types=(_Ask, _Tell), clock=Clock())


async def _tell(_peer: PeerAddress, ask: _Ask) -> _Tell:
    return _Tell(ask.number, ask.body)


async def _call_many(transport: StreamTransport, peer: PeerAddress) -> None:
    for number in range(_CALLS // _IN_FLIGHT):
        deadline_s = Clock().now_s() + _DEADLINE_S
        reply = await transport.call(
            peer, _Ask(number, _BODY), deadline_s=deadline_s
        )
        assert reply.unwrap() == _Tell(number, _BODY)


async def _measure_call_us() -> float:
    entry, door = _make_transport(), _make_transport()
    door.register_handler(_Ask, _tell)
    await entry.start()
    await door.start()
    started_s = time.process_time()
    await asyncio.gather(
        *(_call_many(entry, door.address) for _ in range(_IN_FLIGHT))
    )
    spent_s = time.process_time() - started_s
    await entry.stop()
    await door.stop()
    return spent_s * _US_PER_S / _CALLS


async def _measure_link_kb() -> float:
    """Return the memory of one connection, both ends together."""
    entry = _make_transport()
    await entry.start()
    doors = [_make_transport() for _ in range(_IDLE_LINKS)]
    for door in doors:
        door.register_handler(_Ask, _tell)
        await door.start()
    process = psutil.Process(os.getpid())
    before_bytes = process.memory_info().rss
    for door in doors:
        deadline_s = Clock().now_s() + _DEADLINE_S
        await entry.call(door.address, _Ask(1, _BODY), deadline_s=deadline_s)
    grown_bytes = process.memory_info().rss - before_bytes
    await entry.stop()
    for door in doors:
        await door.stop()
    return grown_bytes / _IDLE_LINKS / _KB


def main() -> None:
    """Run both measurements and print them."""
    measured = {
        'calls': _CALLS,
        'in_flight': _IN_FLIGHT,
        'call_cpu_us_both_ends': round(uvloop.run(_measure_call_us()), 1),
        'link_kb_both_ends': round(uvloop.run(_measure_link_kb()), 1),
    }
    print(json.dumps(measured))


if __name__ == '__main__':
    main()
