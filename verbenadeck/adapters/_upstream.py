"""Interface of the upstream beside a node."""

import enum
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Result

from verbenadeck.model import Answer, Fence, Request, RequestId, ServiceName


class ColdStartState(msgspec.Struct, frozen=True):
    """For how long an upstream bears only few requests a second.

    Parameters
    ----------
    cold_until_s : float
        Moment on the boot clock from which it is warm.
    requests_per_s : float
        Requests a second that it bears until then.
    """

    cold_until_s: float = 0
    requests_per_s: float = 0


WARMED_UP = ColdStartState()
"""An upstream that bears requests in all its slots."""


class Announcement(msgspec.Struct, frozen=True):
    """What an upstream says of itself when it comes up.

    Parameters
    ----------
    service : ServiceName
        Service it provides.
    instance : str
        Identity of this life of the upstream; changes on every start.
    host : str
        IP address that takes requests.
    port : int
        TCP port that takes requests.
    slots : int
        Requests it can run at once when warm.
    connections : int
        Connections it can hold.
    bearable : int
        Requests it can run at once now; lower than `slots` while cold.
    cold_start : ColdStartState
        How cold it is.
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
    """Health and load as the upstream reports them; may lag or mislead.

    Parameters
    ----------
    is_healthy : bool
        Whether it says that it can serve.
    running : int
        Requests it says are running.
    bearable : int
        Requests it says it can run at once now.
    instance : str
        Identity of the life that reports.
    cold_start : ColdStartState
        How cold it is.
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
    """What an upstream left for the next holder of a range of keys.

    Parameters
    ----------
    first_key, last_key : int
        Keys of the range, both included.
    text : str
        Opaque text that saves the next holder a slow start.
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
        End on the boot clock that the processes of a VM share.
    """

    service: ServiceName
    shard_count: int
    ranges: tuple[GrantedRange, ...]
    deadline_s: float


class HeldRange(msgspec.Struct, frozen=True):
    """Keys that an upstream holds, or is to hold, under one fence.

    Parameters
    ----------
    first_key, last_key : int
        Keys of the range, both included.
    fence : Fence
        Fencing token.
    handover : str
        Text of the last holder, empty when there is none.
    """

    first_key: int
    last_key: int
    fence: Fence
    handover: str = ''


class HoldReport(msgspec.Struct, frozen=True):
    """What an upstream that asks for its grants says with each heartbeat.

    Parameters
    ----------
    instance : str
        Identity of the life that reports.
    held : tuple of HeldRange
        Keys that it holds or still works on.
    released : tuple of KeyHandover
        Keys that it released since its last answered heartbeat.
    """

    instance: str
    held: tuple[HeldRange, ...]
    released: tuple[KeyHandover, ...]


class HoldReply(msgspec.Struct, frozen=True):
    """All keys that such an upstream is to hold.

    Parameters
    ----------
    held : tuple of HeldRange
        The keys; it releases all others.
    hold_s : float
        Seconds for which it holds them, counted from its heartbeat.
    """

    held: tuple[HeldRange, ...]
    hold_s: float


class UpstreamDeparture(enum.Enum):
    """How an upstream leaves.

    `DRAINING` and `LEFT` are its own words: it takes no new requests soon,
    or at once. With `SILENT` nothing was heard for longer than any grant
    lasts.
    """

    DRAINING = 'draining'
    LEFT = 'left'
    SILENT = 'silent'


class UpstreamFailure(enum.Enum):
    """What is known about an order that an upstream did not answer."""

    NOT_SENT = 'not-sent'
    REFUSED = 'refused'
    SHED = 'shed'
    FENCED = 'fenced'
    COLD = 'cold'
    BROKEN = 'broken'


class UpstreamError(msgspec.Struct, frozen=True):
    """An order to the upstream failed.

    Parameters
    ----------
    failure : UpstreamFailure
        `NOT_SENT`, `REFUSED`, `SHED`, `FENCED` and `COLD` mean that the
        request did not run; `BROKEN` means that it may have run.
    detail : str
        One short sentence.
    retry_after_s : float
        Hint of the upstream, 0 when it gave none.
    bearable : int or None
        Requests it says it can run at once now, when it says so.
    """

    failure: UpstreamFailure
    detail: str
    retry_after_s: float = 0
    bearable: int | None = None


class UpstreamRequest(msgspec.Struct, frozen=True):
    """A request as it goes to the upstream.

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
    """Sends requests and control orders to the one upstream of a node."""

    def on_announce(self, listener: Callable[[Announcement], None]) -> None:
        """Register what is called with each announcement."""
        ...

    async def send(
        self, upstream_request: UpstreamRequest
    ) -> Result[Answer, UpstreamError]:
        """Send a request and return the complete answer."""
        ...

    async def cancel(self, request_id: RequestId) -> None:
        """Cancel a running request; no promise that it stops."""
        ...

    async def grant(self, grant: Grant) -> Result[None, UpstreamError]:
        """Replace what the upstream may serve."""
        ...

    async def drain(self) -> Result[None, UpstreamError]:
        """Ask the upstream to finish what runs and take nothing new."""
        ...

    async def report(self) -> Result[LoadReport, UpstreamError]:
        """Return health and load as the upstream reports them."""
        ...

    async def close(self) -> None:
        """Close connections."""
        ...
