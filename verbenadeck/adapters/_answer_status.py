"""HTTP connections that fail answers without a valid final status."""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from verbenadeck.model import is_final_status

INTERIM_STATUSES = frozenset(range(100, 200)) - {101}
"""Statuses of heads that come before the head of the answer."""


class InvalidAnswerError(aiohttp.ClientError):
    """Failure of an answer that has no valid final status."""


class CheckedProtocol(ResponseHandler):
    """Connection that fails an answer without a valid final status.

    It is not used again after one.
    """

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Queue a parsed head, or fail the answer.

        Parameters
        ----------
        data : tuple of RawResponseMessage and StreamReader
            Head and the body that belongs to it.
        size : int
            Not used.
        """
        if self.exception() is not None:
            # A head after an invalid one must not become the answer.
            return
        fault = _find_status_fault(data[0])
        if fault is None:
            super().feed_data(data, size)
        else:
            self.set_exception(InvalidAnswerError(fault))


def _make_protocol(loop: asyncio.AbstractEventLoop) -> ResponseHandler:
    return CheckedProtocol(loop)


class CheckedConnector(aiohttp.TCPConnector):
    """Pool of connections of type `CheckedProtocol`.

    Parameters
    ----------
    **options
        Options of the pool, as of `aiohttp.TCPConnector`.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # aiohttp has no public option for the protocol of its connections.
        self._factory = functools.partial(_make_protocol, loop=self._loop)


def _find_status_fault(head: RawResponseMessage) -> str | None:
    """Return why the status of a head is not valid, None if it is.

    An interim head has no body; aiohttp would skip one and wait for another
    head until the deadline.
    """
    if head.code in INTERIM_STATUSES:
        return f'status {head.code} has a body' if _has_body(head) else None
    if is_final_status(head.code):
        return None
    return f'status {head.code:03} is not final'


def _has_body(head: RawResponseMessage) -> bool:
    length = head.headers.get('Content-Length', '0')
    return length != '0' or 'Transfer-Encoding' in head.headers
