"""Interface of the proxy, the only sender to its upstream."""

from typing import Protocol

import msgspec

from verbenadeck.model import AnswerResult, AttemptId, Request
from verbenadeck.peers import PeerAddress
from verbenadeck.proxy._waiter import LOCAL_ORIGIN


class ProxyLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a proxy, sent with every answer.

    Parameters
    ----------
    running, queued : int
        Number of slots in use and of requests in the queue.
    limit : int
        Concurrency limit in force.
    service_time_s : float
        Smoothed service time of the upstream, in seconds.
    is_admitting : bool
        Whether the proxy admits new requests.
    is_measured : bool
        Whether the service time was measured; otherwise it is a guess.
    success_share : float
        Share of recent sends to the upstream that ended with an answer of a
        status below 500, from 0 to 1.
    """

    running: int
    queued: int
    limit: int
    service_time_s: float
    is_admitting: bool
    is_measured: bool = True
    success_share: float = 1.0


class Proxy(Protocol):
    """Interface that admits requests to the upstream of a node."""

    async def admit(
        self,
        attempt_id: AttemptId,
        request: Request,
        *,
        origin: PeerAddress = LOCAL_ORIGIN,
    ) -> AnswerResult:
        """Answer a request; never run the same attempt or request id twice."""
        ...

    async def cancel(self, attempt_id: AttemptId) -> None:
        """Cancel an attempt that no caller waits for."""
        ...

    @property
    def load(self) -> ProxyLoad:
        """Current load of the proxy."""
        ...
