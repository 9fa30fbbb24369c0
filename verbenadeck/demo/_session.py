"""Session of one site: events under load, and the report."""

import asyncio
import random
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from verbenadeck.adapters import LogHttpAdapter
from verbenadeck.demo._caller import Caller
from verbenadeck.demo._calls import CallRecord
from verbenadeck.demo._disorder import disorder_of
from verbenadeck.demo._events import Event, events_of
from verbenadeck.demo._fleet import SiteFleet
from verbenadeck.demo._load import Load
from verbenadeck.demo._observer import Observer
from verbenadeck.demo._operator import Operator
from verbenadeck.demo._processes import ProcessGroup
from verbenadeck.demo._report import SiteReport
from verbenadeck.demo._sites import Site
from verbenadeck.demo._summary import Evidence, Stretch, summarise
from verbenadeck.model import ServiceName
from verbenadeck.utils import Clock

_STREAM = 'verbenadeck'
_START_TIMEOUT_S = 25.0
_POLL_S = 0.05


class Session:
    """One site from start to stop.

    Parameters
    ----------
    site : Site
        The site.
    subnet : int
        Second number of its loopback addresses.
    folder : Path
        Folder for settings and logs.
    seed : int
        Seed of the load, and of the disorder of a soak.
    soak_s : float
        Time in seconds of random disorder; 0 for the usual events.
    """

    def __init__(
        self,
        site: Site,
        *,
        subnet: int,
        folder: Path,
        seed: int,
        soak_s: float = 0,
    ) -> None:
        self._site = site
        self._subnet = subnet
        self._folder = folder
        self._random = random.Random(seed)
        self._soak_source = random.Random(f'soak/{seed}')
        self._soak_s = soak_s
        self._clock = Clock()
        self._stretches: list[Stretch] = []
        self._errors: list[str] = []
        self._start_s = self._clock.now_s()

    async def run(self) -> SiteReport:
        """Run the site and return its report."""
        async with ProcessGroup(self._folder) as group:
            fleet = SiteFleet(
                self._site,
                subnet=self._subnet,
                folder=self._folder,
                group=group,
            )
            self._say('starts')
            await fleet.start()
            log = LogHttpAdapter(
                url=fleet.log_url, stream=_STREAM, clock=self._clock
            )
            services = tuple(
                ServiceName(service.name) for service in self._site.services
            )
            observer = Observer(log, services, clock=self._clock)
            following = asyncio.ensure_future(observer.follow())
            try:
                return await self._with_log(fleet, observer, group)
            finally:
                following.cancel()
                with suppress(asyncio.CancelledError):
                    await following
                await log.close()

    async def _with_log(
        self, fleet: SiteFleet, observer: Observer, group: ProcessGroup
    ) -> SiteReport:
        operator = Operator(group, log_url=fleet.log_url)
        names = [place.node_id for place in fleet.places]
        await self._wait_for(
            'all nodes have joined',
            lambda: all(observer.member(name) for name in names),
            fleet,
        )
        await operator.publish(self._site.configuration_path)
        await self._wait_for(
            'every shard has an owner', observer.is_settled, fleet
        )
        caller = Caller(fleet.entries, clock=self._clock, source=self._random)
        load = Load(self._site, caller, clock=self._clock, source=self._random)
        load.start()
        try:
            for event in self._make_events(fleet, operator):
                await self._play(event, observer)
        finally:
            await load.stop()
            await caller.close()
        return await self._gather(fleet, caller.records, load.longest_lag_s)

    def _make_events(
        self, fleet: SiteFleet, operator: Operator
    ) -> tuple[Event, ...]:
        if self._soak_s == 0:
            return events_of(self._site, fleet, operator)
        return disorder_of(
            fleet,
            operator,
            source=self._soak_source,
            duration_s=self._soak_s,
        )

    async def _gather(
        self,
        fleet: SiteFleet,
        records: list[CallRecord],
        caller_lag_s: float,
    ) -> SiteReport:
        ended = fleet.ended_nodes()
        self._errors.extend(f'{name} ended by itself' for name in ended)
        placed = await fleet.runs()
        serving = await fleet.serving()
        self._say('stops its nodes')
        killed = await fleet.stop_nodes()
        self._errors.extend(f'{name} did not stop' for name in killed)
        return summarise(
            Evidence(
                site=self._site.name,
                records=records,
                runs=tuple(one.report for one in placed),
                serving=tuple(serving),
                stretches=tuple(self._stretches),
                caller_lag_s=caller_lag_s,
                errors=tuple(self._errors),
            )
        )

    async def _play(self, event: Event, observer: Observer) -> None:
        self._say(event.name)
        moved = observer.shards_moved
        stretch = Stretch(event.name, start_s=self._clock.now_s())
        self._stretches.append(stretch)
        await event.act(stretch)
        stretch.end_s = self._clock.now_s()
        stretch.shards_moved = observer.shards_moved - moved

    async def _wait_for(
        self, name: str, is_done: Callable[[], bool], fleet: SiteFleet
    ) -> None:
        self._say(f'waits until {name}')
        deadline_s = self._clock.now_s() + _START_TIMEOUT_S
        while not is_done():
            ended = fleet.ended_nodes()
            if ended:
                raise RuntimeError(f'nodes ended early: {ended}')
            if self._clock.now_s() > deadline_s:
                raise RuntimeError(f'waited too long until {name}')
            await asyncio.sleep(_POLL_S)

    def _say(self, event: str) -> None:
        elapsed_s = self._clock.now_s() - self._start_s
        sys.stderr.write(f'{elapsed_s:6.1f} s  {self._site.name}: {event}\n')
