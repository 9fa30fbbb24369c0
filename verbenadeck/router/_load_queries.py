"""Queries for the load of proxies, right before one of them is chosen."""

import asyncio
import itertools
from collections.abc import Iterable

from verbenadeck.peers import PeerAddress, PeerTransport
from verbenadeck.proxy import LoadQuery, LoadReply, Proxy
from verbenadeck.router._stats import ProxyStats
from verbenadeck.utils import Clock

MAX_LOAD_AGE_S = 0.05
"""Age in seconds up to which a load needs no query."""

REPLY_TIMEOUT_S = 0.03
"""Time in seconds for replies: some round trips between zones."""


class _Query:
    """Query to several proxies, which ends early with a good reply.

    Attributes
    ----------
    answered : asyncio.Event
        Set once enough replies have arrived.
    """

    def __init__(self, proxies: Iterable[ProxyStats]) -> None:
        self.waiting = {proxy.member.address: proxy for proxy in proxies}
        self.answered = asyncio.Event()

    def settle(
        self, address: PeerAddress, reply: LoadReply, now_s: float
    ) -> None:
        """Record the reply of a proxy."""
        proxy = self.waiting.pop(address, None)
        if proxy is None:
            return
        proxy.record_load(reply.load, now_s)
        is_good = proxy.is_same_zone and proxy.has_free_slot
        if is_good or not self.waiting:
            self.answered.set()


class LoadQueries:
    """Client that asks proxies for their load by datagram.

    An entry of a large fleet sends too few requests to one proxy to know its
    load from answers. The round trip within a zone is short compared with the
    wait for a slot that a choice by old knowledge would cost.

    Parameters
    ----------
    proxy : Proxy
        Proxy of this process, whose load is read directly.
    peers : PeerTransport
        Transport to the other proxies.
    clock : Clock
        Clock of this VM.
    """

    def __init__(
        self, *, proxy: Proxy, peers: PeerTransport, clock: Clock
    ) -> None:
        self._proxy = proxy
        self._peers = peers
        self._clock = clock
        self._numbers = itertools.count(1)
        self._queries: dict[int, _Query] = {}
        peers.register_handler(LoadReply, self._on_reply)

    async def refresh(self, proxies: Iterable[ProxyStats]) -> None:
        """Ask the proxies whose load is not known as of now.

        Returns when all have replied, when one in this zone has a free slot,
        or after `REPLY_TIMEOUT_S`. A proxy that did not reply although others
        did starts a cool-down.

        Parameters
        ----------
        proxies : iterable of ProxyStats
            Proxies among which one is to be chosen.
        """
        now_s = self._clock.now_s()
        unknown: list[ProxyStats] = []
        for proxy in proxies:
            if proxy.is_local:
                proxy.record_load(self._proxy.load, now_s)
            elif now_s - proxy.load_at_s > MAX_LOAD_AGE_S:
                unknown.append(proxy)
        if unknown:
            await self._ask(unknown)

    async def _ask(self, proxies: list[ProxyStats]) -> None:
        number = next(self._numbers)
        query = _Query(proxies)
        self._queries[number] = query
        for proxy in proxies:
            self._peers.send_datagram(proxy.member.address, LoadQuery(number))
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                await query.answered.wait()
        except TimeoutError:
            self._cool_down(query, len(proxies))
        finally:
            self._queries.pop(number)

    def _cool_down(self, query: _Query, asked_count: int) -> None:
        if len(query.waiting) == asked_count:
            return
        for proxy in query.waiting.values():
            proxy.start_cooldown(self._clock.now_s())

    async def _on_reply(self, peer: PeerAddress, reply: LoadReply) -> None:
        query = self._queries.get(reply.number)
        if query is not None:
            query.settle(peer, reply, self._clock.now_s())
