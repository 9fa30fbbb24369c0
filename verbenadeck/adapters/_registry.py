"""Adapters and formats by the name that the settings give."""

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
    """Upstream adapter that handles announcements of its upstream."""

    def announce(
        self, body: bytes
    ) -> Result[wire.AnnounceReply, AnnounceError]:
        """Apply an announcement of the upstream.

        Parameters
        ----------
        body : bytes
            Body of a `POST /announce` to the admin server.
        """
        ...


CallResult = Result[CallerRequest, Refusal]
HeaderPairs = Iterable[tuple[str, str]]
WrittenCallResult = Result[tuple[str, Headers], Refusal]


class CallerFormat(NamedTuple):
    """Functions that encode and decode calls, for the entry and the client.

    Attributes
    ----------
    read_call : callable
        Returns the request in a path and headers; used by the entry.
    write_answer : callable
        Returns the response for an answer; used by the entry.
    write_refusal : callable
        Returns the response for a refusal; used by the entry.
    write_owner_hint : callable
        Returns the header for an owner hint; used by the entry.
    write_call : callable
        Returns the path and headers of a call; used by the client.
    read_answer : callable
        Returns the answer or refusal in a response; used by the client.
    read_owner_hint : callable
        Returns the owner hint in headers, if any; used by the client.
    """

    read_call: Callable[[str, HeaderPairs], CallResult]
    write_answer: Callable[[Answer, RequestId], CallerAnswer]
    write_refusal: Callable[[Refusal, RequestId | None], CallerAnswer]
    write_owner_hint: Callable[[OwnerHint], tuple[str, str]]
    write_call: Callable[[OutgoingCall], WrittenCallResult]
    read_answer: Callable[[int, Headers, bytes], AnswerResult]
    read_owner_hint: Callable[[HeaderPairs], OwnerHint | None]


class LogAdapterFactory(Protocol):
    """Function that makes the adapter to one stream of a log."""

    def __call__(self, *, url: str, stream: str, clock: Clock) -> LogAdapter:
        """Return the adapter; it connects with the first call.

        Parameters
        ----------
        url : str
            Base URL of the log.
        stream : str
            Name of the stream.
        clock : Clock
            Clock of the VM.
        """
        ...


class UpstreamAdapterFactory(Protocol):
    """Function that makes the adapter to the upstream of a node."""

    def __call__(self, *, clock: Clock) -> AnnouncedUpstream:
        """Return the adapter; it sends nothing before an announcement.

        Parameters
        ----------
        clock : Clock
            Clock of the VM.
        """
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
