"""Bytes of callers that are no request."""

import asyncio
import tracemalloc
from types import MappingProxyType

import pytest
from returns.result import Success

from verbenadeck.entry.tests.builders import make_entry, serving
from verbenadeck.model import Answer, AnswerResult, Request

_HOST = '127.0.0.1'
_ODD_BYTES = 1_000_000
_ZEROS = bytes(_ODD_BYTES)
_LETTERS = b'a' * _ODD_BYTES
_MAX_ANSWER_BYTES = 1_000
_MAX_MEMORY_BYTES = 3_000_000
"""The bytes themselves, in the buffers of both sides, and little else."""

_ODD_CALLS = MappingProxyType(
    {
        'no request': _ZEROS,
        'header field': b'GET / HTTP/1.1\r\nX-Long: %b' % _LETTERS,
        'header name': b'GET / HTTP/1.1\r\n%b' % _ZEROS,
    }
)


class _Router:
    """Router that answers all requests."""

    async def route(self, _request: Request) -> AnswerResult:
        return Success(Answer(200, (), b'done'))


async def _read_answer(port: int, call: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(_HOST, port)
    writer.write(call)
    try:
        return await reader.read()
    except ConnectionError:
        return b''
    finally:
        writer.close()


# Guards against a node that ends by its memory.
@pytest.mark.parametrize('form', sorted(_ODD_CALLS))
def test_bytes_that_are_no_request_take_little_memory(form: str) -> None:
    async def measure_peak() -> int:
        entry = make_entry(_Router())
        async with serving(entry):
            tracemalloc.start()
            answer = await _read_answer(entry.port, _ODD_CALLS[form])
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert len(answer) <= _MAX_ANSWER_BYTES
            return peak_bytes

    assert asyncio.run(measure_peak()) < _MAX_MEMORY_BYTES


def test_malformed_request_is_answered_without_its_bytes() -> None:
    async def scenario() -> bytes:
        entry = make_entry(_Router())
        async with serving(entry):
            return await _read_answer(entry.port, b'\0odd\r\n\r\n')

    answer = asyncio.run(scenario())
    assert answer.split()[1] == b'400'
    assert b'odd' not in answer
