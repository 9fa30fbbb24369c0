"""Monitoring of the upstream's instance, health and crashes."""

import asyncio

from loguru import logger
from returns.result import Success

from verbenadeck.adapters import Announcement, LoadReport
from verbenadeck.proxy._components import ProxyComponents

_log = logger.bind(part='door')

_REPORT_INTERVAL_S = 0.5
_REPORT_JITTER_SHARE = 0.2


class UpstreamMonitor:
    """Monitor that applies announcements and load reports to the limit.

    Reports that the upstream sends count at once; others are polled.

    An announcement or report from a new instance means that the earlier one
    has ended, possibly in a crash.

    Parameters
    ----------
    components : ProxyComponents
        Components of the proxy.
    """

    def __init__(self, components: ProxyComponents) -> None:
        self._upstream = components.dependencies.upstream
        self._clock = components.dependencies.clock
        self._random = components.dependencies.random_source
        self._gate = components.gate
        self._limit = components.limit
        self._slots = components.slots
        self._cold_start_rate = components.cold_start_rate
        self._sender = components.sender
        self._success_share = components.success_share
        self._runs = components.runs
        self._crash_tracker = components.crash_tracker
        self._instance: str | None = None
        self._task: asyncio.Task[None] | None = None
        self._upstream.on_announce(self._on_announce)
        self._upstream.on_report(self._on_report)

    async def start(self) -> None:
        """Start polling load reports."""
        self._task = asyncio.create_task(self._poll())

    async def stop(self) -> None:
        """Stop polling load reports."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    def _on_announce(self, announcement: Announcement) -> None:
        self._gate.service = announcement.service
        self._cold_start_rate.set_cold_start(announcement.cold_start)
        self._on_new_instance(
            announcement.instance,
            announcement.slots,
            announcement.bearable,
        )

    def _on_new_instance(
        self, instance: str, slots: int, bearable: int
    ) -> None:
        if instance == self._instance:
            self._limit.slots = slots
            return
        earlier = self._instance
        self._instance = instance
        _log.info(
            'upstream instance {} is up: {} of {} slots usable',
            instance,
            bearable,
            slots,
        )
        now_s = self._clock.now_s()
        self._limit.reset_for_instance(slots, bearable, now_s=now_s)
        self._success_share.reset(now_s)
        if earlier is not None:
            self._crash_tracker.on_crash(earlier, self._runs.all())
        self._sender.release_held_slots()
        self._slots.assign_free_slots()

    async def _poll(self) -> None:
        while True:
            spread = 1 + _REPORT_JITTER_SHARE * (self._random.random() - 0.5)
            await asyncio.sleep(_REPORT_INTERVAL_S * spread)
            result = await self._upstream.report()
            if isinstance(result, Success):
                self._on_report(result.unwrap())

    def _on_report(self, report: LoadReport) -> None:
        if self._instance is None:
            return
        self._cold_start_rate.set_cold_start(report.cold_start)
        before = self._limit.limit
        if report.instance != self._instance:
            self._on_new_instance(
                report.instance, self._limit.slots, report.bearable
            )
        self._limit.apply_report(
            report.bearable,
            is_healthy=report.is_healthy,
            now_s=self._clock.now_s(),
        )
        if self._limit.limit != before:
            _log.info(
                'concurrency limit is now {} after a load report',
                self._limit.limit,
            )
        self._slots.assign_free_slots()
