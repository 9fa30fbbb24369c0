"""Configuration document: fleet-wide defaults and exceptions."""

import enum

import msgspec

from verbenadeck.model._ids import NodeId, ServiceName, Zone


class ServicePolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Policy of one service.

    Parameters
    ----------
    is_keyed : bool
        Whether the service is divided by key.
    shard_count : int
        Number of shards, a power of two; fixed once published.
    checks_fences : bool
        Whether upstreams refuse orders with an old fence.
    request_timeout_s : float
        Longest time a request may take when the caller names none.
    queue_limit : int
        Longest queue of one door, in requests.
    retry_ratio : float
        Retries allowed per first attempt.
    hedge_ratio : float
        Hedges allowed per first attempt; 0 turns hedging off.
    hedge_quantile : float
        Quantile of latency after which a hedge is sent.
    ledger_keep_s : float
        Time in seconds that kept answers of non-repeatable requests stay.
    repeatable_methods : tuple of str
        HTTP methods that may run more than once.
    key_space : int
        Number of keys when keys are whole numbers whose neighbours belong
        together, so that a shard is a range of keys; 0 hashes keys.
    has_ledger_shards : bool
        Whether non-repeatable requests of a service that is not divided by
        key have an owner by their id. Without, each goes through one entry,
        which never sends it again once it may have run.
    """

    is_keyed: bool = False
    shard_count: int = 4096
    checks_fences: bool = True
    request_timeout_s: float = 10
    queue_limit: int = 64
    retry_ratio: float = 0.1
    hedge_ratio: float = 0.05
    hedge_quantile: float = 0.95
    ledger_keep_s: float = 600
    repeatable_methods: tuple[str, ...] = (
        'GET',
        'HEAD',
        'OPTIONS',
        'PUT',
        'DELETE',
    )
    key_space: int = 0
    has_ledger_shards: bool = True


class Admission(enum.Enum):
    """Whether a zone or an upstream takes new work."""

    IN = 'in'
    OUT = 'out'


class ExceptionRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Exception to the defaults, with its written reason.

    Parameters
    ----------
    name : str
        Name, unique in the document.
    reason : str
        Written reason; never empty.
    field : str
        Field of `ServicePolicy` that changes.
    setting : float or bool or str
        New setting of the field.
    service, zone, upstream : str or None
        Scope; None matches all. At least one is set.
    ends_at_s : float or None
        Wall-clock end, in seconds since the epoch of Unix time.
    """

    name: str
    reason: str
    field: str
    setting: float | bool | str
    service: ServiceName | None = None
    zone: Zone | None = None
    upstream: NodeId | None = None
    ends_at_s: float | None = None


class OutOfService(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Why a zone or an upstream is out."""

    reason: str
    since_s: float = 0


class ConfigDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Whole configuration of the fleet.

    Parameters
    ----------
    services : dict of ServiceName to ServicePolicy
        Services with their fleet-wide defaults.
    exceptions : tuple of ExceptionRule
        Short list of exceptions.
    zones_out : dict of Zone to OutOfService
        Availability zones that take no new work.
    upstreams_out : dict of NodeId to OutOfService
        Upstreams, by the name of their node, that take no new work.
    moves_per_minute : int
        Churn budget for balance, in shards per minute and fleet.
    """

    services: dict[ServiceName, ServicePolicy] = {}
    exceptions: tuple[ExceptionRule, ...] = ()
    zones_out: dict[Zone, OutOfService] = {}
    upstreams_out: dict[NodeId, OutOfService] = {}
    moves_per_minute: int = 600
