"""Closed-loop HTTP load over raw streams, cheap enough for one core."""

import asyncio
import time
from collections.abc import Sequence

import msgspec
from hdrh.histogram import HdrHistogram

_HIGHEST_US = 60_000_000
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_HEAD_END = b'\r\n\r\n'


class LoadResult(msgspec.Struct, frozen=True):
    """What a load saw.

    Parameters
    ----------
    requests : int
        Requests that were answered with 200.
    failures : int
        Other answers.
    rate_per_s : float
        Answers per second.
    p50_ms, p99_ms : float
        Latency.
    """

    requests: int
    failures: int
    rate_per_s: float
    p50_ms: float
    p99_ms: float


class _Tally:
    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, _HIGHEST_US, 3)
        self.requests = 0
        self.failures = 0


async def run_load(
    host: str,
    port: int,
    paths: Sequence[str],
    *,
    requests: int,
    connections: int,
) -> LoadResult:
    """Send a bounded number of GETs over a few connections, one at a time.

    Parameters
    ----------
    host, port : str, int
        Server.
    paths : sequence of str
        Paths, asked in turn.
    requests : int
        Requests in all.
    connections : int
        Connections, each with one request outstanding.
    """
    tally = _Tally()
    share = requests // connections
    start_s = time.perf_counter()
    await asyncio.gather(
        *(
            _run_connection(host, port, paths[index::connections], share, tally)
            for index in range(connections)
        )
    )
    elapsed_s = time.perf_counter() - start_s
    return LoadResult(
        requests=tally.requests,
        failures=tally.failures,
        rate_per_s=round(tally.requests / elapsed_s, 1),
        p50_ms=tally.histogram.get_value_at_percentile(50) / _US_PER_MS,
        p99_ms=tally.histogram.get_value_at_percentile(99) / _US_PER_MS,
    )


async def _run_connection(
    host: str, port: int, paths: Sequence[str], count: int, tally: _Tally
) -> None:
    reader, writer = await asyncio.open_connection(host, port)
    raw = [
        f'GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n'.encode()
        for path in paths
    ]
    try:
        for index in range(count):
            start_s = time.perf_counter()
            writer.write(raw[index % len(raw)])
            is_good = await _read_answer(reader)
            took_us = int((time.perf_counter() - start_s) * _US_PER_S)
            tally.histogram.record_value(took_us)
            tally.requests += is_good
            tally.failures += not is_good
    finally:
        writer.close()


async def _read_answer(reader: asyncio.StreamReader) -> bool:
    head = await reader.readuntil(_HEAD_END)
    lines = head.lower().split(b'\r\n')
    lengths = [
        int(line.partition(b':')[2])
        for line in lines
        if line.startswith(b'content-length:')
    ]
    await reader.readexactly(lengths[0])
    return lines[0].startswith(b'http/1.1 200')
