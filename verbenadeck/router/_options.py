"""Options of the router."""

import msgspec


class RetryOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Retries that a fleet may make.

    Parameters
    ----------
    ratio : float
        Retries per request.
    burst : float
        Retries beyond the ratio that all nodes together may make at once.
    """

    ratio: float
    burst: float


class RouterOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of the router for services whose upstreams have few slots.

    Parameters
    ----------
    few_slots : int
        Largest number of slots of an upstream of such a service; 0 turns the
        other options off. With more slots, a single slow or failed request
        says little about the capacity of an upstream.
    retries : RetryOptions or None
        Retries of such a service. With None, the ratio is that of the policy
        and the burst that of other services.
    zone_cost_s_per_mb : float
        Waiting time in seconds that a megabyte sent between zones is worth.
    max_refused_tries : int
        Number of proxies without capacity after which a request is refused;
        0 sets no limit.
    """

    few_slots: int = 0
    retries: RetryOptions | None = None
    zone_cost_s_per_mb: float = 0
    max_refused_tries: int = 3
