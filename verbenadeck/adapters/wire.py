"""Messages of the 'standin' formats of the log and the upstream.

Adapters and stand-ins share this module, so that another format takes one
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
    """Answer of the log to an append.

    Parameters
    ----------
    offset : int
        Offset of the appended record.
    """

    offset: int


class LogRefusal(msgspec.Struct, frozen=True):
    """Answer of the log to a call that it refused.

    Parameters
    ----------
    reason : str
        Cause, for logs.
    is_appended : bool or None
        False when an append certainly had no effect, None when unknown.
    first_offset : int
        Offset of the oldest kept record.
    """

    reason: str
    is_appended: bool | None = None
    first_offset: int = 0


class RecordsPage(msgspec.Struct, frozen=True, array_like=True):
    """Answer of the log to a read, in msgpack.

    Parameters
    ----------
    first_offset : int
        Offset of the oldest kept record.
    start_offset : int
        Offset of the first record of `records`.
    records : tuple of bytes
        Records in order.
    """

    first_offset: int
    start_offset: int
    records: tuple[bytes, ...]


class RangeBody(msgspec.Struct, frozen=True):
    """Range of shards under one fence.

    Parameters
    ----------
    first_shard : int
        First shard.
    stop_shard : int
        One past the last shard.
    fence : int
        Fencing token.
    """

    first_shard: int
    stop_shard: int
    fence: int


class GrantBody(msgspec.Struct, frozen=True):
    """All shards that an upstream may serve until a deadline.

    Parameters
    ----------
    sequence : int
        Time of sending in nanoseconds of the boot clock; a grant that
        arrives after one that was sent later is refused.
    service : str
        Service of the shards.
    shard_count : int
        Number of shards of the service.
    ranges : tuple of RangeBody
        Granted ranges.
    deadline_s : float
        Time on the boot clock of the VM at which the grant ends, in seconds.
    """

    sequence: int
    service: str
    shard_count: int
    ranges: tuple[RangeBody, ...]
    deadline_s: float


class CancelBody(msgspec.Struct, frozen=True):
    """Body of a control request that cancels a running request.

    Parameters
    ----------
    request_id : str
        Id of the request.
    """

    request_id: str


class LoadBody(msgspec.Struct, frozen=True):
    """Health and load as the upstream reports them.

    Parameters
    ----------
    is_healthy : bool
        Whether it can serve requests.
    running : int
        Requests that are running.
    bearable : int
        Requests that it can run at the same time now.
    instance : str
        Identity of the upstream process; changes on every start.
    """

    is_healthy: bool
    running: int
    bearable: int
    instance: str


class AnnounceBody(msgspec.Struct, frozen=True):
    """Announcement that an upstream posts to its node when it starts.

    Parameters
    ----------
    service : str
        Service that it provides.
    instance : str
        Identity of the upstream process; changes on every start.
    host : str
        IP address at which it accepts requests.
    port : int
        TCP port at which it accepts requests.
    slots : int
        Requests that it can run at the same time when warm.
    connections : int
        Largest number of connections that it accepts.
    bearable : int
        Requests that it can run at the same time now; fewer than `slots`
        during a cold start.
    """

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
        Whether the announcement was the first one of this upstream process;
        an earlier drain then no longer applies.
    """

    is_new: bool
