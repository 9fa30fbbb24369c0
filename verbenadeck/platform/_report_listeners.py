"""Listeners for the load reports that an instance's heartbeats carry."""

from collections.abc import Callable

from verbenadeck.adapters import LoadReport


class ReportListeners:
    """Base class of an upstream adapter that passes load reports on."""

    def __init__(self) -> None:
        self._report_listeners: list[Callable[[LoadReport], None]] = []

    def on_report(self, listener: Callable[[LoadReport], None]) -> None:
        """Register a listener for the state in each heartbeat.

        Parameters
        ----------
        listener : callable
            Called with the state before the heartbeat is acknowledged, and
            after a change of the configuration.
        """
        self._report_listeners.append(listener)

    def notify_report(self, report: LoadReport) -> None:
        """Pass a load report on to all listeners.

        Parameters
        ----------
        report : LoadReport
            Present state of the instance.
        """
        for listener in self._report_listeners:
            listener(report)
