"""Requests as the router and the door see them."""

import msgspec

from verbenadeck.model._ids import RequestId, ServiceName


class Request(msgspec.Struct, frozen=True):
    """One caller's request with its deadline on this VM's clock.

    Parameters
    ----------
    request_id : RequestId
        Idempotency key, from the caller or minted by the entry.
    service : ServiceName
        Service that is asked.
    key : str or None
        Key, for services divided by key.
    method : str
        HTTP method in upper case.
    path : str
        Path and query as the upstream gets them.
    headers : tuple of (str, str)
        End-to-end headers.
    body : bytes
        Whole body.
    is_repeatable : bool
        Whether the request may run more than once.
    deadline_s : float
        Moment on the clock of this VM after which no answer is of use.
    max_sends : int
        Most upstreams that the request may reach; 0 sets no bound.
    priority : int
        Urgency; 0 is the most urgent.
    objective_at_s : float
        Moment on the clock of this VM up to which an answer is worth most;
        0 stands for the deadline.
    """

    request_id: RequestId
    service: ServiceName
    key: str | None
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_repeatable: bool
    deadline_s: float
    max_sends: int = 0
    priority: int = 0
    objective_at_s: float = 0
