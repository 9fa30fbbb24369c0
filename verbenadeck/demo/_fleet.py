"""Starts the processes of a site and talks to its stand-ins."""

import asyncio
from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

import aiohttp
import msgspec

from verbenadeck.adapters import wire
from verbenadeck.demo._processes import Child, ProcessGroup, read_listening
from verbenadeck.demo._sites import Place, Site, places_of
from verbenadeck.standins import ListenAddress, RunsReport, ServingReport

ENTRY_PORT = 7480
_ADMIN_PORT = 7490
_LIFETIME_S = 300
_WARM_UP_S = 2.0
_COLD_SLOTS = 2
_CONTROL = ((wire.CONTROL_HEADER, '1'),)
_Report = TypeVar('_Report', RunsReport, ServingReport)


class Upstream(msgspec.Struct, frozen=True):
    """An upstream that runs, with its place and address."""

    place: Place
    listening: ListenAddress


class PlacedReport(msgspec.Struct, frozen=True):
    """What truly ran at the upstream of a place."""

    place: Place
    report: RunsReport


PlacedRuns = tuple[PlacedReport, ...]


class SiteFleet:
    """Processes of one site.

    Parameters
    ----------
    site : Site
        The site.
    subnet : int
        Second number of its loopback addresses.
    folder : Path
        Folder for settings.
    group : ProcessGroup
        Starts and ends the processes.
    """

    def __init__(
        self, site: Site, *, subnet: int, folder: Path, group: ProcessGroup
    ) -> None:
        self.places = places_of(site, subnet)
        self.log_url = ''
        self._site = site
        self._subnet = subnet
        self._folder = folder
        self._group = group
        self._upstreams: list[Upstream] = []
        self._nodes: dict[str, Child] = {}

    @property
    def entries(self) -> tuple[str, ...]:
        """Base URLs of all entries."""
        return tuple(
            f'http://{place.host}:{ENTRY_PORT}' for place in self.places
        )

    async def start(self) -> None:
        """Start the log, the upstreams and the nodes."""
        log = await self._group.start(
            f'{self._site.name}-log',
            'verbenadeck.standins',
            'log',
            f'--host=127.{self._subnet}.0.1',
            f'--lifetime_s={_LIFETIME_S}',
        )
        listening = await read_listening(log)
        self.log_url = f'http://{listening.host}:{listening.port}'
        await asyncio.gather(*(self._start_upstream(p) for p in self.places))
        for place in self.places:
            await self.start_node(place)

    async def start_node(self, place: Place) -> None:
        """Start or restart the node of a place."""
        path = self._folder / f'{place.node_id}.json'
        path.write_text(settings_text(self._site, place, self.log_url))
        self._nodes[place.node_id] = await self._group.start(
            f'node-{place.node_id}',
            'verbenadeck.commands',
            'node',
            '--settings',
            str(path),
        )

    async def start_plain_upstream(self) -> ListenAddress:
        """Start an upstream of no node, for comparisons."""
        service = self._site.services[0]
        child = await self._group.start(
            'upstream-plain',
            'verbenadeck.standins',
            'upstream',
            f'--lifetime_s={_LIFETIME_S}',
            '--announce_url=http://127.0.0.1:9/announce',
            f'--slots={self._site.slots}',
            f'--service_time_s={service.service_time_s}',
        )
        return await read_listening(child)

    def node(self, place: Place) -> Child:
        """Return the process of a node."""
        return self._nodes[place.node_id]

    async def stop_nodes(self) -> tuple[str, ...]:
        """Stop all nodes gracefully; return those that had to be killed."""
        return await self._group.stop(tuple(self._nodes.values()))

    def ended_nodes(self) -> tuple[str, ...]:
        """Return the names of nodes that ended by themselves."""
        return tuple(
            child.name
            for child in self._nodes.values()
            if child.process.returncode is not None
        )

    async def runs(self, zone: str | None = None) -> PlacedRuns:
        """Return what truly ran at each upstream, or at those of a zone."""
        chosen = [
            one for one in self._upstreams if zone in {None, one.place.zone}
        ]
        reports = await self._ask(chosen, wire.RUNS_PATH, RunsReport)
        return tuple(
            PlacedReport(one.place, report)
            for one, report in zip(chosen, reports, strict=True)
        )

    async def serving(self) -> list[ServingReport]:
        """Return all runs of all upstreams."""
        return await self._ask(
            self._upstreams, wire.SERVING_PATH, ServingReport
        )

    async def _start_upstream(self, place: Place) -> None:
        service = place.service
        child = await self._group.start(
            f'upstream-{place.node_id}',
            'verbenadeck.standins',
            'upstream',
            f'--host={place.host}',
            f'--lifetime_s={_LIFETIME_S}',
            f'--announce_url=http://{place.host}:{_ADMIN_PORT}/announce',
            f'--service={service.name}',
            f'--is_keyed={service.is_keyed}',
            f'--slots={self._site.slots}',
            f'--connections={self._site.connections}',
            f'--cold_slots={_COLD_SLOTS}',
            f'--warm_up_s={_WARM_UP_S}',
            f'--service_time_s={service.service_time_s}',
            f'--seed={len(place.node_id)}',
        )
        listening = await read_listening(child)
        self._upstreams.append(Upstream(place, listening))

    async def _ask(
        self, upstreams: Sequence[Upstream], path: str, kind: type[_Report]
    ) -> list[_Report]:
        async with aiohttp.ClientSession(headers=_CONTROL) as session:
            return [
                await _ask_one(session, upstream, path, kind)
                for upstream in upstreams
            ]


async def _ask_one(
    session: aiohttp.ClientSession,
    upstream: Upstream,
    path: str,
    kind: type[_Report],
) -> _Report:
    listening = upstream.listening
    url = f'http://{listening.host}:{listening.port}{path}'
    async with session.post(url) as answer:
        return msgspec.json.decode(await answer.read(), type=kind)


def settings_text(site: Site, place: Place, log_url: str) -> str:
    """Return the settings of a node, as JSON."""
    settings = {
        'node_id': place.node_id,
        'zone': place.zone,
        'region': site.region,
        'service': place.service.name,
        'host': place.host,
        'entry_port': ENTRY_PORT,
        'admin_port': _ADMIN_PORT,
        'log': {'url': log_url, 'adapter': 'standin'},
        'upstream': {'adapter': 'standin'},
        'callers': {'adapter': 'standin'},
    }
    return msgspec.json.format(msgspec.json.encode(settings)).decode()
