"""Router: from a request to the answer of the right door."""

import asyncio
import random
from functools import partial

from verbenadeck.fleet import FleetView, request_shard
from verbenadeck.logs import make_decision_logger
from verbenadeck.model import (
    AnswerResult,
    NodeId,
    Outcome,
    RefusalReason,
    Request,
    ServiceName,
    ServicePolicy,
    Shard,
    Zone,
)
from verbenadeck.peers import PeerTransport
from verbenadeck.proxy import (
    PolicyCache,
    Proxy,
    not_run,
    refusal_of,
    refuse,
)
from verbenadeck.router._attempts import Attempts
from verbenadeck.router._budget import TokenBudget
from verbenadeck.router._choice import (
    ChooseProxy,
    ProxyChoice,
    choose_by_expected_wait,
)
from verbenadeck.router._directory import Directory
from verbenadeck.router._hedges import Send, send_hedged
from verbenadeck.router._outcomes import (
    MOVE_S,
    Step,
    has_reached_upstream,
    merge,
    next_step,
    with_return_time,
)
from verbenadeck.router._quantile import LatencyQuantile
from verbenadeck.router._stats import ProxyStats
from verbenadeck.utils import Clock

_decide = make_decision_logger('router')

_FIRST_PAUSE_S = 0.005
_MOST_PAUSE_S = 0.05
_READS = frozenset(('GET', 'HEAD'))


class _ServiceState:
    """Budgets and latency of one service."""

    __slots__ = ('hedges', 'latency', 'retries')

    def __init__(self) -> None:
        self.retries = TokenBudget()
        self.hedges = TokenBudget()
        self.latency = LatencyQuantile()


class ProxyRouter:
    """Routes requests to doors, with retries, hedges and waiting.

    Parameters
    ----------
    node_id, zone : str
        Place of this node.
    proxy : Proxy
        Door of this process.
    fleet : FleetView
        Members, shards and configuration.
    peers : PeerTransport
        Way to other doors.
    clock : Clock
        Clock of this VM.
    random_source : random.Random
        Source of choices.
    choose : ChooseProxy
        Choice among doors that may all serve a request.
    """

    def __init__(
        self,
        *,
        node_id: NodeId,
        zone: Zone,
        proxy: Proxy,
        fleet: FleetView,
        peers: PeerTransport,
        clock: Clock,
        random_source: random.Random,
        choose: ChooseProxy = choose_by_expected_wait,
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._choose = choose
        self._directory = Directory(fleet=fleet, node_id=node_id, zone=zone)
        self._policies = PolicyCache(
            fleet=fleet, clock=clock, zone=zone, upstream=node_id
        )
        self._attempts = Attempts(
            proxy=proxy,
            peers=peers,
            clock=clock,
            random_source=random_source,
            is_member=self._directory.is_member,
        )
        self._services: dict[ServiceName, _ServiceState] = {}

    async def route(self, request: Request) -> AnswerResult:
        """Return the complete answer or a refusal with its outcome."""
        policy = self._policies.policy(request.service)
        if policy is None:
            return refuse(
                not_run(
                    RefusalReason.UNKNOWN_SERVICE,
                    'no such service is configured',
                )
            )
        if policy.is_keyed and request.key is None:
            return refuse(
                not_run(RefusalReason.BAD_REQUEST, 'the service needs a key')
            )
        state = self._services.setdefault(request.service, _ServiceState())
        state.retries.earn(policy.retry_ratio)
        state.hedges.earn(policy.hedge_ratio)
        result = await self._try(
            _Route(request, policy, state, now_s=self._clock.now_s())
        )
        refusal = refusal_of(result)
        if refusal is None or refusal.outcome is Outcome.UNKNOWN:
            return result
        left_s = self._clock.remaining_s(request.deadline_s)
        return refuse(with_return_time(refusal, left_s, self._random))

    async def _try(self, route: '_Route') -> AnswerResult:
        pause_s = _FIRST_PAUSE_S
        request = route.request
        is_uncertain = False
        while True:
            result = await self._attempt(route)
            refusal = refusal_of(result)
            if refusal is None:
                return result
            is_uncertain |= refusal.outcome is Outcome.UNKNOWN
            route.sends += has_reached_upstream(refusal)
            final = refuse(merge(refusal, is_uncertain=is_uncertain))
            if self._clock.now_s() + pause_s >= route.request.deadline_s:
                return final
            step = next_step(
                refusal,
                is_repeatable=route.request.is_repeatable,
                is_owned=route.shard is not None,
            )
            if step is Step.STOP or route.is_spent:
                return final
            if step is Step.ELSEWHERE and not self._is_another(route):
                return final
            if step is Step.WAIT and self._clock.now_s() >= route.wait_until_s:
                return final
            _decide(
                '{} {} {} after {} sends: {} {}, {}',
                request.service,
                request.request_id,
                step.value,
                route.sends,
                refusal.outcome.value,
                refusal.reason.value,
                refusal.detail,
            )
            if step is Step.RETRY and not route.state.retries.spend():
                return final
            await asyncio.sleep(self._pause_s(route, step, pause_s))
            pause_s = min(_MOST_PAUSE_S, pause_s * 2)

    def _pause_s(self, route: '_Route', step: Step, pause_s: float) -> float:
        if step is not Step.WAIT and route.shard is None:
            return 0
        return pause_s * (1 + self._random.random()) / 2

    async def _attempt(self, route: '_Route') -> AnswerResult:
        if route.shard is not None:
            return await self._attempt_bound(route, route.shard)
        choice = self._pick(route, ())
        if choice is None:
            return refuse(
                not_run(RefusalReason.NO_UPSTREAM, 'no door takes new work')
            )
        route.tried.append(choice.proxy)
        _log_choice(route.request, choice)
        if not self._may_hedge(route):
            return await self._attempts.send(
                choice.proxy, route.request, is_bound=False
            )
        return await self._send_hedged(route, choice.proxy)

    async def _attempt_bound(
        self, route: '_Route', shard: Shard
    ) -> AnswerResult:
        owners = self._directory.owners(route.request.service, shard)
        if not owners:
            return refuse(
                not_run(
                    RefusalReason.NO_OWNER, f'shard {shard} has no live owner'
                )
            )
        fresh = [each for each in owners if each not in route.tried]
        owner = fresh[0] if fresh else owners[-1]
        route.tried.append(owner)
        _log_choice(
            route.request, ProxyChoice(owner, f'owner of shard {shard}')
        )
        return await self._attempts.send(owner, route.request, is_bound=True)

    def _pick(
        self, route: '_Route', excluded: tuple[ProxyStats, ...]
    ) -> ProxyChoice | None:
        proxies = self._directory.open_proxies(route.request.service)
        fresh = [
            proxy
            for proxy in proxies
            if proxy not in route.tried and proxy not in excluded
        ]
        if not fresh and not excluded:
            fresh = proxies
        if not fresh:
            return None
        return self._choose(fresh, self._clock.now_s(), self._random)

    def _is_another(self, route: '_Route') -> bool:
        """Return whether a door that was not asked yet may answer."""
        if route.shard is not None:
            return False
        proxies = self._directory.open_proxies(route.request.service)
        return any(proxy not in route.tried for proxy in proxies)

    def _may_hedge(self, route: '_Route') -> bool:
        return route.request.method in _READS and route.policy.hedge_ratio > 0

    async def _send_hedged(
        self, route: '_Route', proxy: ProxyStats
    ) -> AnswerResult:
        started_s = self._clock.now_s()
        result = await send_hedged(
            partial(self._attempts.send, proxy, route.request, is_bound=False),
            partial(self._another, route, proxy),
            delay_s=route.state.latency.estimate_s,
        )
        if refusal_of(result) is None:
            route.state.latency.add(
                self._clock.now_s() - started_s, route.policy.hedge_quantile
            )
        return result

    def _another(self, route: '_Route', first: ProxyStats) -> Send | None:
        choice = self._pick(route, (first,))
        if choice is None or not route.state.hedges.spend():
            return None
        route.tried.append(choice.proxy)
        _log_choice(route.request, ProxyChoice(choice.proxy, 'hedge'))
        return partial(
            self._attempts.send, choice.proxy, route.request, is_bound=False
        )


class _Route:
    """One request on its way."""

    __slots__ = (
        'policy',
        'request',
        'sends',
        'shard',
        'state',
        'tried',
        'wait_until_s',
    )

    def __init__(
        self,
        request: Request,
        policy: ServicePolicy,
        state: _ServiceState,
        *,
        now_s: float,
    ) -> None:
        self.request = request
        self.policy = policy
        self.state = state
        self.tried: list[ProxyStats] = []
        self.shard: Shard | None = request_shard(request, policy)
        self.sends = 0
        # Longer than until its objective a caller is better told to come
        # back than kept.
        objective_at_s = request.objective_at_s or request.deadline_s
        self.wait_until_s = max(objective_at_s, now_s + MOVE_S)

    @property
    def is_spent(self) -> bool:
        """Whether the request has reached as many upstreams as it may."""
        most = self.request.max_sends
        return 0 < most <= self.sends


def _log_choice(request: Request, choice: ProxyChoice) -> None:
    _decide(
        '{} {} to {}: {}',
        request.service,
        request.request_id,
        choice.proxy.member.node_id,
        choice.why,
    )
