"""Operator of the demo: publishes configuration to the log."""

import asyncio
import uuid
from collections.abc import Callable

import msgspec

from verbenadeck.adapters import LogAdapter
from verbenadeck.demo._observer import Observer
from verbenadeck.demo._sites import Site
from verbenadeck.model import (
    ConfigDocument,
    OutState,
    ServiceName,
    ServicePolicy,
    WriterId,
    Zone,
)
from verbenadeck.records import (
    FORMAT_VERSION,
    ConfigPublished,
    Envelope,
    encode_envelope,
)
from verbenadeck.utils import Clock

_TIMEOUT_S = 5.0
_POLL_S = 0.02
_AUTHOR = 'demo'


class Operator:
    """Publishes documents and waits until they are read back.

    Parameters
    ----------
    log : LogAdapter
        Log of the site.
    observer : Observer
        Follows the same log.
    clock : Clock
        Boot clock.
    """

    def __init__(
        self, log: LogAdapter, observer: Observer, *, clock: Clock
    ) -> None:
        self._log = log
        self._observer = observer
        self._clock = clock
        self._writer = WriterId(f'demo-{uuid.uuid4().hex}')
        self._sequence = 0

    async def publish_site(self, site: Site) -> None:
        """Publish the services of a site."""
        services = {
            ServiceName(service.name): ServicePolicy(is_keyed=service.is_keyed)
            for service in site.services
        }
        await self._publish(lambda _old: ConfigDocument(services=services))

    async def take_zone_out(self, zone: str, reason: str) -> None:
        """Take an availability zone out of service."""
        name = Zone(zone)

        def change(old: ConfigDocument) -> ConfigDocument:
            zones = {**old.zones_out, name: OutState(reason)}
            return msgspec.structs.replace(old, zones_out=zones)

        await self._publish(change)

    async def take_zone_in(self, zone: str) -> None:
        """Bring an availability zone back."""

        def change(old: ConfigDocument) -> ConfigDocument:
            zones = {
                name: state
                for name, state in old.zones_out.items()
                if name != zone
            }
            return msgspec.structs.replace(old, zones_out=zones)

        await self._publish(change)

    async def _publish(
        self, change: Callable[[ConfigDocument], ConfigDocument]
    ) -> None:
        fleet = self._observer.fleet
        version = fleet.config_version
        record = ConfigPublished(
            expected_version=version,
            document=msgspec.json.encode(change(fleet.config)),
            author=_AUTHOR,
        )
        self._sequence += 1
        envelope = Envelope(
            FORMAT_VERSION,
            self._writer,
            self._sequence,
            record,
            fleet.applied_offset,
        )
        deadline_s = self._clock.now_s() + _TIMEOUT_S
        appended = await self._log.append(
            encode_envelope(envelope), deadline_s=deadline_s
        )
        appended.unwrap()
        while fleet.config_version == version:
            if self._clock.now_s() > deadline_s:
                raise RuntimeError('configuration was not accepted')
            await asyncio.sleep(_POLL_S)
