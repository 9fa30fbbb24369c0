"""Choice of the connections that end when there are too many."""

from collections.abc import Hashable
from typing import Generic, TypeVar

ConnectionT = TypeVar('ConnectionT', bound=Hashable)


class OpenConnections(Generic[ConnectionT]):
    """Open connections by what they do, with a limit of their number.

    Above the limit a connection without a request in progress ends: first
    the oldest one that never sent a whole request, then the one idle for
    longest. A request whose body has not arrived does not run yet.

    Parameters
    ----------
    max_connections : int
        Maximum number of connections.

    Attributes
    ----------
    max_connections : int
        The same number; it may change.

    Examples
    --------
    >>> connections = OpenConnections(max_connections=2)
    >>> connections.add('used'), connections.add('silent')
    (None, None)
    >>> connections.mark_busy('used')
    >>> connections.mark_idle('used')
    >>> connections.add('new')
    'silent'
    """

    def __init__(self, *, max_connections: int) -> None:
        self.max_connections = max_connections
        # The keys of a dict keep their order and are removed at once.
        self._silent: dict[ConnectionT, None] = {}
        self._idle: dict[ConnectionT, None] = {}
        self._busy: set[ConnectionT] = set()

    def __len__(self) -> int:
        return len(self._silent) + len(self._idle) + len(self._busy)

    def add(self, connection: ConnectionT) -> ConnectionT | None:
        """Add a connection and return the one that must end, if any.

        Parameters
        ----------
        connection : ConnectionT
            New connection; it is returned itself when all others are busy.
        """
        excess = None
        if len(self) >= self.max_connections:
            excess = next(iter(self._silent or self._idle), connection)
            self.remove(excess)
        if excess != connection:
            self._silent[connection] = None
        return excess

    def remove(self, connection: ConnectionT) -> None:
        """Forget a connection that has ended.

        Parameters
        ----------
        connection : ConnectionT
            The connection; it may be unknown.
        """
        self._silent.pop(connection, None)
        self._idle.pop(connection, None)
        self._busy.discard(connection)

    def mark_busy(self, connection: ConnectionT) -> None:
        """Note that a request of a connection is in progress.

        Parameters
        ----------
        connection : ConnectionT
            Connection that was added.
        """
        self.remove(connection)
        self._busy.add(connection)

    def mark_idle(self, connection: ConnectionT) -> None:
        """Note that the answer of a connection has been written.

        Parameters
        ----------
        connection : ConnectionT
            Connection; it has no effect for one that has ended.
        """
        if connection in self._busy:
            self._busy.remove(connection)
            self._idle[connection] = None
