"""Formats by name, as the settings choose them."""

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple, Protocol

from returns.result import Result

from verbenadeck.adapters import wire
from verbenadeck.adapters._announce import AnnounceError
from verbenadeck.adapters._caller_calls import (
    OutgoingCall,
    OwnerHint,
    read_answer,
    read_owner_hint,
    write_call,
    write_owner_hint,
)
from verbenadeck.adapters._caller_headers import (
    CallerAnswer,
    CallerRequest,
    read_call,
    write_answer,
    write_refusal,
)
from verbenadeck.adapters._http_headers import Headers
from verbenadeck.adapters._log import LogAdapter
from verbenadeck.adapters._log_http import LogHttpAdapter
from verbenadeck.adapters._upstream import UpstreamAdapter
from verbenadeck.adapters._upstream_http import UpstreamHttpAdapter
from verbenadeck.model import Answer, AnswerResult, Refusal, RequestId
from verbenadeck.utils import Clock

STANDIN_FORMAT = 'standin'


class AnnouncedUpstream(UpstreamAdapter, Protocol):
    """Upstream adapter that the admin server hands announcements to."""

    def announce(
        self, body: bytes
    ) -> Result[wire.AnnounceReply, AnnounceError]:
        """Take in the body of a `POST /announce`."""
        ...


CallResult = Result[CallerRequest, Refusal]
HeaderPairs = Iterable[tuple[str, str]]
WrittenCall = Result[tuple[str, Headers], Refusal]


class CallerFormat(NamedTuple):
    """Vocabulary towards callers, for the entry and for the client."""

    read_call: Callable[[str, HeaderPairs], CallResult]
    write_answer: Callable[[Answer, RequestId], CallerAnswer]
    write_refusal: Callable[[Refusal, RequestId | None], CallerAnswer]
    write_owner_hint: Callable[[OwnerHint], tuple[str, str]]
    write_call: Callable[[OutgoingCall], WrittenCall]
    read_answer: Callable[[int, Headers, bytes], AnswerResult]
    read_owner_hint: Callable[[HeaderPairs], OwnerHint | None]


class LogAdapterFactory(Protocol):
    """Makes the adapter to one stream of a log."""

    def __call__(self, *, url: str, stream: str, clock: Clock) -> LogAdapter:
        """Return the adapter; it connects when first used."""
        ...


class UpstreamAdapterFactory(Protocol):
    """Makes the adapter to the upstream of a node."""

    def __call__(self, *, clock: Clock) -> AnnouncedUpstream:
        """Return the adapter; it waits for an announcement."""
        ...


LOG_ADAPTERS: Mapping[str, LogAdapterFactory] = MappingProxyType(
    {
        STANDIN_FORMAT: LogHttpAdapter,
    }
)
UPSTREAM_ADAPTERS: Mapping[str, UpstreamAdapterFactory] = MappingProxyType(
    {
        STANDIN_FORMAT: UpstreamHttpAdapter,
    }
)
CALLER_FORMATS: Mapping[str, CallerFormat] = MappingProxyType(
    {
        STANDIN_FORMAT: CallerFormat(
            read_call=read_call,
            write_answer=write_answer,
            write_refusal=write_refusal,
            write_owner_hint=write_owner_hint,
            write_call=write_call,
            read_answer=read_answer,
            read_owner_hint=read_owner_hint,
        ),
    }
)
