"""Configuration document with fleet-wide defaults and exceptions."""

import enum

import msgspec

from verbenadeck.model._ids import NodeId, ServiceName, Zone


class ServicePolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fleet-wide policy of one service.

    Parameters
    ----------
    is_keyed : bool
        Whether the service is sharded by key.
    shard_count : int
        Number of shards, a power of two; fixed once published.
    checks_fences : bool
        Whether upstreams refuse requests with an outdated fence.
    request_timeout_s : float
        Timeout in seconds of requests whose caller sets none.
    queue_limit : int
        Maximum number of requests in the queue of one proxy.
    retry_ratio : float
        Number of retries allowed per first attempt.
    hedge_ratio : float
        Number of hedged requests allowed per first attempt; 0 turns hedging
        off.
    hedge_quantile : float
        Quantile of the latency after which a hedged request is sent.
    ledger_keep_s : float
        Time in seconds for which the ledger keeps answers of non-repeatable
        requests.
    repeatable_methods : tuple of str
        HTTP methods whose requests may run more than once.
    key_space : int
        Number of keys if keys are integers whose neighbours belong together,
        so that each shard is a range of keys; 0 hashes the keys.
    has_ledger_shards : bool
        Whether a non-repeatable request of a service that is not sharded by
        key has an owner, determined by its request id. Otherwise the request
        goes through one entry server only, which never sends it again once it
        may have run.
    has_ledger_copies : bool
        Whether witnesses keep copies of the ledger entries of owned requests.
        Without copies, a resend after the loss of an owner is refused with
        the outcome unknown, also when the first send did not run.
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
    has_ledger_copies: bool = True


class Admission(enum.Enum):
    """Whether a zone or an upstream accepts new requests.

    Attributes
    ----------
    IN
        Accepts new requests.
    OUT
        Accepts no new requests.
    """

    IN = 'in'
    OUT = 'out'


class ExceptionRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Exception to the fleet-wide defaults, with its reason.

    Parameters
    ----------
    name : str
        Name, unique in the document.
    reason : str
        Reason given by the author; never empty.
    field : str
        Field of `ServicePolicy` that it overrides.
    setting : float or bool or str
        Value that replaces the default of the field.
    service, zone, upstream : str or None
        Scope; None matches all. At least one is set.
    ends_at_s : float or None
        Unix time in seconds at which it ends; None if it does not end.
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
    """Reason why a zone or an upstream accepts no new requests.

    Parameters
    ----------
    reason : str
        Reason given by the operator.
    since_s : float
        Unix time in seconds since which it applies.
    """

    reason: str
    since_s: float = 0


class ConfigDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Complete configuration of the fleet.

    Parameters
    ----------
    services : dict of ServiceName to ServicePolicy
        Services with their fleet-wide defaults.
    exceptions : tuple of ExceptionRule
        Exceptions to the defaults.
    zones_out : dict of Zone to OutOfService
        Availability zones that accept no new requests.
    upstreams_out : dict of NodeId to OutOfService
        Upstreams that accept no new requests, by the name of their node.
    moves_per_minute : int
        Maximum number of shards that the fleet moves per minute to balance
        load.
    """

    services: dict[ServiceName, ServicePolicy] = {}
    exceptions: tuple[ExceptionRule, ...] = ()
    zones_out: dict[Zone, OutOfService] = {}
    upstreams_out: dict[NodeId, OutOfService] = {}
    moves_per_minute: int = 600
