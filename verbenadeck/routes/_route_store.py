"""Newest operator state that this node has received."""

from collections.abc import Callable

from loguru import logger

from verbenadeck.routes._table import OperatorState, Route, RouteTable

_log = logger.bind(part='routes')
StateListener = Callable[[OperatorState], None]
"""Function that is called with each operator state that is accepted."""


class RouteStore:
    """Store of the newest operator state; its version never decreases.

    Attributes
    ----------
    state : OperatorState or None
        The state; None until one is received.
    """

    def __init__(self) -> None:
        self.state: OperatorState | None = None
        self._table = RouteTable(())
        self._listeners: list[StateListener] = []

    def subscribe(self, listener: StateListener) -> None:
        """Register a function that is called with each accepted state.

        Parameters
        ----------
        listener : callable
            Called with the state.
        """
        self._listeners.append(listener)

    def update(self, state: OperatorState) -> None:
        """Replace the state unless a newer version is known.

        Parameters
        ----------
        state : OperatorState
            Received state.
        """
        known = self.state
        if known is not None and state.version < known.version:
            _log.warning(
                'ignoring routes version {}, older than current version {}',
                state.version,
                known.version,
            )
            return
        if known is None or state.version != known.version:
            self._table = RouteTable(state.routes)
            _log.info(
                'using routes version {} with {} routes and {} services',
                state.version,
                len(state.routes),
                len(state.services),
            )
        if known is None or state.zones_out != known.zones_out:
            _log.info('zones out of service: {}', sorted(state.zones_out))
        self.state = state
        for listener in self._listeners:
            listener(state)

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a host and a path.

        Parameters
        ----------
        host : str
            Host in lower case.
        target : str
            Path of the request, with or without query.

        Returns
        -------
        Route or None
            None if no route matches.
        """
        return self._table.find(host, target)
