"""Fixed options of a node on the platform."""

from verbenadeck.entry import ConnectionLimits, derive_max_connections
from verbenadeck.journal import (
    AppendOptions,
    CheckpointOptions,
    JournalOptions,
    ReadOptions,
)
from verbenadeck.membership import LeaseTiming
from verbenadeck.platform._settings import PlatformSettings
from verbenadeck.proxy import LimitOptions, QueueOptions, fixed_limit
from verbenadeck.router import RetryOptions, RouterOptions

KEY_SPACE = 65_536
"""Number of keys of a keyed service, as the platform specifies it."""

SHARD_COUNT = 8_192
"""Number of shards of a keyed service, with 8 neighbouring keys each: small
enough to spread the 60 to 200 keys that get much of the traffic at the same
time over several upstreams."""

MOVES_PER_MINUTE = 20_000
"""Limit of moved shards per minute. It can be high, as the platform charges
only half a percent of a day for moving all keys once."""

LIMIT_OPTIONS = LimitOptions(algorithm=fixed_limit, min_share=0.8)
"""Concurrency limit of the upstream. It does not adapt to latency, because an
instance reports its slots, and its request rate during a cold start; one that
sheds load below that has a temporary fault, so shed requests lower the limit
to no less than 0.8 of the slots. The other fifth covers requests that the
instance still runs after their connections have closed."""

LINK_SHARE_FOR_BODIES = 0.6
"""Share of the link that large bodies from other nodes may use. The rest is for
calls, leases, heartbeats and reads, which must not wait behind bodies, and for
uploads that callers send to the node itself."""

FEW_SLOTS = 5
"""Largest number of slots of an upstream to which the rules for few slots
apply. One slow or failed request then changes its capacity by a fifth or more,
so that means over all requests and counts of requests mislead."""

QUEUE_OPTIONS = QueueOptions(few_slots=FEW_SLOTS)

ZONE_COST_S_PER_MB = 1.0
"""Waiting time in seconds that a megabyte between zones is worth, since the
platform charges for it. A small answer of 2 KB counts as 2 ms, and an upload of
60 KB as 60 ms, a fifth of its service time."""

RETRY_BOUND_SHARE = 0.8
"""Share of the platform's bounds of retries that the nodes use. The rest is
for sends that they cannot count, such as those of a node that was lost."""

DIRECT_READERS = 2
"""Number of nodes of the fleet that read the store themselves; the others read
from them. The platform charges for each call; with two of them in different
zones, one still reads when the other or its zone is lost."""

HEARTBEAT_TIMEOUT_INTERVALS = 3.6
"""Time without a heartbeat, in heartbeat intervals, after which an instance is
considered lost; longer than any hold, which ends with the lease."""

LEASE_TIMING = LeaseTiming(
    lease_s=3.0,
    heartbeat_interval_s=0.25,
    max_voter_lease_age_s=1.8,
    probe_after_s=0.6,
    witness_timeout_s=1.4,
    append_timeout_s=1.5,
)
"""Times of the lease: a hold lasts a little less than the lease, so that it
survives two lost heartbeats of an instance."""

OPERATOR_READS = ReadOptions(
    wait_s=1.0,
    max_age_s=1.5,
    reply_margin_s=0.3,
    source_hold_s=2.0,
    stale_hold_s=0.3,
    log_backoff_s=0.3,
    min_read_interval_s=0.05,
    direct_readers=DIRECT_READERS,
)
"""Reads of the operators' topic. An answer may be lost while its connection
stays open, so `wait_s` and `reply_margin_s` together stay below the 2 s within
which a configuration must take effect, along with the time until the log is
read again after such a loss."""

JOURNAL_OPTIONS = JournalOptions(
    reads=ReadOptions(
        wait_s=2.0,
        max_age_s=4.0,
        reply_margin_s=0.4,
        min_read_interval_s=0.1,
        direct_readers=DIRECT_READERS,
    ),
    appends=AppendOptions(answer_timeout_s=1.0, readback_timeout_s=0.6),
)
CHECKPOINT_OPTIONS = CheckpointOptions(
    max_records=40, check_interval_s=0.5, turn_s=1.5, interval_s=600
)
"""Fewer records between two checkpoints than the store keeps of a writer."""

DRAIN_MOVE_SHARE = 0.6
"""Share of the setting `drain` in which the shards of a leaving instance are
moved; the rest is for requests in flight."""

LAST_SEND_MARGIN_S = 0.3
"""Time in seconds before the end of the setting `drain` from which nothing is
sent to a leaving instance; what a busy node needs for a send that has begun."""

ENTRY_CLOSE_AFTER_S = 0.3
"""Time in seconds after the last request for which a stopping entry still
answers on open connections; a few round trips of a caller."""

HELD_BODIES_LIMIT_BYTES = 33_554_432
"""Memory in bytes for the bodies of all requests that an entry has in
progress: a sixth of the smallest VM's memory."""

LAST_ANSWER_MARGIN_S = 0.5
"""Time in seconds before SIGKILL by which a stopping node ends all requests: a
few round trips, so that callers get the answers."""

_CONTROL_DESCRIPTOR_SHARE = 0.05
"""Share of the process's descriptors for readiness checks, heartbeats and
metrics: one instance, one platform and a few exporters connect."""


def make_router_options(settings: PlatformSettings) -> RouterOptions:
    """Return the options of the router.

    Parameters
    ----------
    settings : PlatformSettings
        Settings of the node, with the platform's bounds of retries.
    """
    ratio = settings.retry_budget_ratio
    slack = settings.retry_budget_slack
    retries = None
    if ratio is not None and slack is not None:
        retries = RetryOptions(
            ratio=RETRY_BOUND_SHARE * ratio, burst=RETRY_BOUND_SHARE * slack
        )
    return RouterOptions(
        few_slots=FEW_SLOTS,
        retries=retries,
        zone_cost_s_per_mb=ZONE_COST_S_PER_MB,
    )


def make_control_limits() -> ConnectionLimits:
    """Return the limits of connections for checks, heartbeats and metrics."""
    return ConnectionLimits(
        max_connections=derive_max_connections(_CONTROL_DESCRIPTOR_SHARE),
        partial_heads_limit_bytes=2_097_152,
        unread_answer_limit_bytes=1_048_576,
        unread_answers_limit_bytes=4_194_304,
    )
