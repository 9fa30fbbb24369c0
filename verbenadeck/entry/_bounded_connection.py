"""HTTP server connection that keeps little of bytes that are no request."""

from aiohttp import web
from aiohttp.http import RawRequestMessage
from loguru import logger

_log = logger.bind(part='entry')

_PIECE_BYTES = 4096
"""Number of bytes parsed at a time. The error of bytes that are no request
takes ten times their memory, and one read brings up to 256 KiB."""

_MAX_DETAIL_LENGTH = 300
_BAD_REQUEST = 400


class BoundedConnection(web.RequestHandler):
    """Connection that stops at the first bytes that are no request.

    Parameters
    ----------
    *given, **named
        As for `aiohttp.web.RequestHandler`.
    """

    __slots__ = ()

    def data_received(self, data: bytes) -> None:
        """Parse bytes in pieces, up to the first that are no request.

        Parameters
        ----------
        data : bytes
            Bytes received.
        """
        if not data:
            # aiohttp goes on after a pause.
            super().data_received(data)
        for start in range(0, len(data), _PIECE_BYTES):
            if self._is_refused():
                return
            super().data_received(data[start : start + _PIECE_BYTES])

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to bytes that are no request, without the bytes.

        Parameters
        ----------
        request : aiohttp.web.BaseRequest
            Stands for the request that could not be read.
        status : int
            Status of the answer.
        exc : BaseException or None
            Error, which may contain all bytes that could not be parsed.
        message : str or None
            Its text.
        """
        if status != _BAD_REQUEST:
            return super().handle_error(request, status, exc, message)
        detail = repr(exc)[:_MAX_DETAIL_LENGTH]
        _log.warning('no request from {}: {}', request.remote, detail)
        response = web.Response(status=status, text='malformed request')
        response.force_close()
        return response

    def _is_refused(self) -> bool:
        # aiohttp queues an error in place of a request.
        return bool(self._messages) and not isinstance(
            self._messages[-1][0], RawRequestMessage
        )
