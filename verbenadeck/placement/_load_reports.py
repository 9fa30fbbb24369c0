"""Reports of load by shard, sent by proxies to the planners."""

import asyncio
import math
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence

import msgspec

from verbenadeck.fleet import FleetView
from verbenadeck.membership import Membership
from verbenadeck.model import NO_MEMBER, Incarnation, ServiceName, Shard
from verbenadeck.peers import Message, PeerAddress, PeerTransport
from verbenadeck.placement._eligibility import planner_members
from verbenadeck.proxy import ProxyLoad, ShardRates
from verbenadeck.utils import Clock

REPORT_INTERVAL_S = 0.5
"""Time between two reports of a proxy, in seconds."""

MAX_REPORT_AGE_S = 2.0
"""Age in seconds after which a report is ignored: three later ones were lost.
"""

MAX_REPORTED_SHARDS = 48
"""Number of shards in one report; such a report fits into one datagram."""

BUSY_LOAD_RATIO = 0.6
"""Ratio of load to capacity above which a move of shards is worth the short
wait that it causes for requests of the moved shards."""

HOT_SHARD_RATIO = 4.0
"""Ratio of a shard's rate to the mean rate above which it counts as hot.
Other shards count as ordinary, so that they move in long ranges."""

_CAPACITY_DECAY_S = 3.0


class ShardLoads(Message, frozen=True, array_like=True, tag='shard-loads'):
    """Load report of one proxy of a keyed service.

    Parameters
    ----------
    member : Incarnation
        Member that reports.
    service : ServiceName
        Service of its upstream.
    capacity_per_s : float
        Requests per second that it can run, as measured.
    total_per_s : float
        Requests per second that it receives.
    hot : tuple of (Shard, float)
        Busiest shards with their requests per second.
    """

    member: Incarnation
    service: ServiceName
    capacity_per_s: float
    total_per_s: float
    hot: tuple[tuple[Shard, float], ...]


MESSAGE_TYPES: tuple[type[Message], ...] = (ShardLoads,)
"""Message types of placement."""


class MeasuredLoad(msgspec.Struct, frozen=True):
    """Load of a service as measured by its proxies.

    Parameters
    ----------
    capacities : mapping of Incarnation to float
        Requests per second that each member can run.
    rates : mapping of Incarnation to float
        Requests per second that each member receives.
    costs : mapping of Shard to float
        Cost of each hot shard; that of an ordinary one is 1.
    is_busy : bool
        Whether the load of some member is near its capacity, so that shards
        may move.
    """

    capacities: Mapping[Incarnation, float]
    rates: Mapping[Incarnation, float]
    costs: Mapping[Shard, float]
    is_busy: bool


class LoadTable:
    """Table of the newest load report of each member.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[Incarnation, tuple[float, ShardLoads]] = {}

    def register(self, transport: PeerTransport) -> None:
        """Register the handler for reports of other members."""
        transport.register_handler(ShardLoads, self._on_report)

    def add_report(self, report: ShardLoads) -> None:
        """Store a report in place of the member's earlier one."""
        self._reports[report.member] = (self._clock.now_s(), report)

    def is_reporting(self, member: Incarnation) -> bool:
        """Return whether the newest report of a member is recent enough."""
        entry = self._reports.get(member)
        return (
            entry is not None
            and entry[0] >= self._clock.now_s() - MAX_REPORT_AGE_S
        )

    def silent_owners(self, owners: Sequence[int]) -> set[Incarnation]:
        """Return the owners without a recent report.

        Parameters
        ----------
        owners : sequence of int
            Owner of each shard.
        """
        named = map(Incarnation, set(owners) - {NO_MEMBER})
        return {owner for owner in named if not self.is_reporting(owner)}

    def measured_load(
        self, service: ServiceName, owners: Sequence[int]
    ) -> MeasuredLoad | None:
        """Return the measured load of a service.

        Members without a recent report are left out: in a large fleet some
        member is nearly always lost, leaving or just back.

        Parameters
        ----------
        service : ServiceName
            Service to measure.
        owners : sequence of int
            Owner of each shard.

        Returns
        -------
        MeasuredLoad or None
            None when no owner has a recent report.
        """
        min_reported_at_s = self._clock.now_s() - MAX_REPORT_AGE_S
        self._reports = {
            member: entry
            for member, entry in self._reports.items()
            if entry[0] >= min_reported_at_s
        }
        reports = [
            report
            for _, report in self._reports.values()
            if report.service == service
        ]
        if not set(owners).intersection(each.member for each in reports):
            return None
        return MeasuredLoad(
            capacities={each.member: each.capacity_per_s for each in reports},
            rates={each.member: each.total_per_s for each in reports},
            costs=_shard_costs(reports, owners),
            is_busy=any(
                each.total_per_s > BUSY_LOAD_RATIO * each.capacity_per_s
                for each in reports
            ),
        )

    async def _on_report(
        self, _source: PeerAddress, report: ShardLoads
    ) -> None:
        self.add_report(report)


def _shard_costs(
    reports: list[ShardLoads], owners: Sequence[int]
) -> dict[Shard, float]:
    """Return the costs of hot shards relative to an ordinary shard."""
    reporting = {each.member for each in reports}
    shard_count = sum(owner in reporting for owner in owners)
    total = max(sum(each.total_per_s for each in reports), 1.0)
    mean = total / shard_count
    hot = {
        shard: rate
        for shard, rate in _reported_rates(reports).items()
        if rate > HOT_SHARD_RATIO * mean and shard < len(owners)
    }
    others = max(1, shard_count - len(hot))
    ordinary_rate = max(total - sum(hot.values()), mean) / others
    return {shard: rate / ordinary_rate for shard, rate in hot.items()}


def _reported_rates(reports: list[ShardLoads]) -> dict[Shard, float]:
    """Return the requests per second of the busiest shards.

    Both proxies report a shard that has just moved: its measured rate decays
    at the earlier owner as it grows at the new one, so the sum is its rate.
    """
    rates: defaultdict[Shard, float] = defaultdict(float)
    for each in reports:
        for shard, rate in each.hot:
            rates[shard] += rate
    return rates


class LoadReporter:
    """Periodic sender of this node's load to the planners.

    Parameters
    ----------
    load_table : LoadTable
        Table of this node, which gets each report too.
    rates : ShardRates
        Measured request rates by shard.
    load : callable
        Returns the load of the proxy.
    fleet : FleetView
        Members and configuration.
    membership : Membership
        Membership of this node.
    transport : PeerTransport
        Transport to other nodes.
    clock : Clock
        Clock of this VM.
    """

    def __init__(
        self,
        *,
        load_table: LoadTable,
        rates: ShardRates,
        load: Callable[[], ProxyLoad],
        fleet: FleetView,
        membership: Membership,
        transport: PeerTransport,
        clock: Clock,
    ) -> None:
        self._load_table = load_table
        self._rates = rates
        self._load = load
        self._fleet = fleet
        self._membership = membership
        self._transport = transport
        self._clock = clock
        self._service_time_s: float | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the periodic reports."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the periodic reports."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            member = self._membership.member
            if member is None:
                continue
            policy = self._fleet.config.services.get(member.service)
            if policy is not None and policy.is_keyed:
                self._report(member.incarnation, member.service)

    def _report(self, own: Incarnation, service: ServiceName) -> None:
        report = ShardLoads(
            own,
            service,
            self._capacity_per_s(),
            self._rates.total_per_s,
            tuple(self._rates.hottest(MAX_REPORTED_SHARDS)),
        )
        self._load_table.add_report(report)
        for incarnation in planner_members(self._fleet):
            if incarnation != own:
                address = self._fleet.members[incarnation].address
                self._transport.send_datagram(address, report)

    def _capacity_per_s(self) -> float:
        load = self._load()
        smoothed_s = self._service_time_s
        if smoothed_s is None:
            smoothed_s = load.service_time_s
        weight = 1 - math.exp(-REPORT_INTERVAL_S / _CAPACITY_DECAY_S)
        smoothed_s += weight * (load.service_time_s - smoothed_s)
        self._service_time_s = smoothed_s
        return max(1, load.limit) / max(smoothed_s, 0.001)
