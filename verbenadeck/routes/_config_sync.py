"""Publishes what operators say of services and zones to the fleet's log.

Ownership is judged by the log's own document, so that every node judges
alike whatever it has read of the operators' state.
"""

import asyncio
from collections.abc import Callable

from loguru import logger
from returns.pipeline import is_successful

from verbenadeck.config.operations import publish_document
from verbenadeck.fleet import FleetView, newest_members
from verbenadeck.journal import Journal, completes_by
from verbenadeck.membership import Membership
from verbenadeck.model import (
    ConfigDocument,
    OutOfService,
    ServiceName,
    ServicePolicy,
)
from verbenadeck.routes._route_store import RouteStore
from verbenadeck.routes._table import OperatorState, ServiceConfig
from verbenadeck.utils import Clock

_log = logger.bind(part='routes')

RANK_DELAY_S = 0.4
"""Time that each member leaves to those that joined before it, in seconds:
a few appends of the log."""

_LOOK_S = 0.5
_APPEND_S = 1.0
_MOST_RANKS = 4
_AUTHOR = 'operators'

PolicyMaker = Callable[[ServiceConfig], ServicePolicy]


class ConfigSync:
    """Keeps the log's document in step with the operators' state.

    Parameters
    ----------
    route_store : RouteStore
        What operators have published.
    journal : Journal
        Log client.
    membership : Membership
        Membership of this node.
    clock : Clock
        Clock of this VM.
    make_policy : callable
        Returns the policy of a service from the operators' terms.
    moves_per_minute : int
        Churn budget of the planner.
    """

    def __init__(
        self,
        *,
        route_store: RouteStore,
        journal: Journal,
        membership: Membership,
        clock: Clock,
        make_policy: PolicyMaker,
        moves_per_minute: int,
    ) -> None:
        self._route_store = route_store
        self._journal = journal
        self._membership = membership
        self._clock = clock
        self._make_policy = make_policy
        self._moves_per_minute = moves_per_minute
        self._changed = asyncio.Event()
        self._differs_since_s: float | None = None
        self._task: asyncio.Task[None] | None = None
        route_store.subscribe(lambda _state: self._changed.set())

    async def start(self) -> None:
        """Start to compare."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop comparing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            self._changed.clear()
            await self._compare()
            await completes_by(
                self._changed.wait(),
                self._clock,
                self._clock.now_s() + _LOOK_S,
            )

    async def _compare(self) -> None:
        state = self._route_store.state
        fleet = self._journal.fleet
        rank = _rank(fleet, self._membership)
        if state is None or rank is None:
            return
        wanted = self._document(state, fleet.config)
        if wanted == fleet.config:
            self._differs_since_s = None
            return
        now_s = self._clock.now_s()
        if self._differs_since_s is None:
            self._differs_since_s = now_s
        await self._clock.sleep_until(
            self._differs_since_s + rank * RANK_DELAY_S
        )
        if self._document(state, fleet.config) != fleet.config:
            await self._publish(wanted)

    async def _publish(self, wanted: ConfigDocument) -> None:
        published = await publish_document(
            self._journal,
            wanted,
            expected_version=self._journal.fleet.config_version,
            author=_AUTHOR,
            deadline_s=self._clock.now_s() + _APPEND_S,
        )
        if is_successful(published):
            _log.info('document {} published', published.unwrap())
        else:
            _log.warning('document not published: {}', published.failure())

    def _document(
        self, state: OperatorState, known: ConfigDocument
    ) -> ConfigDocument:
        services: dict[ServiceName, ServicePolicy] = dict(known.services)
        for name, service_config in state.services.items():
            services[name] = self._make_policy(service_config)
        zones_out = {
            zone: known.zones_out.get(zone, OutOfService(reason='evacuated'))
            for zone in sorted(state.zones_out)
        }
        return ConfigDocument(
            services=services,
            zones_out=zones_out,
            moves_per_minute=self._moves_per_minute,
        )


def _rank(fleet: FleetView, membership: Membership) -> int | None:
    own = membership.incarnation
    lives = newest_members(fleet.members.values())
    ranked = [member.incarnation for member in lives]
    return min(_MOST_RANKS, ranked.index(own)) if own in ranked else None
