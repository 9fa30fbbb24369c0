"""Metric gauges computed from the status of a node."""

import math
from collections.abc import Callable, Mapping

from verbenadeck.admin._status import StatusReader


def make_status_gauges(
    read_status: StatusReader, log_age_s: Callable[[], float]
) -> Callable[[], Mapping[str, float]]:
    """Return a function that computes the gauges that alarms are built on.

    Parameters
    ----------
    read_status : callable
        Returns the status of the node.
    log_age_s : callable
        Returns the seconds since this node last knew the end of the log.

    Returns
    -------
    callable
        Returns gauge values by metric name without the common prefix.
    """

    def read_gauges() -> Mapping[str, float]:
        status = read_status(True)
        remaining_s = status.lease_remaining_s
        upstream = status.upstream
        return {
            'ready': float(not status.why_unready),
            'lease_remaining_seconds': (
                math.inf if remaining_s is None else remaining_s
            ),
            'owned_shards': sum(status.owned_shards.values()),
            'leaving_shards': sum(status.held_shards.values()),
            'config_version': status.config_version,
            'applied_offset': status.applied_offset,
            'log_age_seconds': log_age_s(),
            'members': sum(zone.members for zone in status.zones),
            'zones_out': sum(zone.is_out for zone in status.zones),
            'upstream_running': upstream.running,
            'upstream_queued': upstream.queued,
            'upstream_limit': upstream.limit,
            'upstream_admitting': float(upstream.is_admitting),
            'upstream_service_seconds': upstream.service_time_s,
        }

    return read_gauges
