"""Queries for the load of proxies, right before one of them is chosen."""

import asyncio
import itertools
from collections.abc import Iterable

from verbenadeck.model import Zone
from verbenadeck.peers import PeerAddress, PeerTransport
from verbenadeck.proxy import LoadQuery, LoadReply, Proxy
from verbenadeck.router._stats import ProxyStats
from verbenadeck.router._zones import RoundTrips
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

    def __init__(self, proxies: Iterable[ProxyStats], sent_at_s: float) -> None:
        self.sent_at_s = sent_at_s
        self.waiting = {proxy.member.address: proxy for proxy in proxies}
        self.answered = asyncio.Event()

    def settle(
        self, address: PeerAddress, reply: LoadReply, now_s: float
    ) -> Zone | None:
        """Record the reply of a proxy and return its zone if it was asked."""
        proxy = self.waiting.pop(address, None)
        if proxy is None:
            return None
        proxy.record_load(reply.load, now_s)
        is_good = proxy.is_same_zone and proxy.has_free_slot
        if is_good or not self.waiting:
            self.answered.set()
        return proxy.member.zone


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
    round_trips : RoundTrips
        Round-trip times to other zones, which replies update.
    """

    def __init__(
        self,
        *,
        proxy: Proxy,
        peers: PeerTransport,
        clock: Clock,
        round_trips: RoundTrips,
    ) -> None:
        self._proxy = proxy
        self._peers = peers
        self._clock = clock
        self._round_trips = round_trips
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
        query = _Query(proxies, self._clock.now_s())
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
        if query is None:
            return
        now_s = self._clock.now_s()
        zone = query.settle(peer, reply, now_s)
        if zone is not None:
            self._round_trips.record(zone, now_s - query.sent_at_s)
