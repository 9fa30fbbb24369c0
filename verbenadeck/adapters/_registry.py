"""Formats by name, as the settings choose them."""

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple, Protocol

from returns.result import Result

from verbenadeck.adapters import wire
from verbenadeck.adapters._announce import AnnounceError
from verbenadeck.adapters._caller_headers import (
    CallerAnswer,
    CallerFields,
    read_call,
    write_answer,
    write_refusal,
)
from verbenadeck.adapters._log import LogAdapter
from verbenadeck.adapters._log_http import LogHttpAdapter
from verbenadeck.adapters._upstream import UpstreamAdapter
from verbenadeck.adapters._upstream_http import UpstreamHttpAdapter
from verbenadeck.model import Answer, Refusal, RequestId
from verbenadeck.utils import Clock

STANDIN_FORMAT = 'standin'


class AnnouncedUpstream(UpstreamAdapter, Protocol):
    """Upstream adapter that the admin server hands announcements to."""

    def announce(
        self, body: bytes
    ) -> Result[wire.AnnounceReply, AnnounceError]:
        """Take in the body of a `POST /announce`."""
        ...


CallResult = Result[CallerFields, Refusal]
HeaderPairs = Iterable[tuple[str, str]]


class CallerFormat(NamedTuple):
    """Vocabulary towards callers."""

    read_call: Callable[[str, HeaderPairs], CallResult]
    write_answer: Callable[[Answer, RequestId], CallerAnswer]
    write_refusal: Callable[[Refusal, RequestId | None], CallerAnswer]


class LogMaker(Protocol):
    """Makes the adapter to one stream of a log."""

    def __call__(self, *, url: str, stream: str, clock: Clock) -> LogAdapter:
        """Return the adapter; it connects when first used."""
        ...


class UpstreamMaker(Protocol):
    """Makes the adapter to the upstream of a node."""

    def __call__(self, *, clock: Clock) -> AnnouncedUpstream:
        """Return the adapter; it waits for an announcement."""
        ...


LOG_FORMATS: Mapping[str, LogMaker] = MappingProxyType(
    {
        STANDIN_FORMAT: LogHttpAdapter,
    }
)
UPSTREAM_FORMATS: Mapping[str, UpstreamMaker] = MappingProxyType(
    {
        STANDIN_FORMAT: UpstreamHttpAdapter,
    }
)
CALLER_FORMATS: Mapping[str, CallerFormat] = MappingProxyType(
    {
        STANDIN_FORMAT: CallerFormat(read_call, write_answer, write_refusal),
    }
)
