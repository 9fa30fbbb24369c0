"""State of the router for one service."""

from typing import NamedTuple

from verbenadeck.model import ServiceName, ServicePolicy
from verbenadeck.router._budget import (
    MIN_BURST,
    TokenBudget,
    burst_per_member,
)
from verbenadeck.router._choice import ChooseProxy
from verbenadeck.router._options import RetryOptions
from verbenadeck.router._quantile import LatencyQuantile
from verbenadeck.router._zones import ZoneBalance

_RESERVED_SHARE = 0.5
"""Share of the retries of a service with few slots that is reserved for
priority 0: mostly calls of upstreams, whose failure loses completed work."""


class RouteRules(NamedTuple):
    """Rules for one request, which depend on the slots of its service.

    Parameters
    ----------
    choose : ChooseProxy
        Load-balancing policy among proxies that may all serve the request.
    retry_budget : TokenBudget
        Budget that retries of the request spend.
    max_refused_tries : int
        Number of proxies without capacity after which it is refused; 0 sets
        no limit.
    remote_sample_size : int
        Number of proxies of other zones among the candidates.
    is_provisional : bool
        Whether the service had no member yet, so that the number of its slots
        is not known. Such rules allow no retry.
    """

    choose: ChooseProxy
    retry_budget: TokenBudget
    max_refused_tries: int = 0
    remote_sample_size: int = 1
    is_provisional: bool = False


class ServiceState:
    """Budgets, latency estimate and use of other zones of one service.

    Parameters
    ----------
    service : ServiceName
        Service.
    retries : RetryOptions or None
        Retries while the service has few slots.
    """

    __slots__ = (
        '_few_slots_budget',
        '_retries',
        '_retry_budget',
        'hedge_budget',
        'latency',
        'zones',
    )

    def __init__(
        self, service: ServiceName, retries: RetryOptions | None
    ) -> None:
        self._retries = retries
        self._retry_budget = TokenBudget()
        self._few_slots_budget = _make_few_slots_budget(retries)
        self.hedge_budget = TokenBudget()
        self.latency = LatencyQuantile()
        self.zones = ZoneBalance(service)

    def refill_retries(
        self, policy: ServicePolicy, *, has_few_slots: bool, member_count: int
    ) -> TokenBudget:
        """Add the tokens for one request to its budget and return that.

        Parameters
        ----------
        policy : ServicePolicy
            Policy of the service.
        has_few_slots : bool
            Whether the upstreams of the service have few slots.
        member_count : int
            Number of members of the fleet, which share its burst.
        """
        if not has_few_slots:
            self._retry_budget.refill(policy.retry_ratio)
            return self._retry_budget
        retries = self._retries
        if retries is None:
            self._few_slots_budget.refill(policy.retry_ratio)
        else:
            self._few_slots_budget.refill(
                retries.ratio,
                max_tokens=burst_per_member(retries.burst, member_count),
            )
        return self._few_slots_budget


def _make_few_slots_budget(retries: RetryOptions | None) -> TokenBudget:
    if retries is None:
        return TokenBudget(reserved_share=_RESERVED_SHARE)
    # A node that starts may not know all members yet, so that its share of
    # the burst of the fleet is not known either.
    return TokenBudget(max_tokens=MIN_BURST, reserved_share=_RESERVED_SHARE)
