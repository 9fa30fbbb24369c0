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

    def log_plan(
        self,
        service: ServiceName,
        measured_load: MeasuredLoad | None,
        silent: Collection[Incarnation],
        plan: Plan,
    ) -> None:
        """Log how the load is spread and what the plan moves.

        Parameters
        ----------
        service : ServiceName
            Service of the plan.
        measured_load : MeasuredLoad or None
            Load from which the plan was computed.
        silent : collection of Incarnation
            Owners without a recent report.
        plan : Plan
            The plan.
        """
        if not self._may_log(service):
            return
        _log.info(
            'load of {}: {}, {} owners do not report:'
            ' {} lost and {} balancing moves',
            service,
            _describe_load(measured_load),
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


def _describe_load(measured_load: MeasuredLoad | None) -> str:
    if measured_load is None:
        return 'not measured'
    rates = measured_load.rates
    capacities = measured_load.capacities
    ratios = {each: rates[each] / capacities[each] for each in capacities}
    busiest = max(ratios, key=ratios.__getitem__)
    mean = sum(rates.values()) / sum(capacities.values())
    return (
        f'{mean:.2f} of capacity on average,'
        f' {ratios[busiest]:.2f} at member {busiest},'
        f' {len(measured_load.costs)} hot shards'
    )
