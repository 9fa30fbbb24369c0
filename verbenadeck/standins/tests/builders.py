"""Builders of test data for the stand-ins."""

from collections.abc import Callable

from verbenadeck.adapters.wire import GrantBody, RangeBody
from verbenadeck.standins import OrderFields, UpstreamOptions, UpstreamState
from verbenadeck.utils import Clock


class CrashedError(Exception):
    """Stands for the end of the process."""


def crash_in_test() -> None:
    """Raise in place of ending the process."""
    raise CrashedError


def build_state(
    clock: Clock,
    options: UpstreamOptions,
    *,
    crash: Callable[[], None] = crash_in_test,
) -> UpstreamState:
    return UpstreamState(options, clock=clock, crash=crash)


def build_options(**changes: object) -> UpstreamOptions:
    fields = {'service': 'catalogue', 'instance': 'life-1', **changes}
    return UpstreamOptions(**fields)  # type: ignore[arg-type]


def build_fields(
    *,
    request_id: str = 'id-1',
    instance: str = 'life-1',
    shard: int = -1,
    fence: int = -1,
    deadline_s: float = 1e9,
    path: str = '/oven-17',
) -> OrderFields:
    return OrderFields(request_id, instance, shard, fence, deadline_s, path)


def build_grant(
    sequence: int,
    *,
    first_shard: int = 0,
    stop_shard: int = 10,
    fence: int = 5,
    deadline_s: float = 1,
) -> GrantBody:
    ranges = (RangeBody(first_shard, stop_shard, fence),)
    return GrantBody(sequence, 'catalogue', 64, ranges, deadline_s)
