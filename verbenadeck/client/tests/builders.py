"""Entries with scripted answers for tests of the client."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from aiohttp import web

from verbenadeck.adapters import (
    CallerAnswer,
    OwnerHint,
    write_answer,
    write_owner_hint,
    write_refusal,
)
from verbenadeck.client import Client, ClientOptions, EntryAddress
from verbenadeck.model import (
    Answer,
    Outcome,
    Refusal,
    RefusalReason,
    RequestId,
)

Step = Callable[[web.Request], Awaitable[web.StreamResponse]]
FAST_OPTIONS = ClientOptions(
    timeout_s=5,
    attempt_timeout_s=0.2,
    backoff_s=0.001,
    longest_wait_s=0.01,
    answer_limit_bytes=10_000,
)


class ScriptedEntry:
    """Entry that handles each request with the next step of a script."""

    def __init__(self, *steps: Step) -> None:
        self.steps = list(steps)
        self.received: list[tuple[str, str]] = []
        self.port = 0
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> EntryAddress:
        return EntryAddress('127.0.0.1', self.port)

    async def start(self) -> None:
        app = web.Application()
        app.router.add_route('*', '/{rest:.*}', self._step)
        self._runner = web.AppRunner(app, shutdown_timeout=0.01)
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        assert self._runner is not None
        await self._runner.cleanup()

    async def _step(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers['Idempotency-Key']
        self.received.append((request_id, request.raw_path))
        step = self.steps.pop(0) if self.steps else answer(b'done')
        return await step(request)


@asynccontextmanager
async def calling(
    *entries: ScriptedEntry,
    options: ClientOptions = FAST_OPTIONS,
    known_count: int = 1,
) -> AsyncIterator[Client]:
    """Start entries, and a client that is configured with the first few."""
    for entry in entries:
        await entry.start()
    client = Client(
        entries=tuple(entry.address for entry in entries[:known_count]),
        source=random.Random(1),
        options=options,
    )
    await client.start()
    yield client
    await client.stop()
    for entry in entries:
        await entry.stop()


def answer(
    body: bytes, *, owner: ScriptedEntry | None = None, shards: int = 8
) -> Step:
    """Return a step that answers, with an owner hint if there is an owner."""

    async def step(request: web.Request) -> web.StreamResponse:
        request_id = RequestId(request.headers['Idempotency-Key'])
        written = write_answer(Answer(200, (), body), request_id)
        headers = dict(written.headers)
        if owner is not None:
            hint = OwnerHint('127.0.0.1', owner.port, shards)
            headers.update((write_owner_hint(hint),))
        return web.Response(body=body, headers=headers)

    return step


def refuse(
    reason: RefusalReason,
    outcome: Outcome = Outcome.NOT_RUN,
    *,
    retry_after_s: float = 0,
) -> Step:
    """Return a step that refuses."""

    async def step(request: web.Request) -> web.StreamResponse:
        request_id = RequestId(request.headers['Idempotency-Key'])
        refusal = Refusal(outcome, reason, retry_after_s)
        return _to_response(write_refusal(refusal, request_id))

    return step


def answer_without_headers(status: int, *, is_leaving: bool = False) -> Step:
    """Return a step that answers without the router's headers.

    With `is_leaving` it answers as an entry that is leaving instead.
    """

    async def step(request: web.Request) -> web.StreamResponse:
        if not is_leaving:
            return web.Response(status=status)
        response = await answer(b'bye')(request)
        response.headers['Connection'] = 'close'
        return response

    return step


async def close_without_answer(request: web.Request) -> web.StreamResponse:
    """Close the connection without an answer."""
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


async def never_answer(_request: web.Request) -> web.StreamResponse:
    """Keep the connection open without an answer."""
    await asyncio.sleep(60)
    return web.Response()


async def send_half_answer(request: web.Request) -> web.StreamResponse:
    """Send half of an answer and close the connection."""
    assert request.transport is not None
    request_id = request.headers['Idempotency-Key']
    response = web.StreamResponse(
        headers={
            'Content-Length': '100',
            'Verbenadeck-Request-Id': request_id,
        }
    )
    await response.prepare(request)
    await response.write(b'half')
    request.transport.abort()
    return response


def _to_response(written: CallerAnswer) -> web.Response:
    headers = dict(written.headers)
    return web.Response(
        status=written.status, headers=headers, body=written.body
    )
