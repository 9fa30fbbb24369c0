"""Log lines from which the balance of a keyed service can be followed."""

from collections.abc import Collection

from loguru import logger

from verbenadeck.model import Incarnation, ServiceName
from verbenadeck.placement._load_reports import MeasuredLoad
from verbenadeck.placement._plan import Plan
from verbenadeck.utils import Clock

_log = logger.bind(part='placement')
_LOG_INTERVAL_S = 1.0


class LoadLog:
    """Writer of at most one line per second about the load of each service.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._next_at_s: dict[ServiceName, float] = {}

    def log_measured(
        self, service: ServiceName, measured_load: MeasuredLoad, plan: Plan
    ) -> None:
        """Log how the measured load is spread and what the plan moves.

        Parameters
        ----------
        service : ServiceName
            Service of the plan.
        measured_load : MeasuredLoad
            Load from which the plan was computed.
        plan : Plan
            The plan.
        """
        if not measured_load.capacities or not self._may_log(service):
            return
        ratios = {
            member: measured_load.rates[member] / max(1.0, capacity)
            for member, capacity in measured_load.capacities.items()
        }
        busiest = max(ratios, key=ratios.__getitem__)
        _log.info(
            'load of {}: {:.2f} of capacity on average, {:.2f} at member {},'
            ' {} hot shards, {} lost and {} balancing moves',
            service,
            sum(measured_load.rates.values())
            / max(1.0, sum(measured_load.capacities.values())),
            ratios[busiest],
            busiest,
            len(measured_load.costs),
            len(plan.forced),
            len(plan.balance),
        )

    def log_unmeasured(
        self, service: ServiceName, silent: Collection[Incarnation], plan: Plan
    ) -> None:
        """Log that a plan was computed without measured load.

        Parameters
        ----------
        service : ServiceName
            Service of the plan.
        silent : collection of Incarnation
            Owners without a recent report.
        plan : Plan
            The plan.
        """
        if not self._may_log(service):
            return
        _log.info(
            'load of {} is not measured, {} owners do not report:'
            ' {} lost and {} balancing moves',
            service,
            len(silent),
            len(plan.forced),
            len(plan.balance),
        )

    def _may_log(self, service: ServiceName) -> bool:
        now_s = self._clock.now_s()
        if now_s < self._next_at_s.get(service, 0):
            return False
        self._next_at_s[service] = now_s + _LOG_INTERVAL_S
        return True
