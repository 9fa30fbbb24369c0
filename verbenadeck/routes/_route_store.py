"""What this node believes that operators have published."""

from collections.abc import Callable

from loguru import logger

from verbenadeck.routes._table import OperatorState, Route, RouteTable

_log = logger.bind(part='routes')
Listener = Callable[[OperatorState], None]


class RouteStore:
    """Newest published state; versions never go back.

    Attributes
    ----------
    state : OperatorState or None
        The state, None until one is known.
    """

    def __init__(self) -> None:
        self.state: OperatorState | None = None
        self._table = RouteTable(())
        self._listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> None:
        """Call a listener with each new state."""
        self._listeners.append(listener)

    def update(self, state: OperatorState) -> None:
        """Believe a state unless a newer version is known."""
        known = self.state
        if known is not None and state.version < known.version:
            _log.warning(
                'version {} is older than {}, ignored',
                state.version,
                known.version,
            )
            return
        if known is None or state.version != known.version:
            self._table = RouteTable(state.routes)
            _log.info(
                'version {} in force, {} routes, {} services',
                state.version,
                len(state.routes),
                len(state.services),
            )
        if known is None or state.zones_out != known.zones_out:
            _log.info('zones out: {}', sorted(state.zones_out))
        self.state = state
        for listener in self._listeners:
            listener(state)

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a host and a path, None without one."""
        return self._table.find(host, target)
