"""Builders of test data for the stand-ins."""

from collections.abc import Callable

from verbenadeck.adapters.wire import GrantBody, RangeBody
from verbenadeck.standins import RequestFields, UpstreamOptions, UpstreamState
from verbenadeck.utils import Clock


class CrashedError(Exception):
    """Raised where the process would exit."""


def crash_in_test() -> None:
    """Raise `CrashedError` instead of ending the process."""
    raise CrashedError


def build_state(
    clock: Clock,
    options: UpstreamOptions,
    *,
    crash: Callable[[], None] = crash_in_test,
) -> UpstreamState:
    """Return a state whose crash raises `CrashedError` by default."""
    return UpstreamState(options, clock=clock, crash=crash)


def build_options(**changes: object) -> UpstreamOptions:
    """Return options with some fields changed."""
    fields = {'service': 'catalogue', 'instance': 'instance-1', **changes}
    return UpstreamOptions(**fields)  # type: ignore[arg-type]


def build_request_fields(
    *,
    request_id: str = 'id-1',
    instance: str = 'instance-1',
    shard: int = -1,
    fence: int = -1,
    deadline_s: float = 1e9,
    path: str = '/oven-17',
) -> RequestFields:
    """Return the fields of a request without key and fence by default."""
    return RequestFields(request_id, instance, shard, fence, deadline_s, path)


def build_grant(
    sequence: int,
    *,
    first_shard: int = 0,
    stop_shard: int = 10,
    fence: int = 5,
    deadline_s: float = 1,
) -> GrantBody:
    """Return a grant of one range of shards."""
    ranges = (RangeBody(first_shard, stop_shard, fence),)
    return GrantBody(sequence, 'catalogue', 64, ranges, deadline_s)
