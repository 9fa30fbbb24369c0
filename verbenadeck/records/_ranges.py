"""Ranges of shards in records of the log."""

import msgspec

from verbenadeck.model import ServiceName


class ReleasedRange(msgspec.Struct, frozen=True, array_like=True):
    """Range of shards whose earlier owner has stopped serving them.

    Parameters
    ----------
    service : ServiceName
        Service of the shards.
    first_shard : int
        First shard of the range.
    stop_shard : int
        One past the last shard of the range.
    """

    service: ServiceName
    first_shard: int
    stop_shard: int
