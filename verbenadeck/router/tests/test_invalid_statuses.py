"""Answers of other nodes, over real connections, without a final status."""

import asyncio
import random

import msgspec
import pytest

from verbenadeck.model import (
    Answer,
    AnswerResult,
    Outcome,
    Refusal,
    RefusalReason,
)
from verbenadeck.peers import PeerAddress, StreamTransport
from verbenadeck.proxy import (
    MESSAGE_TYPES,
    ForwardAnswer,
    ForwardRequest,
    ProxyLoad,
)
from verbenadeck.proxy.tests.builders import ProxyFleet, make_request, verdict
from verbenadeck.router._attempt_sender import AttemptSender
from verbenadeck.router._stats import ProxyStats
from verbenadeck.router._transfers import BodyTransfers
from verbenadeck.utils import Clock

_INVALID_STATUSES = (-200, -1, 0, 1, 99, 100, 101, 199, 600, 999, 2000, 2**40)
_ACCEPTED_STATUSES = (200, 299, 302, 404, 500, 599)
_NOT_RUN = Refusal(Outcome.NOT_RUN, RefusalReason.SHED)
_LOAD = ProxyLoad(0, 0, 4, 0.1, True)


def _make_transport() -> StreamTransport:
    return StreamTransport(
        PeerAddress('127.0.0.1', 0),
        message_types=MESSAGE_TYPES,
        clock=Clock(),
    )


async def _forward(status: int, refusal: Refusal | None) -> AnswerResult:
    """Return the result of an attempt that another node answers."""
    entry, owner = _make_transport(), _make_transport()

    async def answer(
        _peer: PeerAddress, _message: ForwardRequest
    ) -> ForwardAnswer:
        return ForwardAnswer(Answer(status), refusal, _LOAD)

    owner.register_handler(ForwardRequest, answer)
    node = await ProxyFleet().add()
    sender = AttemptSender(
        proxy=node.proxy,
        peers=entry,
        clock=Clock(),
        random_source=random.Random(1),
        is_member=lambda _target: True,
    )
    await entry.start()
    await owner.start()
    try:
        member = msgspec.structs.replace(node.member(), address=owner.address)
        target = ProxyStats(member, is_local=False, is_same_zone=True)
        request = make_request(now_s=Clock().now_s(), method='POST')
        return await sender.send(
            target, request, transfers=BodyTransfers(), is_owner=True
        )
    finally:
        await owner.stop()
        await entry.stop()


# Guards against a node of an earlier release that forwards an answer of a
# failing upstream.
@pytest.mark.parametrize('refusal', [None, _NOT_RUN])
@pytest.mark.parametrize('status', _INVALID_STATUSES)
def test_forwarded_answer_without_final_status_has_unknown_outcome(
    status: int, refusal: Refusal | None
) -> None:
    result = asyncio.run(_forward(status, refusal))
    assert verdict(result) == (Outcome.UNKNOWN, RefusalReason.UPSTREAM_FAILED)
    assert str(status) in result.failure().detail


@pytest.mark.parametrize('status', _ACCEPTED_STATUSES)
def test_forwarded_answer_with_final_status_is_returned(status: int) -> None:
    assert asyncio.run(_forward(status, None)).unwrap() == Answer(status)
