"""The two sites that the demo runs."""

from pathlib import Path

import msgspec

_EXAMPLES = Path(__file__).parents[2] / 'examples'


class ServiceSpec(msgspec.Struct, frozen=True):
    """One service of a site.

    Parameters
    ----------
    name : str
        Name of the service.
    instances : int
        Upstreams, spread over the zones in turn.
    is_keyed : bool
        Whether it is divided by key.
    service_time_s : float
        Median time in seconds that an upstream takes.
    """

    name: str
    instances: int
    is_keyed: bool
    service_time_s: float


class Site(msgspec.Struct, frozen=True):
    """One site.

    Parameters
    ----------
    name : str
        Name of the site.
    region : str
        Region of its zones.
    zones : tuple of str
        Availability zones.
    services : tuple of ServiceSpec
        Services; the first one is divided by key and is probed.
    slots, connections : int
        What each upstream has.
    """

    name: str
    region: str
    zones: tuple[str, ...]
    services: tuple[ServiceSpec, ...]
    slots: int
    connections: int

    @property
    def configuration_path(self) -> Path:
        """Configuration document of the site among the examples."""
        return _EXAMPLES / f'{self.name}-configuration.json'


class Place(msgspec.Struct, frozen=True):
    """One upstream with the node beside it.

    Parameters
    ----------
    node_id : str
        Name of the node.
    host : str
        IP address of the VM.
    zone : str
        Availability zone.
    service : ServiceSpec
        Service of the upstream.
    """

    node_id: str
    host: str
    zone: str
    service: ServiceSpec


FIJI = Site(
    name='fiji',
    region='viti-levu',
    zones=('suva', 'nadi', 'lautoka'),
    services=(
        ServiceSpec('catalogue', 3, is_keyed=True, service_time_s=0.004),
        ServiceSpec('holds', 3, is_keyed=False, service_time_s=0.008),
        ServiceSpec('inspections', 3, is_keyed=False, service_time_s=0.006),
    ),
    slots=20,
    connections=110,
)

LUZON = Site(
    name='luzon',
    region='luzon',
    zones=('manila', 'pampanga', 'batangas'),
    services=(
        ServiceSpec('specdesk', 4, is_keyed=True, service_time_s=0.004),
        ServiceSpec('orderbook', 3, is_keyed=False, service_time_s=0.008),
        ServiceSpec('sittingvault', 4, is_keyed=False, service_time_s=0.006),
    ),
    slots=6,
    connections=60,
)

SITES = (FIJI, LUZON)


def places_of(site: Site, subnet: int) -> tuple[Place, ...]:
    """Return all places of a site, each on its own loopback address.

    Parameters
    ----------
    site : Site
        The site.
    subnet : int
        Second number of the addresses, from 1 to 254.

    Examples
    --------
    >>> places_of(FIJI, 7)[1].host
    '127.7.1.2'
    """
    places: list[Place] = []
    for service in site.services:
        for index in range(service.instances):
            zone = site.zones[index % len(site.zones)]
            place = Place(
                node_id=f'{service.name}-{zone}-{index}',
                host=f'127.{subnet}.1.{len(places) + 1}',
                zone=zone,
                service=service,
            )
            places.append(place)
    return tuple(places)
