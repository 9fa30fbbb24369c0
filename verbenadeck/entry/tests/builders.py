"""Builders of entry servers for tests."""

import math
import random
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from types import MappingProxyType

import aiohttp
import msgspec
from returns.result import Result

from verbenadeck.adapters import (
    CALLER_FORMATS,
    STANDIN_FORMAT,
    CallerFormat,
    CallerRequest,
)
from verbenadeck.entry import EntryOptions, EntryServer, make_request_reader
from verbenadeck.model import Refusal, ServiceName, ServicePolicy
from verbenadeck.router import Router
from verbenadeck.utils import Clock

BODY_LIMIT_BYTES = 1000
_STANDIN_CALLERS = CALLER_FORMATS[STANDIN_FORMAT]
_POLICIES = MappingProxyType(
    {
        'catalogue': ServicePolicy(is_keyed=True),
        'holds': ServicePolicy(),
    }
)


def _find_policy(service: ServiceName) -> ServicePolicy | None:
    return _POLICIES.get(service)


def make_entry(
    router: Router,
    *,
    refuses_when_stopping: bool = False,
    caller_format: CallerFormat = _STANDIN_CALLERS,
    latest_deadline_s: Callable[[], float] = lambda: math.inf,
    **other_options: object,
) -> EntryServer:
    """Make an entry server on a free port in front of a router."""
    clock = Clock()
    read_request = make_request_reader(
        policy_of=_find_policy,
        clock=clock,
        source=random.Random(1),
        latest_deadline_s=latest_deadline_s,
    )
    return EntryServer(
        router=router,
        read_request=read_request,
        caller_format=caller_format,
        clock=clock,
        options=EntryOptions(
            body_limit_bytes=BODY_LIMIT_BYTES,
            close_after_s=0.05,
            refuses_when_stopping=refuses_when_stopping,
        ),
        **other_options,  # type: ignore[arg-type]
    )


def make_reporting_format(
    on_refused: Callable[[str], None],
) -> CallerFormat:
    """Make a caller format that reports the paths of refused requests."""

    def add_callback(caller_request: CallerRequest) -> CallerRequest:
        return msgspec.structs.replace(
            caller_request,
            on_refused=lambda: on_refused(caller_request.path),
        )

    def read_call(
        target: str, headers: Iterable[tuple[str, str]]
    ) -> Result[CallerRequest, Refusal]:
        return _STANDIN_CALLERS.read_call(target, headers).map(add_callback)

    return _STANDIN_CALLERS._replace(read_call=read_call)


@asynccontextmanager
async def serving(entry: EntryServer) -> AsyncIterator[aiohttp.ClientSession]:
    """Start an entry server and yield an HTTP session with its base URL."""
    await entry.start()
    async with aiohttp.ClientSession(
        f'http://127.0.0.1:{entry.port}'
    ) as session:
        yield session
        await entry.stop()
