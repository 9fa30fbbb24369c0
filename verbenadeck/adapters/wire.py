"""Wire shapes of the 'standin' formats of the log and the upstream.

Client and stand-in share this module, so that a real format costs one
module like it and one adapter. docs/INTERFACES.md describes the formats.
"""

import msgspec

STREAMS_PATH = '/streams/{stream}/records'
LOG_CONTROL_PATH = '/control'

CONTROL_HEADER = 'Upstream-Control'
REQUEST_ID_HEADER = 'Upstream-Request-Id'
INSTANCE_HEADER = 'Upstream-Instance'
SHARD_HEADER = 'Upstream-Shard'
FENCE_HEADER = 'Upstream-Fence'
DEADLINE_HEADER = 'Upstream-Deadline-Ms'
REFUSED_HEADER = 'Upstream-Refused'
BEARABLE_HEADER = 'Upstream-Bearable'
RESERVED_PREFIX = 'upstream-'

GRANT_PATH = '/grant'
DRAIN_PATH = '/drain'
CANCEL_PATH = '/cancel'
HEALTH_PATH = '/health'
LOAD_PATH = '/load'
RUNS_PATH = '/runs'
SERVING_PATH = '/serving'
FAULTS_PATH = '/faults'


class Appended(msgspec.Struct, frozen=True):
    """Answer to an append."""

    offset: int


class LogRefusal(msgspec.Struct, frozen=True):
    """Answer of a log that did not do what was asked.

    Parameters
    ----------
    reason : str
        One short sentence.
    is_appended : bool or None
        False when an append certainly had no effect.
    first_offset : int
        Oldest offset still kept.
    """

    reason: str
    is_appended: bool | None = None
    first_offset: int = 0


class RecordsPage(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a read, in msgpack."""

    first_offset: int
    start_offset: int
    records: tuple[bytes, ...]


class RangeBody(msgspec.Struct, frozen=True):
    """Range of shards under one fence."""

    first_shard: int
    stop_shard: int
    fence: int


class GrantBody(msgspec.Struct, frozen=True):
    """All shards that an upstream may serve until a deadline.

    Parameters
    ----------
    sequence : int
        Order of sending in nanoseconds of the boot clock; a grant that
        arrives after a later one is refused.
    service : str
        Service of the shards.
    shard_count : int
        Number of shards of the service.
    ranges : tuple of RangeBody
        Granted ranges.
    deadline_s : float
        End on the boot clock of the VM.
    """

    sequence: int
    service: str
    shard_count: int
    ranges: tuple[RangeBody, ...]
    deadline_s: float


class CancelBody(msgspec.Struct, frozen=True):
    """Asks for a running request to be cancelled."""

    request_id: str


class LoadBody(msgspec.Struct, frozen=True):
    """Health and load as the upstream reports them."""

    is_healthy: bool
    running: int
    bearable: int
    instance: str


class AnnounceBody(msgspec.Struct, frozen=True):
    """What an upstream posts to the announce URL of its node."""

    service: str
    instance: str
    host: str
    port: int
    slots: int
    connections: int
    bearable: int


class AnnounceReply(msgspec.Struct, frozen=True):
    """Answer to an announcement.

    Parameters
    ----------
    is_new : bool
        Whether the node did not know this life of the upstream; it then
        starts afresh and an earlier drain has ended.
    """

    is_new: bool
