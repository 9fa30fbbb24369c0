"""Report in the log lines of how the lease stood when a member was evicted."""

from collections.abc import Callable

from loguru import logger

from verbenadeck.fleet import AppliedListener, FleetView, Member, MemberState
from verbenadeck.model import Incarnation, Offset
from verbenadeck.records import Record, Verdict
from verbenadeck.utils import Clock

_log = logger.bind(part='membership')


def make_eviction_report(
    fleet: FleetView,
    *,
    clock: Clock,
    incarnation: Callable[[], Incarnation],
    lease_deadline_s: Callable[[Member], float],
) -> AppliedListener:
    """Return a listener that reports the eviction of this node.

    A lease in force at that moment means that another member may already own
    the shards of this one.

    Parameters
    ----------
    fleet : FleetView
        Members according to the log.
    clock : Clock
        Boot clock of the VM.
    incarnation : callable
        Returns the incarnation of this node, `NO_MEMBER` if it has none.
    lease_deadline_s : callable
        Returns the end of the lease on the boot clock for this node as a
        member in its last state, in seconds; in the past once it has given
        the lease up.

    Returns
    -------
    AppliedListener
    """
    reported: Incarnation | None = None

    def report(offset: Offset, _record: Record, _verdict: Verdict) -> None:
        nonlocal reported  # noqa: WPS420
        own = incarnation()
        if own == reported or own in fleet.members:
            return
        member = fleet.member(own)
        if member is None or member.state is not MemberState.EVICTED:
            return
        reported = own
        remaining_s = lease_deadline_s(member) - clock.now_s()
        _log.log(
            'ERROR' if remaining_s > 0 else 'INFO',
            'incarnation {} was evicted, as applied up to offset {}; '
            'time left of its lease: {:.3f} s',
            own,
            offset,
            remaining_s,
        )

    return report
