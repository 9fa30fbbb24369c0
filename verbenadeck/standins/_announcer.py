"""Periodic announcement of an upstream stand-in to its node."""

import asyncio

import aiohttp
import msgspec
from loguru import logger

from verbenadeck.adapters import wire
from verbenadeck.standins._upstream_state import UpstreamState

_log = logger.bind(part='standin')
_ANNOUNCE_INTERVAL_S = 0.5
_REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
_HTTP_OK = 200


async def announce_periodically(
    state: UpstreamState, *, url: str, host: str, port: int
) -> None:
    """Announce the upstream until cancelled.

    Announcements repeat so that a restarted node learns of the upstream.

    Parameters
    ----------
    state : UpstreamState
        State of the announced upstream.
    url : str
        URL of the node that accepts announcements.
    host : str
        IP address on which the upstream listens.
    port : int
        TCP port on which the upstream listens.
    """
    async with aiohttp.ClientSession(timeout=_REQUEST_TIMEOUT) as session:
        while True:
            await state.wait_until_unfrozen()
            reply = await _announce(session, state, url, host, port)
            if reply is not None and reply.is_new:
                state.is_draining = False
            await asyncio.sleep(_ANNOUNCE_INTERVAL_S)


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
        bearable=state.cold_start.capacity,
    )
    try:
        async with session.post(url, data=msgspec.json.encode(body)) as answer:
            if answer.status != _HTTP_OK:
                _log.info(
                    'node refused the announcement with status {}',
                    answer.status,
                )
                return None
            return msgspec.json.decode(
                await answer.read(), type=wire.AnnounceReply
            )
    except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
        _log.debug('announcement failed: {!r}', error)
        return None
