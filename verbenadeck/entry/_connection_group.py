"""State that all connections of one server share."""

import asyncio
from typing import Protocol

from verbenadeck.entry._connection_limits import ConnectionLimits
from verbenadeck.entry._limit_reports import Count, LimitReports
from verbenadeck.entry._open_connections import OpenConnections
from verbenadeck.entry._partial_requests import PartialRequests
from verbenadeck.entry._unread_answers import UnreadAnswers
from verbenadeck.utils import Clock

_SWEEP_INTERVAL_S = 1.0


class BoundedPeer(Protocol):
    """Connection as its group sees it."""

    def __hash__(self) -> int:
        """Return the same number for the same connection."""

    @property
    def unread_bytes(self) -> int:
        """Size of the answers that the caller has not read, in bytes."""

    def abort(self) -> None:
        """Close the connection at once, without what is unread."""


class ConnectionGroup:
    """Connections of one server and the memory that they share.

    Parameters
    ----------
    limits : ConnectionLimits
        Limits of the connections that open next, and of all together.
    count : callable
        Adds one to the counter with the given name.
    clock : Clock
        Clock of this VM.

    Attributes
    ----------
    reports : LimitReports
        Counters and log lines of clients that exceed limits.
    """

    def __init__(
        self, limits: ConnectionLimits, *, count: Count, clock: Clock
    ) -> None:
        self.reports = LimitReports(count=count, clock=clock)
        self._clock = clock
        self._limits = limits
        self._open = OpenConnections[BoundedPeer](
            max_connections=limits.max_connections
        )
        self._partial = PartialRequests[BoundedPeer](
            max_bytes=limits.partial_heads_limit_bytes
        )
        self._unread = UnreadAnswers[BoundedPeer](
            measure=lambda peer: peer.unread_bytes,
            max_connection_bytes=limits.unread_answer_limit_bytes,
            max_bytes=limits.unread_answers_limit_bytes,
            progress_timeout_s=limits.answer_progress_timeout_s,
        )
        self._is_sweep_due = False

    @property
    def limits(self) -> ConnectionLimits:
        """Limits of the connections that open next."""
        return self._limits

    def apply_limits(self, limits: ConnectionLimits) -> None:
        """Replace the limits.

        Parameters
        ----------
        limits : ConnectionLimits
            New limits; those of one head and its time hold for connections
            that open from now on.
        """
        self._limits = limits
        self._open.max_connections = limits.max_connections
        self._partial.max_bytes = limits.partial_heads_limit_bytes
        self._unread.max_connection_bytes = limits.unread_answer_limit_bytes
        self._unread.max_bytes = limits.unread_answers_limit_bytes
        self._unread.progress_timeout_s = limits.answer_progress_timeout_s

    def join(self, peer: BoundedPeer) -> None:
        """Add a new connection; close one if there are too many.

        When all others have requests in progress, one ends whose caller does
        not read its answer; without any, the new one.

        Parameters
        ----------
        peer : BoundedPeer
            The connection.
        """
        excess = self._open.add(peer)
        if excess is peer:
            unread = self._unread.take_largest(self._clock.now_s())
            if unread is not None:
                self._open.remove(unread)
                self._open.add(peer)
                excess = unread
        if excess is not None:
            self._close('clients_closed_connections', excess)

    def leave(self, peer: BoundedPeer) -> None:
        """Forget a connection that has ended.

        Parameters
        ----------
        peer : BoundedPeer
            The connection.
        """
        self._open.remove(peer)
        self._partial.release(peer)
        self._unread.remove(peer)

    def mark_busy(self, peer: BoundedPeer) -> None:
        """Note that a request of a connection is in progress.

        Parameters
        ----------
        peer : BoundedPeer
            The connection.
        """
        self._open.mark_busy(peer)

    def mark_idle(self, peer: BoundedPeer) -> None:
        """Note that a connection waits for its next request.

        Parameters
        ----------
        peer : BoundedPeer
            The connection.
        """
        self._open.mark_idle(peer)

    def hold_partial(self, peer: BoundedPeer, size_bytes: int) -> None:
        """Count the bytes of a request that has not arrived completely.

        Parameters
        ----------
        peer : BoundedPeer
            The connection.
        size_bytes : int
            Number of bytes that it holds now.
        """
        if not size_bytes:
            self._partial.release(peer)
            return
        for excess in self._partial.hold(peer, size_bytes):
            self._close('clients_closed_partial_heads', excess)

    def note_unread(self, peer: BoundedPeer) -> None:
        """Watch a connection whose caller has not read its whole answer.

        Parameters
        ----------
        peer : BoundedPeer
            The connection.
        """
        for excess in self._unread.add(peer, self._clock.now_s()):
            self._close('clients_closed_unread_answers', excess)
        if self._unread and not self._is_sweep_due:
            self._schedule_sweep()

    def _schedule_sweep(self) -> None:
        self._is_sweep_due = True
        asyncio.get_running_loop().call_later(_SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        self._is_sweep_due = False
        for stalled in self._unread.take_stalled(self._clock.now_s()):
            self._close('clients_closed_slow_answers', stalled)
        if self._unread:
            self._schedule_sweep()

    def _close(self, kind: str, peer: BoundedPeer) -> None:
        self.reports.report(
            kind, f'closed {peer} with {peer.unread_bytes} bytes unread'
        )
        peer.abort()
