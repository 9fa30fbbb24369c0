"""Interface of the adapters to the upstream beside a node."""

import enum
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Result

from verbenadeck.model import Answer, Fence, Request, RequestId, ServiceName

MAX_SLOTS = 100_000
"""Largest number of slots that an upstream may announce."""


class ColdStartState(msgspec.Struct, frozen=True):
    """Limit of the request rate of an upstream during its cold start.

    Parameters
    ----------
    cold_until_s : float
        Time on the boot clock at which the cold start ends, in seconds.
    requests_per_s : float
        Requests per second that it can serve until then.
    """

    cold_until_s: float = 0
    requests_per_s: float = 0


WARMED_UP = ColdStartState()
"""State of an upstream that can serve requests in all its slots."""


class Announcement(msgspec.Struct, frozen=True):
    """Identity, address and capacity that an upstream reports when it starts.

    Parameters
    ----------
    service : ServiceName
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
    cold_start : ColdStartState
        Limit of its request rate during a cold start.
    """

    service: ServiceName
    instance: str
    host: str
    port: int
    slots: int
    connections: int
    bearable: int
    cold_start: ColdStartState = WARMED_UP


class LoadReport(msgspec.Struct, frozen=True):
    """Health and load as the upstream reports them; may be late or wrong.

    Parameters
    ----------
    is_healthy : bool
        Whether it can serve requests.
    running : int
        Requests that are running.
    bearable : int
        Requests that it can run at the same time now.
    instance : str
        Identity of the upstream process that reports.
    cold_start : ColdStartState
        Limit of its request rate during a cold start.
    """

    is_healthy: bool
    running: int
    bearable: int
    instance: str
    cold_start: ColdStartState = WARMED_UP


class GrantedRange(msgspec.Struct, frozen=True):
    """Range of shards granted to an upstream under one fence.

    Parameters
    ----------
    first_shard : int
        First shard.
    stop_shard : int
        One past the last shard.
    fence : Fence
        Fencing token.
    """

    first_shard: int
    stop_shard: int
    fence: Fence


class KeyHandover(msgspec.Struct, frozen=True, array_like=True):
    """State that an upstream hands over to the next holder of a range of keys.

    Parameters
    ----------
    first_key, last_key : int
        Keys of the range, both included.
    text : str
        Opaque text with which the next holder need not start cold.
    """

    first_key: int
    last_key: int
    text: str


class Grant(msgspec.Struct, frozen=True):
    """All shards that an upstream may serve until a deadline.

    Parameters
    ----------
    service : ServiceName
        Service of the shards.
    shard_count : int
        Number of shards of the service.
    ranges : tuple of GrantedRange
        Granted ranges; the upstream refuses shards outside of them.
    deadline_s : float
        Time at which the grant ends, in seconds on the boot clock that the
        processes of a VM share.
    """

    service: ServiceName
    shard_count: int
    ranges: tuple[GrantedRange, ...]
    deadline_s: float


class HeldRange(msgspec.Struct, frozen=True):
    """Range of keys that an upstream holds, or is to hold, under one fence.

    Parameters
    ----------
    first_key, last_key : int
        Keys of the range, both included.
    fence : Fence
        Fencing token.
    handover : str
        Text that the last holder handed over, empty when there is none.
    """

    first_key: int
    last_key: int
    fence: Fence
    handover: str = ''


class HoldReport(msgspec.Struct, frozen=True):
    """Keys that an upstream reports with each heartbeat.

    Parameters
    ----------
    instance : str
        Identity of the upstream process that reports.
    held : tuple of HeldRange
        Keys that it holds or for which requests still run.
    released : tuple of KeyHandover
        Keys that it has released since its last answered heartbeat.
    """

    instance: str
    held: tuple[HeldRange, ...]
    released: tuple[KeyHandover, ...]

    @property
    def is_any_listed(self) -> bool:
        """Whether it lists any keys."""
        return bool(self.held or self.released)


class HoldReply(msgspec.Struct, frozen=True):
    """Reply to a heartbeat, with all keys that the upstream is to hold.

    Parameters
    ----------
    held : tuple of HeldRange
        Keys to hold; the upstream releases all others.
    hold_s : float
        Seconds from the heartbeat for which it holds them.
    """

    held: tuple[HeldRange, ...]
    hold_s: float


class UpstreamDeparture(enum.Enum):
    """Way in which an upstream departs.

    The upstream itself reports `DRAINING` when it will accept no new requests
    soon, and `LEFT` when it accepts none from now on. `SILENT` means that it
    sent nothing for longer than any grant lasts.
    """

    DRAINING = 'draining'
    LEFT = 'left'
    SILENT = 'silent'


class UpstreamFailure(enum.Enum):
    """What is known about a request that has no answer of the upstream.

    An upstream that refuses a request gives a reason: `SHED` for overload,
    `COLD` for a cold start and `FENCED` when it is not the holder that the
    request is meant for; `REFUSED` stands for any other reason.
    """

    NOT_SENT = 'not-sent'
    REFUSED = 'refused'
    SHED = 'shed'
    FENCED = 'fenced'
    COLD = 'cold'
    BROKEN = 'broken'


class UpstreamError(msgspec.Struct, frozen=True):
    """Failure of a request to the upstream.

    Parameters
    ----------
    failure : UpstreamFailure
        `NOT_SENT`, `REFUSED`, `SHED`, `FENCED` and `COLD` mean that the
        request did not run; `BROKEN` means that it may have run.
    detail : str
        Cause, for logs.
    retry_after_s : float
        Seconds after which the upstream asks to try again, 0 when it does not
        ask.
    bearable : int or None
        Requests that the upstream says it can run at the same time now, None
        when it does not say.
    """

    failure: UpstreamFailure
    detail: str
    retry_after_s: float = 0
    bearable: int | None = None


class UpstreamRequest(msgspec.Struct, frozen=True):
    """Request with the shard and fence under which it is sent to the upstream.

    Parameters
    ----------
    request : Request
        The request.
    fence : Fence
        Fence of the shard, or `NO_FENCE` for shared services.
    shard : int
        Shard of the key, or -1 for shared services.
    """

    request: Request
    fence: Fence
    shard: int


class UpstreamAdapter(Protocol):
    """Adapter that sends requests and control requests to a node's upstream."""

    def on_announce(self, listener: Callable[[Announcement], None]) -> None:
        """Register a listener for each announcement of the upstream.

        Parameters
        ----------
        listener : callable
            Called with the announcement.
        """
        ...

    def on_report(self, listener: Callable[[LoadReport], None]) -> None:
        """Register a listener for what the upstream reports by itself.

        An adapter that learns of the state only by `report` never calls it.

        Parameters
        ----------
        listener : callable
            Called with each report, before the upstream gets an answer to it.
        """
        ...

    async def send(
        self, upstream_request: UpstreamRequest
    ) -> Result[Answer, UpstreamError]:
        """Send a request and return the complete answer.

        Parameters
        ----------
        upstream_request : UpstreamRequest
            Request with its shard and fence.
        """
        ...

    async def cancel(self, request_id: RequestId) -> None:
        """Try to cancel a running request; it may still run to its end.

        Parameters
        ----------
        request_id : RequestId
            Id of the request.
        """
        ...

    async def grant(self, grant: Grant) -> Result[None, UpstreamError]:
        """Replace the shards that the upstream may serve.

        Parameters
        ----------
        grant : Grant
            All shards that it may serve from now on.
        """
        ...

    async def drain(self) -> Result[None, UpstreamError]:
        """Ask the upstream to finish its requests and to refuse new ones."""
        ...

    async def report(self) -> Result[LoadReport, UpstreamError]:
        """Return the health and load that the upstream reports."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
