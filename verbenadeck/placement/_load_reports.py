"""Load by shard, told by the doors to those who plan."""

import asyncio
import math
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence

import msgspec

from verbenadeck.fleet import FleetView
from verbenadeck.membership import Membership
from verbenadeck.model import NO_MEMBER, Incarnation, ServiceName, Shard
from verbenadeck.peers import Message, PeerAddress, PeerTransport
from verbenadeck.placement._eligibility import planners
from verbenadeck.proxy import ProxyLoad, ShardRates
from verbenadeck.utils import Clock

REPORT_S = 0.5
"""Time between two reports of a door, in seconds."""

FRESH_S = 2.0
"""Age in seconds from which a report no longer counts: three were lost."""

HOT_SHARDS = 48
"""Shards in one report; it fits into one datagram."""

BUSY_RATIO = 0.6
"""Load over capacity from which moving shards is worth a short wait for the
requests of the moved ones."""

HOT_RATIO = 4.0
"""Rate of a hot shard over the mean one; what is cooler counts as ordinary, so
that it moves in long runs."""

_CAPACITY_DECAY_S = 3.0


class ShardLoads(Message, frozen=True, array_like=True, tag='shard-loads'):
    """Load of one keyed door.

    Parameters
    ----------
    member : Incarnation
        Member that reports.
    service : ServiceName
        Service of its upstream.
    capacity_per_s : float
        Requests a second that it can run, as measured.
    total_per_s : float
        Requests a second that it gets.
    hot : tuple of (Shard, float)
        Busiest shards with their requests a second.
    """

    member: Incarnation
    service: ServiceName
    capacity_per_s: float
    total_per_s: float
    hot: tuple[tuple[Shard, float], ...]


MESSAGE_TYPES: tuple[type[Message], ...] = (ShardLoads,)
"""Message types of placement."""


class MeasuredLoad(msgspec.Struct, frozen=True):
    """Load of a service as its doors measure it.

    Parameters
    ----------
    capacities : mapping of Incarnation to float
        Requests a second that each member can run.
    costs : mapping of Shard to float
        Cost of each shard that differs from an ordinary one, whose cost
        is 1.
    is_busy : bool
        Whether some member gets much of what it can run.
    """

    capacities: Mapping[Incarnation, float]
    costs: Mapping[Shard, float]
    is_busy: bool


class LoadTable:
    """Newest report of each member.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[Incarnation, tuple[float, ShardLoads]] = {}

    def register(self, transport: PeerTransport) -> None:
        """Take the reports of other members."""
        transport.register_handler(ShardLoads, self._on_report)

    def take(self, report: ShardLoads) -> None:
        """Note a report."""
        self._reports[report.member] = (self._clock.now_s(), report)

    def is_reporting(self, member: Incarnation) -> bool:
        """Return whether a member has reported lately."""
        entry = self._reports.get(member)
        return entry is not None and entry[0] >= self._clock.now_s() - FRESH_S

    def measured(
        self, service: ServiceName, owners: Sequence[int]
    ) -> MeasuredLoad | None:
        """Return the load of a service, None without fresh reports."""
        oldest_s = self._clock.now_s() - FRESH_S
        self._reports = {
            member: entry
            for member, entry in self._reports.items()
            if entry[0] >= oldest_s
        }
        fresh = [
            report
            for _, report in self._reports.values()
            if report.service == service
        ]
        named = set(owners) - {NO_MEMBER}
        if not named or not named <= {each.member for each in fresh}:
            return None
        return MeasuredLoad(
            capacities={each.member: each.capacity_per_s for each in fresh},
            costs=_costs(fresh, owners),
            is_busy=any(
                each.total_per_s > BUSY_RATIO * each.capacity_per_s
                for each in fresh
            ),
        )

    async def _on_report(
        self, _source: PeerAddress, report: ShardLoads
    ) -> None:
        self.take(report)


def _costs(
    fresh: list[ShardLoads], owners: Sequence[int]
) -> dict[Shard, float]:
    """Return the costs of busy shards.

    The counts of a shard that has just moved fade at the one door as they
    grow at the other, so their sum is its rate.
    """
    rates: defaultdict[Shard, float] = defaultdict(float)
    for each in fresh:
        for shard, rate in each.hot:
            if shard < len(owners):
                rates[shard] += rate
    total = max(sum(each.total_per_s for each in fresh), 1.0)
    mean = total / len(owners)
    hot = {
        shard: rate for shard, rate in rates.items() if rate > HOT_RATIO * mean
    }
    others = max(1, len(owners) - len(hot))
    unit = max(total - sum(hot.values()), mean) / others
    return {shard: rate / unit for shard, rate in hot.items()}


class LoadReporter:
    """Sends the load of this node's door to those who plan.

    Parameters
    ----------
    load_table : LoadTable
        Gets the report when this node plans itself.
    rates : ShardRates
        Measured rates.
    load : callable
        Returns the load of the door.
    fleet : FleetView
        Members.
    membership : Membership
        Membership of this node.
    transport : PeerTransport
        Way to others.
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
        """Start to report."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REPORT_S)
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
            tuple(self._rates.hottest(HOT_SHARDS)),
        )
        self._load_table.take(report)
        for incarnation in planners(self._fleet):
            if incarnation != own:
                address = self._fleet.members[incarnation].address
                self._transport.send_datagram(address, report)

    def _capacity_per_s(self) -> float:
        load = self._load()
        known_s = self._service_time_s
        if known_s is None:
            known_s = load.service_time_s
        weight = 1 - math.exp(-REPORT_S / _CAPACITY_DECAY_S)
        known_s += weight * (load.service_time_s - known_s)
        self._service_time_s = known_s
        return max(1, load.limit) / max(known_s, 0.001)
