"""Interface of the door, the only sender to its upstream."""

from typing import Protocol

import msgspec

from verbenadeck.model import AnswerResult, AttemptId, Request


class ProxyLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a door, sent along with every answer.

    Parameters
    ----------
    running, queued : int
        Requests that run and that wait.
    limit : int
        Concurrency limit in force.
    service_time_s : float
        Smoothed time that the upstream takes for a request.
    is_admitting : bool
        Whether the door takes new work.
    """

    running: int
    queued: int
    limit: int
    service_time_s: float
    is_admitting: bool


class Proxy(Protocol):
    """Admits requests to the upstream beside this node."""

    async def admit(
        self, attempt_id: AttemptId, request: Request
    ) -> AnswerResult:
        """Answer a request; the same attempt or id never runs twice."""
        ...

    async def cancel(self, attempt_id: AttemptId) -> None:
        """Give up an attempt that nobody waits for."""
        ...

    @property
    def load(self) -> ProxyLoad:
        """Load of the door now."""
        ...
