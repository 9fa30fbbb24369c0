"""Departure of the instance beside a node, for those who must act on it."""

from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from verbenadeck.adapters import UpstreamDeparture

_log = logger.bind(part='upstream')


class _Departure(NamedTuple):
    instance: str
    how: UpstreamDeparture


class DepartureNotices:
    """Notices of each departure, once for each session to the instance.

    Attributes
    ----------
    is_departing : bool
        Whether the instance of the present session departs.
    """

    def __init__(self) -> None:
        self.is_departing = False
        self._received: _Departure | None = None
        self._listeners: list[Callable[[UpstreamDeparture], None]] = []

    def subscribe(self, listener: Callable[[UpstreamDeparture], None]) -> None:
        """Register a listener.

        Parameters
        ----------
        listener : callable
            Called with the way in which the instance departs.
        """
        self._listeners.append(listener)

    def receive(self, instance: str, how: UpstreamDeparture) -> None:
        """Take what an instance says and notify of it, once.

        Parameters
        ----------
        instance : str
            Id of the instance, which changes with its restart.
        how : UpstreamDeparture
            Way in which it departs.
        """
        departure = _Departure(instance, how)
        if departure != self._received:
            self._received = departure
            self.notify(how)

    def notify(self, how: UpstreamDeparture) -> None:
        """Notify of a departure.

        Parameters
        ----------
        how : UpstreamDeparture
            Way in which the instance departs.
        """
        self.is_departing = True
        _log.info(
            'the instance is leaving, its departure begins: {}', how.value
        )
        for listener in self._listeners:
            listener(how)

    def begin_session(self, instance: str) -> None:
        """Forget a silence; an instance that has said it leaves still does.

        Parameters
        ----------
        instance : str
            Id of the instance of the new session.
        """
        self.is_departing = False
        if self._received is not None and self._received.instance == instance:
            self.notify(self._received.how)
