"""The reader of the log is slow, stops reading, or goes away."""

import os
from collections.abc import Iterator
from contextlib import contextmanager

from verbenadeck.logs import PipeStream

_LIMIT_BYTES = 4096
_LINE = f'{"x" * 63}\n'


@contextmanager
def _pipe() -> Iterator[tuple[int, PipeStream]]:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    stream = PipeStream(
        writer,
        tell_dropped='{} dropped\n'.format,
        limit_bytes=_LIMIT_BYTES,
    )
    try:
        yield reader, stream
    finally:
        os.close(reader)
        os.close(writer)


def _read_all(reader: int, stream: PipeStream) -> list[str]:
    found = bytearray()
    while True:
        try:
            chunk = os.read(reader, 65_536)
        except BlockingIOError:
            chunk = b''
        found += chunk
        stream.flush()
        if not chunk:
            return found.decode().splitlines()


def test_lines_arrive_in_order() -> None:
    with _pipe() as (reader, stream):
        stream.write('a\nb\n')
        stream.flush()
        stream.write('c\n')
        stream.flush()
        assert _read_all(reader, stream) == ['a', 'b', 'c']


def test_a_reader_that_stops_does_not_stop_the_writer() -> None:
    with _pipe() as (reader, stream):
        written = 5000
        for _ in range(written):
            stream.write(_LINE)
            stream.flush()
        lines = _read_all(reader, stream)
        told = [line for line in lines if line.endswith('dropped')]
        whole = [line for line in lines if line == _LINE.rstrip()]
        assert len(told) == 1
        assert len(lines) == len(whole) + 1
        assert len(whole) + int(told[0].split()[0]) == written


def test_a_reader_that_is_gone_stops_nothing() -> None:
    reader, writer = os.pipe()
    stream = PipeStream(writer, tell_dropped=str)
    os.close(reader)
    stream.write(_LINE)
    stream.flush()
    stream.write(_LINE)
    stream.flush()
    os.close(writer)
