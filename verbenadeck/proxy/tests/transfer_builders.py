"""Builders of uploads and reservations for tests of transfers."""

import asyncio
import random

import msgspec

from verbenadeck.model import AttemptId, Request, ServiceName
from verbenadeck.peers._codec import MessageCodec
from verbenadeck.proxy import MESSAGE_TYPES, ReserveTransfer, TransferReply
from verbenadeck.proxy.tests.builders import Node, ProxyFleet, make_deposit
from verbenadeck.proxy.tests.fakes import SERVICE, make_policy

LINK_BYTES_PER_S = 375_000.0
"""Rate for bodies on a link of 5 Mbit/s."""

BODY_BYTES = 60_000
"""Mean size of a document-upload."""

MAX_BODY_BYTES = 360_000
"""Maximum size of a document-upload."""

_OBJECTIVE_S = 2.816
_TIMEOUT_S = 4.341


def publish_uploads(site: ProxyFleet, *, is_owned: bool = False) -> None:
    """Publish whether each upload has an owner, as none on the platform has."""
    services = dict(site.fleet.config.services)
    services[SERVICE] = make_policy(
        has_ledger_shards=is_owned, has_ledger_copies=False
    )
    site.fleet.publish(services=services)


def make_upload(
    body_bytes: int = BODY_BYTES,
    *,
    request_id: str | None = None,
    service: ServiceName = SERVICE,
    key: str | None = None,
    timeout_s: float = _TIMEOUT_S,
    objective_left_s: float | None = None,
) -> Request:
    """Build a document-upload, a non-repeatable request with a large body.

    The time to its objective, in seconds, is that of the objective of uploads
    if it is None.
    """
    request = make_deposit(
        request_id,
        service=service,
        key=key,
        path='/documents',
        body=bytes(body_bytes),
        timeout_s=timeout_s,
    )
    objective_at_s = request.deadline_s - _TIMEOUT_S + _OBJECTIVE_S
    if objective_left_s is not None:
        objective_at_s = request.deadline_s - timeout_s + objective_left_s
    return msgspec.structs.replace(
        request,
        priority=2,
        kind='document-upload',
        objective_at_s=objective_at_s,
    )


def draw_body_bytes(source: random.Random) -> int:
    """Draw the size of an upload: 60 KB in the mean, at most 360 KB."""
    drawn_bytes = int(source.expovariate(1 / BODY_BYTES))
    return max(1, min(MAX_BODY_BYTES, drawn_bytes))


async def reserve(
    entry: Node, node: Node, request: Request, attempt: str = 'a1'
) -> TransferReply:
    """Ask a node for a transfer from another one, by encoded messages."""
    codec = MessageCodec(MESSAGE_TYPES)
    now_s = asyncio.get_running_loop().time()
    message = ReserveTransfer.pack(
        AttemptId(attempt), request, request.deadline_s - now_s
    )
    result = await entry.transport.call(
        node.address,
        codec.decode(codec.encode(message)).unwrap(),
        deadline_s=now_s + 1,
    )
    reply = codec.decode(codec.encode(result.unwrap())).unwrap()
    assert isinstance(reply, TransferReply)
    return reply
