import asyncio
import random
from collections.abc import Callable

import msgspec
from aiohttp import web

from verbenadeck.demo._caller import Caller
from verbenadeck.demo._calls import Call, CallKind, CallRecord, Final
from verbenadeck.model import Outcome
from verbenadeck.standins import EchoBody, echo_digest, start_app
from verbenadeck.utils import Clock

_HOST = '127.0.0.1'
_Script = Callable[[int, web.Request, bytes], web.Response]


def _refusal(outcome: Outcome) -> web.Response:
    headers = {'Verbenadeck-Outcome': outcome.value}
    return web.Response(status=503, headers=headers)


def _own_answer(request: web.Request, body: bytes) -> web.Response:
    path = request.raw_path.removeprefix('/holds')
    digest = echo_digest(request.method, path, body)
    echo = EchoBody(request.headers['Idempotency-Key'], digest, 'life-1', '')
    return web.Response(body=msgspec.json.encode(echo))


def _perform(script: _Script, *, is_patient: bool = True) -> CallRecord:
    """Perform one deposit against a scripted entry."""
    ids: list[str] = []

    async def answer(request: web.Request) -> web.Response:
        ids.append(request.headers['Idempotency-Key'])
        return script(len(ids), request, await request.read())

    async def main() -> CallRecord:
        app = web.Application()
        app.router.add_route('*', '/{path:.*}', answer)
        started = await start_app(app, host=_HOST)
        entry = f'http://{_HOST}:{started.listening.port}'
        source = random.Random(1)
        caller = Caller([entry], clock=Clock(), source=source)
        call = Call(
            kind=CallKind.DEPOSIT,
            service='holds',
            key='key-1',
            nonce='id-1',
            timeout_s=20,
            is_patient=is_patient,
        )
        await caller.perform(call)
        await caller.close()
        await started.runner.cleanup()
        return caller.records[0]

    record = asyncio.run(main())
    assert set(ids) == {'id-1'}
    assert len(ids) == record.attempts
    return record


def test_a_lost_deposit_is_sent_again_with_its_id() -> None:
    def script(count: int, request: web.Request, body: bytes) -> web.Response:
        if count == 1:
            assert request.transport is not None
            request.transport.abort()
        return _own_answer(request, body)

    record = _perform(script)
    assert record.final is Final.ANSWERED
    assert (record.attempts, record.was_lost) == (2, True)


def test_an_impatient_caller_stops_at_not_run() -> None:
    record = _perform(
        lambda _count, _request, _body: _refusal(Outcome.NOT_RUN),
        is_patient=False,
    )
    assert record.final is Final.NOT_RUN
    assert record.attempts == 1


def test_not_run_after_unknown_stays_unknown() -> None:
    outcomes = {1: Outcome.UNKNOWN, 2: Outcome.NOT_RUN}
    record = _perform(
        lambda count, _request, _body: _refusal(outcomes[count]),
        is_patient=False,
    )
    assert record.final is Final.UNKNOWN
    assert record.last_outcome is Outcome.NOT_RUN


def test_a_foreign_answer_is_wrong() -> None:
    record = _perform(
        lambda _count, request, _body: _own_answer(request, b'other')
    )
    assert record.final is Final.WRONG
