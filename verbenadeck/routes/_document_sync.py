"""Publishes what operators say of services and zones to the fleet's log.

Ownership is judged by the log's own document, so that every node judges
alike whatever it has read of the operators' state.
"""

import asyncio
from collections.abc import Callable

from loguru import logger
from returns.pipeline import is_successful

from verbenadeck.config.operations import publish_document
from verbenadeck.fleet import FleetView, newest_lives
from verbenadeck.journal import Journal, finishes
from verbenadeck.membership import Membership
from verbenadeck.model import (
    ConfigDocument,
    OutState,
    ServiceName,
    ServicePolicy,
)
from verbenadeck.routes._book import RouteBook
from verbenadeck.routes._table import OperatorState, ServiceTerms
from verbenadeck.utils import Clock

_log = logger.bind(part='routes')

RANK_DELAY_S = 0.4
"""Time that each member leaves to those that joined before it, in seconds:
a few appends of the log."""

_LOOK_S = 0.5
_APPEND_S = 1.0
_MOST_RANKS = 4
_AUTHOR = 'operators'

PolicyMaker = Callable[[ServiceTerms], ServicePolicy]


class DocumentSync:
    """Keeps the log's document in step with the operators' state.

    Parameters
    ----------
    book : RouteBook
        What operators have published.
    journal : Journal
        Log client.
    membership : Membership
        Membership of this node.
    clock : Clock
        Clock of this VM.
    policy_of : callable
        Returns the policy of a service from the operators' terms.
    moves_per_minute : int
        Churn budget of the planner.
    """

    def __init__(
        self,
        *,
        book: RouteBook,
        journal: Journal,
        membership: Membership,
        clock: Clock,
        policy_of: PolicyMaker,
        moves_per_minute: int,
    ) -> None:
        self._book = book
        self._journal = journal
        self._membership = membership
        self._clock = clock
        self._policy_of = policy_of
        self._moves_per_minute = moves_per_minute
        self._changed = asyncio.Event()
        self._differs_since_s: float | None = None
        self._task: asyncio.Task[None] | None = None
        book.subscribe(lambda _state: self._changed.set())

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
            await finishes(
                self._changed.wait(),
                self._clock,
                self._clock.now_s() + _LOOK_S,
            )

    async def _compare(self) -> None:
        state = self._book.state
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
        for name, terms in state.services.items():
            services[name] = self._policy_of(terms)
        zones_out = {
            zone: known.zones_out.get(zone, OutState(reason='evacuated'))
            for zone in sorted(state.zones_out)
        }
        return ConfigDocument(
            services=services,
            zones_out=zones_out,
            moves_per_minute=self._moves_per_minute,
        )


def _rank(fleet: FleetView, membership: Membership) -> int | None:
    own = membership.incarnation
    lives = newest_lives(fleet.members.values())
    ranked = [member.incarnation for member in lives]
    return min(_MOST_RANKS, ranked.index(own)) if own in ranked else None
