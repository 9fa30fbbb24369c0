"""What a connection has received of a request, and until when the rest is due."""

import enum
from typing import Protocol

from verbenadeck.entry._connection_limits import ConnectionLimits

_FRAMING_RATIO = 16
"""Bytes of chunk headers for each byte of a body: chunks of one byte take 5, and
more when their size has leading zeros or an extension."""


class Excess(enum.Enum):
    """Limit of size that the bytes of a request exceed."""

    HEAD = 'head'
    FRAMING = 'framing'


class Body(Protocol):
    """Body that has not arrived completely."""

    @property
    def total_raw_bytes(self) -> int:
        """Number of its bytes without chunk headers and trailers."""


class Arrival:
    """Head or body that a connection receives.

    Parameters
    ----------
    limits : ConnectionLimits
        Limits of the connection.

    Attributes
    ----------
    body : Body or None
        Body that has not arrived completely; without one a head is due.
    due_s : float or None
        Time in seconds by which more must have arrived; None before the first
        byte of a head.
    """

    __slots__ = ('_limits', '_received_bytes', 'body', 'due_s')

    def __init__(self, limits: ConnectionLimits) -> None:
        self.body: Body | None = None
        self.due_s: float | None = None
        self._limits = limits
        # With chunk headers and trailers, if it is a body.
        self._received_bytes = 0

    @property
    def head_bytes(self) -> int:
        """Number of bytes of a head that is not complete."""
        return 0 if self.body is not None else self._received_bytes

    def expect_head(self, received_bytes: int = 0) -> None:
        """Note that a request is complete.

        Parameters
        ----------
        received_bytes : int
            Number of bytes that follow it.
        """
        self.body = None
        self.due_s = None
        self._received_bytes = received_bytes

    def expect_body(self, body: Body) -> None:
        """Note that the head of a request with a body is complete.

        Parameters
        ----------
        body : Body
            The body.
        """
        self.body = body
        self._received_bytes = 0

    def add(self, size_bytes: int) -> None:
        """Count received bytes.

        Parameters
        ----------
        size_bytes : int
            Number of bytes.
        """
        self._received_bytes += size_bytes

    def find_excess(self) -> Excess | None:
        """Return the limit that is exceeded, if any."""
        limits = self._limits
        body = self.body
        if body is None:
            is_large = self._received_bytes > limits.head_limit_bytes
            return Excess.HEAD if is_large else None
        framing_bytes = (
            self._received_bytes - _FRAMING_RATIO * body.total_raw_bytes
        )
        is_large = framing_bytes > limits.framing_limit_bytes
        return Excess.FRAMING if is_large else None

    def update_due(self, now_s: float) -> None:
        """Update the time by which more is due, after bytes have arrived.

        Parameters
        ----------
        now_s : float
            Time in seconds.
        """
        if self.body is not None:
            self.due_s = now_s + self._limits.idle_timeout_s
        elif self._received_bytes and self.due_s is None:
            self.due_s = now_s + self._limits.header_timeout_s

    def restart_due(self, now_s: float) -> None:
        """Give what is due its whole time again.

        Parameters
        ----------
        now_s : float
            Time in seconds.
        """
        self.due_s = None
        self.update_due(now_s)
