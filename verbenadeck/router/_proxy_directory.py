"""Directory of the fleet's proxies with their statistics."""

from verbenadeck.fleet import FleetView, Member, MemberState
from verbenadeck.model import (
    ConfigVersion,
    Incarnation,
    NodeId,
    Offset,
    ServiceName,
    Shard,
    Zone,
)
from verbenadeck.records import Assign, Record, Released, Verdict
from verbenadeck.router._stats import ProxyStats


class ProxyDirectory:
    """Directory of proxies by service and by shard, with their statistics.

    Parameters
    ----------
    fleet : FleetView
        Members, shard owners and configuration.
    node_id : NodeId
        Id of this node, by which its own proxy is recognized.
    zone : Zone
        Zone of this node; proxies in it are preferred.
    """

    def __init__(
        self, *, fleet: FleetView, node_id: NodeId, zone: Zone
    ) -> None:
        self._fleet = fleet
        self._node_id = node_id
        self._zone = zone
        self._proxies: dict[Incarnation, ProxyStats] = {}
        self._available: dict[ServiceName, list[ProxyStats]] = {}
        self._max_slots: dict[ServiceName, int] = {}
        self._is_stale = True
        self._version: ConfigVersion | None = None
        fleet.subscribe(self._on_record)

    def available_proxies(self, service: ServiceName) -> list[ProxyStats]:
        """Return the proxies of a service that are neither out nor leaving.

        Parameters
        ----------
        service : ServiceName
            Service whose upstreams the proxies are in front of.
        """
        self._refresh()
        return self._available.get(service, [])

    def max_slots(self, service: ServiceName) -> int:
        """Return the largest number of slots of an upstream of a service.

        Parameters
        ----------
        service : ServiceName
            Service of the upstreams; 0 is returned when it has none.
        """
        self._refresh()
        return self._max_slots.get(service, 0)

    def owners(self, service: ServiceName, shard: Shard) -> list[ProxyStats]:
        """Return the proxies that may serve a shard, the likeliest first.

        While a shard moves, its earlier owner serves it until the release.

        Parameters
        ----------
        service : ServiceName
            Service of the shard.
        shard : Shard
            Shard to serve.
        """
        self._refresh()
        view = self._fleet.shard(service, shard)
        named = (*reversed(view.earlier_owners), view.owner)
        return [self._proxies[each] for each in named if each in self._proxies]

    def is_member(self, proxy: ProxyStats) -> bool:
        """Return whether the node of a proxy is still a member."""
        return proxy.member.incarnation in self._fleet.members

    def _on_record(
        self, _offset: Offset, record: Record, _verdict: Verdict
    ) -> None:
        if not isinstance(record, Assign | Released):
            self._is_stale = True

    def _refresh(self) -> None:
        version = self._fleet.config_version
        if not self._is_stale and version == self._version:
            return
        self._is_stale = False
        self._version = version
        self._proxies = {
            incarnation: self._get_or_create_stats(member)
            for incarnation, member in self._fleet.members.items()
        }
        self._available = {}
        self._max_slots = {}
        for proxy in self._proxies.values():
            service = proxy.member.service
            self._max_slots[service] = max(
                proxy.member.slots, self._max_slots.get(service, 0)
            )
            if self._is_available(proxy.member):
                self._available.setdefault(service, []).append(proxy)

    def _get_or_create_stats(self, member: Member) -> ProxyStats:
        proxy = self._proxies.get(member.incarnation)
        if proxy is None:
            return ProxyStats(
                member,
                is_local=member.node_id == self._node_id,
                is_same_zone=member.zone == self._zone,
            )
        proxy.member = member
        return proxy

    def _is_available(self, member: Member) -> bool:
        config = self._fleet.config
        return (
            member.state is MemberState.JOINED
            and member.zone not in config.zones_out
            and member.node_id not in config.upstreams_out
        )
