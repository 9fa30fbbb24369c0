"""Memory that the requests which have not arrived completely share."""

from collections.abc import Hashable
from typing import Generic, TypeVar

ConnectionT = TypeVar('ConnectionT', bound=Hashable)


class PartialRequests(Generic[ConnectionT]):
    """Bytes of heads that are not complete, and of requests not parsed yet.

    Above the limit the oldest one ends: a head usually arrives at once.

    Parameters
    ----------
    max_bytes : int
        Maximum size for all connections, in bytes.

    Attributes
    ----------
    max_bytes : int
        The same size; it may change.

    Examples
    --------
    >>> partial = PartialRequests(max_bytes=100)
    >>> partial.hold('old', 60), partial.hold('new', 30)
    ([], [])
    >>> partial.hold('new', 50)
    ['old']
    """

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        # The keys of a dict keep their order, so the oldest one is the first.
        self._sizes_bytes: dict[ConnectionT, int] = {}
        self._total_bytes = 0

    def hold(
        self, connection: ConnectionT, size_bytes: int
    ) -> list[ConnectionT]:
        """Count the bytes of a connection; return the ones that must end.

        Parameters
        ----------
        connection : ConnectionT
            Connection that received bytes.
        size_bytes : int
            Number of bytes that it holds now.
        """
        self._total_bytes += size_bytes - self._sizes_bytes.get(connection, 0)
        self._sizes_bytes[connection] = size_bytes
        excess = []
        while self._total_bytes > self.max_bytes:
            oldest = next(iter(self._sizes_bytes))
            self.release(oldest)
            excess.append(oldest)
        return excess

    def release(self, connection: ConnectionT) -> None:
        """Forget a connection whose request is complete, or which was lost.

        Parameters
        ----------
        connection : ConnectionT
            The connection; it may be unknown.
        """
        self._total_bytes -= self._sizes_bytes.pop(connection, 0)
