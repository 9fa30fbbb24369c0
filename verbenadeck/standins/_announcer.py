"""Announces an upstream stand-in to its node, again and again."""

import asyncio

import aiohttp
import msgspec
from loguru import logger

from verbenadeck.adapters import wire
from verbenadeck.standins._upstream_state import UpstreamState

_log = logger.bind(part='standin')
_PERIOD_S = 0.5
_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
_OK = 200


async def announce_for_ever(
    state: UpstreamState, *, url: str, host: str, port: int
) -> None:
    """Announce until cancelled, so that a restarted node learns of it."""
    async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:
        while True:
            await state.wait_thawed()
            reply = await _announce(session, state, url, host, port)
            if reply is not None and reply.is_new:
                state.is_draining = False
            await asyncio.sleep(_PERIOD_S)


async def _announce(
    session: aiohttp.ClientSession,
    state: UpstreamState,
    url: str,
    host: str,
    port: int,
) -> wire.AnnounceReply | None:
    options = state.options
    body = wire.AnnounceBody(
        service=options.service,
        instance=options.instance,
        host=host,
        port=port,
        slots=options.slots,
        connections=options.connections,
        bearable=state.cold_start.bearable,
    )
    try:
        async with session.post(url, data=msgspec.json.encode(body)) as answer:
            if answer.status != _OK:
                _log.info('announcement refused, status {}', answer.status)
                return None
            return msgspec.json.decode(
                await answer.read(), type=wire.AnnounceReply
            )
    except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
        _log.debug('announcement not accepted: {!r}', error)
        return None
