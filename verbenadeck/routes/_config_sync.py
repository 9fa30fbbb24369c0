"""Publication of the operators' services and zones to the fleet's log.

Ownership is decided by the configuration document in the log, so that all
nodes decide alike, whichever version of the operators' state each has read.
"""

import asyncio
from collections.abc import Callable

import msgspec
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
"""Delay in seconds by which a member lets each member that joined before it
publish first; it covers a few appends to the log."""

_COMPARE_INTERVAL_S = 0.5
_APPEND_TIMEOUT_S = 1.0
_MAX_RANK = 4
_AUTHOR = 'operators'

PolicyFactory = Callable[[ServiceConfig], ServicePolicy]
"""Returns the policy of a service from its configuration by operators."""


class ConfigSync:
    """Keeps the document in the log consistent with the operators' state.

    Parameters
    ----------
    route_store : RouteStore
        State published by operators.
    journal : Journal
        Log client.
    membership : Membership
        Membership of this node.
    clock : Clock
        Clock of this VM.
    make_policy : callable
        Returns the policy of a service from its configuration by operators.
    moves_per_minute : int
        Maximum number of shards that the planner moves per minute.
    """

    def __init__(
        self,
        *,
        route_store: RouteStore,
        journal: Journal,
        membership: Membership,
        clock: Clock,
        make_policy: PolicyFactory,
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
        """Start to compare the document with the operators' state."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the comparison."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            self._changed.clear()
            await self._publish_if_changed()
            await completes_by(
                self._changed.wait(),
                self._clock,
                self._clock.now_s() + _COMPARE_INTERVAL_S,
            )

    async def _publish_if_changed(self) -> None:
        state = self._route_store.state
        fleet = self._journal.fleet
        rank = _publishing_rank(fleet, self._membership)
        if state is None or rank is None:
            return
        desired_document = self._merge_document(state, fleet.config)
        if desired_document == fleet.config:
            self._differs_since_s = None
            return
        now_s = self._clock.now_s()
        if self._differs_since_s is None:
            self._differs_since_s = now_s
        await self._clock.sleep_until(
            self._differs_since_s + rank * RANK_DELAY_S
        )
        if self._merge_document(state, fleet.config) != fleet.config:
            await self._publish(desired_document)

    async def _publish(self, desired_document: ConfigDocument) -> None:
        published = await publish_document(
            self._journal,
            desired_document,
            expected_version=self._journal.fleet.config_version,
            author=_AUTHOR,
            deadline_s=self._clock.now_s() + _APPEND_TIMEOUT_S,
        )
        if is_successful(published):
            _log.info(
                'configuration document published as version {}',
                published.unwrap(),
            )
        else:
            _log.warning(
                'configuration document not published, will retry: {}',
                published.failure(),
            )

    def _merge_document(
        self, state: OperatorState, known: ConfigDocument
    ) -> ConfigDocument:
        services: dict[ServiceName, ServicePolicy] = dict(known.services)
        for name, service_config in state.services.items():
            policy = self._make_policy(service_config)
            known_policy = known.services.get(name)
            if known_policy is not None:
                # Fixed once published, maybe by another release.
                policy = msgspec.structs.replace(
                    policy, shard_count=known_policy.shard_count
                )
            services[name] = policy
        zones_out = {
            zone: known.zones_out.get(zone, OutOfService(reason='evacuated'))
            for zone in sorted(state.zones_out)
        }
        return ConfigDocument(
            services=services,
            zones_out=zones_out,
            moves_per_minute=self._moves_per_minute,
        )


def _publishing_rank(fleet: FleetView, membership: Membership) -> int | None:
    own = membership.incarnation
    newest = newest_members(fleet.members.values())
    ranked = [member.incarnation for member in newest]
    return min(_MAX_RANK, ranked.index(own)) if own in ranked else None
