"""Clients of the admin server that send what a request may not have."""

import asyncio
from collections import Counter

import pytest

from verbenadeck.admin.tests.builders import make_fake_node, make_server

_TIMEOUT_S = 5.0
_HEAD = b'POST /announce HTTP/1.1\r\nHost: a\r\n'
_CALLS = (
    pytest.param(
        b'%b%b' % (_HEAD, b'X-Long: %b\r\n' % (b'a' * 4000) * 6),
        431,
        'clients_refused_large_heads',
        id='head',
    ),
    pytest.param(
        b'\r\n' * 20_000, 431, 'clients_refused_large_heads', id='empty lines'
    ),
    pytest.param(
        b'%bTransfer-Encoding: chunked\r\n\r\n1;%b' % (_HEAD, b'a' * 80_000),
        400,
        'clients_refused_large_framing',
        id='chunk extension',
    ),
)


# Guards against a node that ends by its memory, or reads without end.
@pytest.mark.parametrize(('call', 'status', 'counter'), _CALLS)
def test_request_over_the_limits_is_refused(
    call: bytes, status: int, counter: str
) -> None:
    async def scenario() -> Counter[str]:
        counters: Counter[str] = Counter()
        server = make_server(
            make_fake_node(), count=lambda name: counters.update((name,))
        )
        await server.start()
        reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
        writer.write(call)
        async with asyncio.timeout(_TIMEOUT_S):
            answer = await reader.readline()
        assert int(answer.split()[1]) == status
        writer.close()
        await server.stop()
        return counters

    assert asyncio.run(scenario()) == {counter: 1}
