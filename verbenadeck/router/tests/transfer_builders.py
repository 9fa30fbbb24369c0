"""Builders of fleets with narrow links for tests of transfers."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from verbenadeck.peers import Message, PeerAddress
from verbenadeck.proxy import ForwardRequest, ReserveTransfer
from verbenadeck.proxy.tests.builders import Node, ProxyFleet
from verbenadeck.proxy.tests.fakes import KEYED, FakeUpstream
from verbenadeck.proxy.tests.transfer_builders import (
    LINK_BYTES_PER_S,
    publish_uploads,
)
from verbenadeck.router import ProxyRouter
from verbenadeck.router.tests.builders import make_router
from verbenadeck.testing import FakeTransport

_LINK_SHARE = 0.6


class Body(NamedTuple):
    """Body that a node began to receive from another one."""

    at_s: float
    node: int
    request_id: str
    body_bytes: int


class NarrowLink(FakeTransport):
    """Receiving end of a node, over a link that bodies pass one by one.

    Attributes
    ----------
    bodies : list of Body
        Bodies that were sent to the node.
    asked : list of str
        Ids of the requests for which transfers were asked for.
    on_asked : callable
        Called after a reservation was decided.
    """

    def __init__(self, fleet: ProxyFleet, node: Node) -> None:
        super().__init__(fleet.network, node.address, fleet.clock)
        fleet.network.transports[node.address] = self
        self.bodies: list[Body] = []
        self.asked: list[str] = []
        self.on_asked: Callable[[], object] = lambda: None
        self.node = node
        self._free_at_s = 0.0

    async def receive(
        self, source: PeerAddress, message: Message
    ) -> Message | None:
        """Pass a message to the node once the link has transferred it."""
        if isinstance(message, ForwardRequest):
            await self._transfer(message)
        reply = await self.node.transport.receive(source, message)
        if isinstance(message, ReserveTransfer):
            self.asked.append(message.request_id)
            self.on_asked()
        return reply

    async def _transfer(self, message: ForwardRequest) -> None:
        now_s = asyncio.get_running_loop().time()
        size = len(message.body)
        self.bodies.append(
            Body(now_s, self.node.incarnation, message.request_id, size)
        )
        body_s = size * _LINK_SHARE / LINK_BYTES_PER_S
        self._free_at_s = max(now_s, self._free_at_s) + body_s
        await asyncio.sleep(self._free_at_s - now_s)


class UploadFleet:
    """Entries, and proxies with narrow links whose service takes uploads.

    Attributes
    ----------
    routers : list of ProxyRouter
        Router of each entry.
    links : list of NarrowLink
        Link of each proxy.
    """

    def __init__(self) -> None:
        self.fleet = ProxyFleet()
        self.routers: list[ProxyRouter] = []
        self.links: list[NarrowLink] = []

    @property
    def bodies(self) -> list[Body]:
        """Bodies that were sent to all proxies."""
        return [body for link in self.links for body in link.bodies]

    @property
    def asked(self) -> list[str]:
        """Ids of the requests for which transfers were asked for."""
        return [asked for link in self.links for asked in link.asked]


async def make_upload_fleet(
    *,
    entries: int = 1,
    proxies: int,
    reserves_transfers: bool = True,
    is_owned: bool = False,
) -> UploadFleet:
    """Make entries, of another service, and proxies at links of 5 Mbit/s."""
    uploads = UploadFleet()
    publish_uploads(uploads.fleet, is_owned=is_owned)
    for _ in range(entries):
        entry = await uploads.fleet.add(FakeUpstream(service=KEYED))
        uploads.routers.append(
            make_router(
                uploads.fleet, entry, reserves_transfers=reserves_transfers
            )
        )
    for _ in range(proxies):
        node = await uploads.fleet.add(
            FakeUpstream(slots=5, service_time_s=0.289),
            link_bytes_per_s=LINK_BYTES_PER_S,
        )
        uploads.links.append(NarrowLink(uploads.fleet, node))
    return uploads
