"""Routing of requests with retries, hedges and waits for owners."""

import asyncio
import random
from functools import partial

from returns.result import Success

from verbenadeck.fleet import FleetView, request_shard
from verbenadeck.logs import make_decision_logger
from verbenadeck.model import (
    AnswerResult,
    NodeId,
    Outcome,
    Refusal,
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
from verbenadeck.router._attempt_sender import AttemptSender, as_resent
from verbenadeck.router._budget import TokenBudget
from verbenadeck.router._choice import (
    ChooseProxy,
    ProxyChoice,
    choose_by_expected_wait,
    sample_proxies,
)
from verbenadeck.router._hedges import SendAttempt, send_hedged
from verbenadeck.router._load_queries import LoadQueries
from verbenadeck.router._options import RouterOptions
from verbenadeck.router._outcomes import (
    TYPICAL_MOVE_S,
    NextStep,
    choose_next_step,
    has_reached_upstream,
    merge_outcome,
    with_retry_hint,
)
from verbenadeck.router._proxy_directory import ProxyDirectory
from verbenadeck.router._refused_tries import RefusedTries
from verbenadeck.router._service_state import RouteRules, ServiceState
from verbenadeck.router._stats import ProxyStats
from verbenadeck.router._transfers import BodyTransfers
from verbenadeck.router._zones import (
    RoundTrips,
    choose_by_cost,
    transfer_cost_s,
)
from verbenadeck.utils import Clock

_log_decision = make_decision_logger('router')

_MIN_RETRY_PAUSE_S = 0.005
_MAX_RETRY_PAUSE_S = 0.05
_QUERY_SHARE = 1 / 16
"""Share of the requests that ask for loads although that is not needed, so
that proxies which are not chosen stay known."""

_DEFAULT_OPTIONS = RouterOptions()
_HEDGED_METHODS = frozenset(('GET', 'HEAD'))


class ProxyRouter:
    """Router that sends requests to proxies, with retries, hedges and waits.

    Parameters
    ----------
    node_id : NodeId
        Id of this node.
    zone : Zone
        Zone of this node.
    proxy : Proxy
        Proxy of this process.
    fleet : FleetView
        Members, shard owners and configuration.
    peers : PeerTransport
        Transport to the proxies of other nodes.
    clock : Clock
        Clock of this VM.
    random_source : random.Random
        Generator for load balancing, jitter and attempt ids.
    choose : ChooseProxy
        Load-balancing policy among proxies that may all serve a request, for
        services to which `options` do not apply.
    options : RouterOptions
        Options for services whose upstreams have few slots.
    reserves_transfers : bool
        Whether transfers of large bodies to other nodes are reserved.
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
        reserves_transfers: bool = False,
        options: RouterOptions = _DEFAULT_OPTIONS,
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._options = options
        self._random = random_source
        self._choose = choose
        self._proxy_directory = ProxyDirectory(
            fleet=fleet, node_id=node_id, zone=zone
        )
        self._policies = PolicyCache(
            fleet=fleet, clock=clock, zone=zone, upstream=node_id
        )
        self._attempt_sender = AttemptSender(
            proxy=proxy,
            peers=peers,
            clock=clock,
            random_source=random_source,
            is_member=self._proxy_directory.is_member,
            reserves_transfers=reserves_transfers,
        )
        self._round_trips = RoundTrips(zone)
        self._load_queries = LoadQueries(
            proxy=proxy,
            peers=peers,
            clock=clock,
            round_trips=self._round_trips,
        )
        self._services: dict[ServiceName, ServiceState] = {}

    async def route(self, request: Request) -> AnswerResult:
        """Route a request and return the whole answer or a refusal.

        Parameters
        ----------
        request : Request
            Request with its absolute deadline.

        Returns
        -------
        AnswerResult
            Answer of the upstream, or a refusal whose outcome holds for all
            attempts together.
        """
        policy = self._policies.policy(request.service)
        if policy is None:
            return refuse(
                not_run(
                    RefusalReason.UNKNOWN_SERVICE,
                    'the service is not configured',
                )
            )
        if policy.is_keyed and request.key is None:
            return refuse(
                not_run(RefusalReason.BAD_REQUEST, 'the service requires a key')
            )
        service_state = self._services.setdefault(
            request.service,
            ServiceState(request.service, self._options.retries),
        )
        service_state.hedge_budget.refill(policy.hedge_ratio)
        result = await self._route_with_retries(
            _RouteState(
                request,
                policy,
                service_state,
                self._make_rules(request, policy, service_state),
                now_s=self._clock.now_s(),
            )
        )
        if isinstance(result, Success):
            size_bytes = len(result.unwrap().body)
            service_state.zones.record_answer(request.kind, size_bytes)
        refusal = refusal_of(result)
        if refusal is None or refusal.outcome is Outcome.UNKNOWN:
            return result
        left_s = self._clock.remaining_s(request.deadline_s)
        return refuse(with_retry_hint(refusal, left_s, self._random))

    def _make_rules(
        self,
        request: Request,
        policy: ServicePolicy,
        service_state: ServiceState,
    ) -> RouteRules:
        """Return the rules for a request and refill its retry budget."""
        max_slots = self._proxy_directory.max_slots(request.service)
        if self._options.few_slots and not max_slots:
            return RouteRules(
                self._choose, TokenBudget(max_tokens=0), is_provisional=True
            )
        has_few_slots = 0 < max_slots <= self._options.few_slots
        retry_budget = service_state.refill_retries(
            policy,
            has_few_slots=has_few_slots,
            member_count=len(self._fleet.members),
        )
        if not has_few_slots:
            return RouteRules(self._choose, retry_budget)
        zones = service_state.zones
        if not policy.is_keyed:
            zones.add_request(
                self._proxy_directory.available_proxies(request.service),
                self._clock.now_s(),
            )
        choose = partial(
            choose_by_cost,
            remote_cost_s=lambda zone: transfer_cost_s(
                zones.transfer_bytes(request),
                extra_s=self._round_trips.extra_s(zone),
                cost_s_per_mb=self._options.zone_cost_s_per_mb,
            ),
            try_leave=zones.try_leave,
        )
        return RouteRules(
            choose,
            retry_budget,
            self._options.max_refused_tries,
            zones.remote_sample_size,
        )

    async def _route_with_retries(self, route: '_RouteState') -> AnswerResult:
        pause_s = _MIN_RETRY_PAUSE_S
        request = route.request
        is_uncertain = False
        while True:
            result = await self._send_attempt(route)
            refusal = refusal_of(result)
            if refusal is None:
                return result
            if refusal.outcome is Outcome.UNKNOWN:
                is_uncertain = True
                route.request = as_resent(route.request)
            route.upstream_sends += has_reached_upstream(refusal)
            final = refuse(
                merge_outcome(
                    route.record_refusal(refusal, self._clock.now_s()),
                    is_uncertain=is_uncertain,
                )
            )
            if self._clock.now_s() + pause_s >= route.request.deadline_s:
                return final
            step = choose_next_step(
                refusal,
                is_repeatable=route.request.is_repeatable,
                is_owned=route.shard is not None,
            )
            if step is NextStep.STOP or route.has_used_all_tries:
                return final
            if step is NextStep.ELSEWHERE and not self._has_untried_proxy(
                route
            ):
                return final
            if (
                step is NextStep.WAIT
                and self._clock.now_s() >= route.wait_until_s
            ):
                return final
            _log_decision(
                '{} {} next step {} after {} upstream sends, refused {} {}, {}',
                request.service,
                request.request_id,
                step.value,
                route.upstream_sends,
                refusal.outcome.value,
                refusal.reason.value,
                refusal.detail,
            )
            if (
                step is NextStep.RETRY
                and not route.rules.retry_budget.try_spend(request.priority)
            ):
                return final
            await asyncio.sleep(self._retry_pause_s(route, step, pause_s))
            self._update_rules(route)
            pause_s = min(_MAX_RETRY_PAUSE_S, pause_s * 2)

    def _update_rules(self, route: '_RouteState') -> None:
        """Replace provisional rules once the service has a member."""
        request = route.request
        if route.rules.is_provisional and self._proxy_directory.max_slots(
            request.service
        ):
            route.use_rules(
                self._make_rules(request, route.policy, route.service_state)
            )

    def _retry_pause_s(
        self, route: '_RouteState', step: NextStep, pause_s: float
    ) -> float:
        if step is not NextStep.WAIT and route.shard is None:
            return 0
        return pause_s * (1 + self._random.random()) / 2

    async def _send_attempt(self, route: '_RouteState') -> AnswerResult:
        if route.shard is not None:
            return await self._send_to_owner(route, route.shard)
        choice = await self._query_and_choose(route)
        if choice is None:
            return refuse(
                not_run(
                    RefusalReason.NO_UPSTREAM, 'no proxy accepts new requests'
                )
            )
        route.tried_proxies.append(choice.proxy)
        _log_choice(route.request, choice)
        if not self._may_hedge(route):
            return await self._attempt_sender.send(
                choice.proxy,
                route.request,
                transfers=route.transfers,
                is_owner=False,
            )
        return await self._send_hedged(route, choice.proxy)

    async def _send_to_owner(
        self, route: '_RouteState', shard: Shard
    ) -> AnswerResult:
        owners = self._proxy_directory.owners(route.request.service, shard)
        if not owners:
            return refuse(
                not_run(
                    RefusalReason.NO_OWNER, f'shard {shard} has no live owner'
                )
            )
        untried = [each for each in owners if each not in route.tried_proxies]
        owner = untried[0] if untried else owners[-1]
        route.tried_proxies.append(owner)
        _log_choice(
            route.request, ProxyChoice(owner, f'owner of shard {shard}')
        )
        return await self._attempt_sender.send(
            owner, route.request, transfers=route.transfers, is_owner=True
        )

    async def _query_and_choose(
        self, route: '_RouteState'
    ) -> ProxyChoice | None:
        """Choose by the load of a few proxies, and of more if all are busy."""
        candidates = self._find_candidates(route, ())
        if not candidates:
            return None
        sample = route.sample(candidates, self._random)
        known = self._find_known(sample)
        if known and self._random.random() >= _QUERY_SHARE:
            return route.rules.choose(known, self._clock.now_s(), self._random)
        await self._load_queries.refresh(sample)
        if not any(proxy.has_free_slot for proxy in sample):
            others = [proxy for proxy in candidates if proxy not in sample]
            more = route.sample(others, self._random)
            await self._load_queries.refresh(more)
            sample.extend(more)
        return route.rules.choose(sample, self._clock.now_s(), self._random)

    def _find_known(self, sample: list[ProxyStats]) -> list[ProxyStats]:
        """Return the proxies of known load if no query is needed, else none.

        None is needed while one in this zone had many free slots a moment
        ago.
        """
        now_s = self._clock.now_s()
        near = [proxy for proxy in sample if proxy.is_same_zone] or sample
        if not any(proxy.has_spare_slots(now_s) for proxy in near):
            return []
        return [proxy for proxy in sample if proxy.has_recent_load(now_s)]

    def _find_candidates(
        self, route: '_RouteState', excluded: tuple[ProxyStats, ...]
    ) -> list[ProxyStats]:
        """Return the available proxies, those that were not tried if any."""
        proxies = self._proxy_directory.available_proxies(route.request.service)
        untried = [
            proxy
            for proxy in proxies
            if proxy not in route.tried_proxies and proxy not in excluded
        ]
        if not untried and not excluded:
            return proxies
        return untried

    def _choose_for_hedge(
        self, route: '_RouteState', first: ProxyStats
    ) -> ProxyChoice | None:
        candidates = self._find_candidates(route, (first,))
        if not candidates:
            return None
        sample = route.sample(candidates, self._random)
        return route.rules.choose(sample, self._clock.now_s(), self._random)

    def _has_untried_proxy(self, route: '_RouteState') -> bool:
        """Return whether a proxy that was not tried yet may answer."""
        if route.shard is not None:
            return False
        proxies = self._proxy_directory.available_proxies(route.request.service)
        return any(proxy not in route.tried_proxies for proxy in proxies)

    def _may_hedge(self, route: '_RouteState') -> bool:
        return (
            route.request.method in _HEDGED_METHODS
            and route.policy.hedge_ratio > 0
        )

    async def _send_hedged(
        self, route: '_RouteState', proxy: ProxyStats
    ) -> AnswerResult:
        started_s = self._clock.now_s()
        result = await send_hedged(
            partial(
                self._attempt_sender.send,
                proxy,
                route.request,
                transfers=route.transfers,
                is_owner=False,
            ),
            partial(self._next_attempt, route, proxy),
            delay_s=route.service_state.latency.estimate_s,
        )
        if refusal_of(result) is None:
            route.service_state.latency.add(
                self._clock.now_s() - started_s, route.policy.hedge_quantile
            )
        return result

    def _next_attempt(
        self, route: '_RouteState', first: ProxyStats
    ) -> SendAttempt | None:
        choice = self._choose_for_hedge(route, first)
        if choice is None or not route.service_state.hedge_budget.try_spend():
            return None
        route.tried_proxies.append(choice.proxy)
        _log_choice(route.request, ProxyChoice(choice.proxy, 'hedge'))
        return partial(
            self._attempt_sender.send,
            choice.proxy,
            route.request,
            transfers=route.transfers,
            is_owner=False,
        )


class _RouteState:
    """State of one request while it is routed.

    Attributes
    ----------
    shard : Shard or None
        Shard whose owner must serve the request; None when any proxy may.
    tried_proxies : list of ProxyStats
        Proxies that got an attempt.
    refused_tries : RefusedTries
        Refusals by proxies without capacity.
    upstream_sends : int
        Attempts that may have reached an upstream.
    transfers : BodyTransfers
        Transfers of the body to other nodes.
    wait_until_s : float
        Time after which the router no longer waits for an owner.
    """

    __slots__ = (
        'policy',
        'refused_tries',
        'request',
        'rules',
        'upstream_sends',
        'shard',
        'service_state',
        'transfers',
        'tried_proxies',
        'wait_until_s',
    )

    def __init__(
        self,
        request: Request,
        policy: ServicePolicy,
        service_state: ServiceState,
        rules: RouteRules,
        *,
        now_s: float,
    ) -> None:
        self.request = request
        self.policy = policy
        self.service_state = service_state
        self.use_rules(rules)
        self.tried_proxies: list[ProxyStats] = []
        self.shard: Shard | None = request_shard(request, policy)
        self.upstream_sends = 0
        self.transfers = BodyTransfers()
        # A caller whose latency objective has passed is refused with a retry
        # hint, which serves it better than a longer wait here.
        objective_at_s = request.objective_at_s or request.deadline_s
        self.wait_until_s = max(objective_at_s, now_s + TYPICAL_MOVE_S)

    def use_rules(self, rules: RouteRules) -> None:
        """Use rules for all tries, before the first one."""
        self.rules = rules
        self.refused_tries = RefusedTries(rules.max_refused_tries)

    @property
    def has_used_all_tries(self) -> bool:
        """Whether no further send or try is allowed."""
        max_sends = self.request.max_sends
        return (
            0 < max_sends <= self.upstream_sends
            or self.refused_tries.is_used_up
            or self.transfers.are_used_up
        )

    def sample(
        self, proxies: list[ProxyStats], source: random.Random
    ) -> list[ProxyStats]:
        """Return a few random proxies, most of them in the same zone."""
        remote_count = self.rules.remote_sample_size
        return sample_proxies(proxies, source, remote_count=remote_count)

    def record_refusal(self, refusal: Refusal, now_s: float) -> Refusal:
        """Record a refusal and return the one to give the caller."""
        if not self.tried_proxies:
            return refusal
        proxy = self.tried_proxies[-1].member.incarnation
        return self.refused_tries.record(proxy, refusal, now_s)


def _log_choice(request: Request, choice: ProxyChoice) -> None:
    _log_decision(
        '{} {} sent to {}: {}',
        request.service,
        request.request_id,
        choice.proxy.member.node_id,
        choice.reason,
    )
