"""Memory that the answers which callers have not read yet share."""

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

ConnectionT = TypeVar('ConnectionT', bound=Hashable)


@dataclass(slots=True)
class _Unread:
    """Unread bytes of one connection.

    Parameters
    ----------
    size_bytes : int
        Size when it was last measured.
    progress_at_s : float
        Time when it was last seen to shrink.
    """

    size_bytes: int
    progress_at_s: float


class UnreadAnswers(Generic[ConnectionT]):
    """Connections whose callers have not read their answers yet.

    Parameters
    ----------
    measure : callable
        Returns the unread bytes of a connection.
    max_connection_bytes : int
        Maximum size for one connection, in bytes.
    max_bytes : int
        Maximum size for all connections, in bytes.
    progress_timeout_s : float
        Time in seconds within which a caller must read some bytes.

    Examples
    --------
    >>> sizes = {'old': 60, 'new': 50}
    >>> unread = UnreadAnswers(
    ...     measure=sizes.__getitem__,
    ...     max_connection_bytes=90,
    ...     max_bytes=100,
    ...     progress_timeout_s=9,
    ... )
    >>> unread.add('old', 0)
    []
    >>> unread.add('new', 1)
    ['old']
    """

    def __init__(
        self,
        *,
        measure: Callable[[ConnectionT], int],
        max_connection_bytes: int,
        max_bytes: int,
        progress_timeout_s: float,
    ) -> None:
        self.max_connection_bytes = max_connection_bytes
        self.max_bytes = max_bytes
        self.progress_timeout_s = progress_timeout_s
        self._measure = measure
        self._unread: dict[ConnectionT, _Unread] = {}
        self._total_bytes = 0

    def __bool__(self) -> bool:
        return bool(self._unread)

    def add(self, connection: ConnectionT, now_s: float) -> list[ConnectionT]:
        """Add a connection and return those that exceed a limit of size.

        Parameters
        ----------
        connection : ConnectionT
            Connection whose caller has not read its answer.
        now_s : float
            Time in seconds.
        """
        size_bytes = self._measure(connection)
        unread = self._unread.setdefault(connection, _Unread(0, now_s))
        self._total_bytes += size_bytes - unread.size_bytes
        if size_bytes < unread.size_bytes:
            unread.progress_at_s = now_s
        unread.size_bytes = size_bytes
        if size_bytes > self.max_connection_bytes:
            self.remove(connection)
            return [connection]
        if self._total_bytes <= self.max_bytes:
            return []
        # Some may have been read since they were measured.
        self._measure_all(now_s)
        excess = []
        while self._total_bytes > self.max_bytes:
            largest = self._find_largest(now_s)
            self.remove(largest)
            excess.append(largest)
        return excess

    def remove(self, connection: ConnectionT) -> None:
        """Forget a connection whose answer was read, or which was lost.

        Parameters
        ----------
        connection : ConnectionT
            The connection; it may be unknown.
        """
        unread = self._unread.pop(connection, None)
        if unread is not None:
            self._total_bytes -= unread.size_bytes

    def take_largest(self, now_s: float) -> ConnectionT | None:
        """Return and forget the connection that holds most without progress.

        Parameters
        ----------
        now_s : float
            Time in seconds.

        Returns
        -------
        ConnectionT or None
            None if all answers have been read.
        """
        self._measure_all(now_s)
        if not self._total_bytes:
            return None
        largest = self._find_largest(now_s)
        self.remove(largest)
        return largest

    def take_stalled(self, now_s: float) -> list[ConnectionT]:
        """Return and forget the connections without progress for too long.

        Those whose answers have been read are forgotten as well.

        Parameters
        ----------
        now_s : float
            Time in seconds.
        """
        self._measure_all(now_s)
        read = [
            connection
            for connection, unread in self._unread.items()
            if not unread.size_bytes
        ]
        for connection in read:
            self.remove(connection)
        stalled = [
            connection
            for connection, unread in self._unread.items()
            if now_s - unread.progress_at_s >= self.progress_timeout_s
        ]
        for connection in stalled:
            self.remove(connection)
        return stalled

    def _measure_all(self, now_s: float) -> None:
        self._total_bytes = 0
        for connection, unread in self._unread.items():
            size_bytes = self._measure(connection)
            if size_bytes < unread.size_bytes:
                unread.progress_at_s = now_s
            unread.size_bytes = size_bytes
            self._total_bytes += size_bytes

    def _find_largest(self, now_s: float) -> ConnectionT:
        """Return the connection that holds most without progress."""

        def rank(connection: ConnectionT) -> tuple[float, int]:
            # Bytes and the time for which they are held count alike.
            unread = self._unread[connection]
            held_s = now_s - unread.progress_at_s
            return unread.size_bytes * held_s, unread.size_bytes

        return max(self._unread, key=rank)
