"""A reader of the log that is slow, stops or closes the pipe.

A write that blocks on such a reader would stop the whole event loop.
"""

import os
from collections.abc import Iterator
from contextlib import contextmanager

from verbenadeck.logs import PipeStream

_MAX_PENDING_BYTES = 4096
_LINE = f'{"x" * 63}\n'


@contextmanager
def _open_pipe_stream() -> Iterator[tuple[int, PipeStream]]:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    stream = PipeStream(
        writer,
        format_dropped_notice='{} dropped\n'.format,
        max_pending_bytes=_MAX_PENDING_BYTES,
    )
    try:
        yield reader, stream
    finally:
        os.close(reader)
        os.close(writer)


def _read_all(reader: int, stream: PipeStream) -> list[str]:
    received = bytearray()
    while True:
        try:
            chunk = os.read(reader, 65_536)
        except BlockingIOError:
            chunk = b''
        received += chunk
        stream.flush()
        if not chunk:
            return received.decode().splitlines()


def test_lines_are_received_in_order() -> None:
    with _open_pipe_stream() as (reader, stream):
        stream.write('a\nb\n')
        stream.flush()
        stream.write('c\n')
        stream.flush()
        assert _read_all(reader, stream) == ['a', 'b', 'c']


def test_stopped_reader_does_not_block_writer_and_dropped_lines_are_counted() -> (
    None
):
    with _open_pipe_stream() as (reader, stream):
        written = 5000
        for _ in range(written):
            stream.write(_LINE)
            stream.flush()
        lines = _read_all(reader, stream)
        notices = [line for line in lines if line.endswith('dropped')]
        complete_lines = [line for line in lines if line == _LINE.rstrip()]
        assert len(notices) == 1
        assert len(lines) == len(complete_lines) + 1
        assert len(complete_lines) + int(notices[0].split()[0]) == written


def test_closed_reader_does_not_raise_in_writer() -> None:
    reader, writer = os.pipe()
    stream = PipeStream(writer, format_dropped_notice=str)
    os.close(reader)
    stream.write(_LINE)
    stream.flush()
    stream.write(_LINE)
    stream.flush()
    os.close(writer)
