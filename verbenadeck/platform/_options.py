"""Options of a node on the platform."""

from verbenadeck.journal import (
    AppendOptions,
    CheckpointOptions,
    JournalOptions,
    ReadOptions,
)
from verbenadeck.membership import LeaseTiming
from verbenadeck.proxy import LimitOptions, fixed_limit

KEY_SPACE = 65_536
"""Number of keys of a service, as the platform states it."""

SHARD_COUNT = 8_192
"""Shards of a keyed service, 8 neighbouring keys each: the 60 to 200 keys that
get much of the traffic at once are spread over several upstreams."""

MOVES_PER_MINUTE = 20_000
"""Churn budget; the platform prices a whole turnover of keys at half a
percent of a day."""

LIMITS = LimitOptions(algorithm=fixed_limit, min_share=0.8)
"""An instance states its slots, and its rate while it is cold. One that sheds
below that is broken for a while; the fifth that is left out covers requests
which it still works on after their connections have closed."""

DIRECT_PER_ZONE = 2
"""Nodes of a zone that read the store themselves. Each call is priced, and a
second one takes over at once when the way of the first is cut."""

HEARTBEAT_TIMEOUT_INTERVALS = 3.6
"""Heartbeats that an instance may miss before it is taken for gone; longer
than any hold, which ends with the lease."""

TIMING = LeaseTiming(
    lease_s=3.0,
    heartbeat_interval_s=0.25,
    max_voter_lease_age_s=1.8,
    probe_after_s=0.6,
    witness_timeout_s=1.4,
    append_timeout_s=1.5,
)
"""Times of the lease: a hold of a little less than the lease survives two
lost heartbeats of an instance."""

OPERATORS = ReadOptions(
    wait_s=1.0,
    max_age_s=1.5,
    reply_margin_s=0.3,
    source_hold_s=2.0,
    min_read_interval_s=0.05,
    direct_per_zone=DIRECT_PER_ZONE,
)
"""An answer may be lost while its connection stays open, so the wait of a
read and the margin of an answer stay within the 2 s in which a configuration
is to be in force."""

JOURNAL = JournalOptions(
    reads=ReadOptions(
        wait_s=2.0,
        max_age_s=4.0,
        reply_margin_s=0.4,
        min_read_interval_s=0.1,
        direct_per_zone=DIRECT_PER_ZONE,
    ),
    appends=AppendOptions(answer_timeout_s=1.0, readback_timeout_s=0.6),
)
CHECKPOINTS = CheckpointOptions(
    max_records=40, check_interval_s=0.5, turn_s=1.5, interval_s=600
)
"""Fewer records between two checkpoints than a writer's kept ones."""

MOVE_SHARE = 0.6
"""Share of `drain` in which shards of a leaving instance are moved; the rest
is for requests that are on their way."""

CLOSE_AFTER_S = 0.3
"""Time in seconds after the last request in which a stopping entry still
answers on open connections; some round trips of a caller."""
