"""Service that joins the fleet once the upstream has announced itself."""

import asyncio
from collections.abc import Callable

from loguru import logger

from verbenadeck.adapters import Announcement, UpstreamAdapter
from verbenadeck.kernel import Kernel
from verbenadeck.membership import Membership
from verbenadeck.records import NodeJoin

_log = logger.bind(part='node')

DescribeNode = Callable[[Announcement], NodeJoin]


class FleetJoiner:
    """Starts the membership after the first announcement of the upstream.

    Parameters
    ----------
    upstream : UpstreamAdapter
        Upstream of the node.
    describe_node : callable
        Returns the record with which the node joins, for an announcement.

    Attributes
    ----------
    announcement : Announcement or None
        Latest announcement of the upstream, None before the first one.
    """

    def __init__(
        self, *, upstream: UpstreamAdapter, describe_node: DescribeNode
    ) -> None:
        self.announcement: Announcement | None = None
        self._describe_node = describe_node
        self._announced = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._kernel: Kernel | None = None
        upstream.on_announce(self._on_announce)

    def attach(self, kernel: Kernel) -> None:
        """Set the kernel in which the membership is looked up.

        Parameters
        ----------
        kernel : Kernel
            Kernel that has the service `membership` when the upstream
            announces itself.
        """
        self._kernel = kernel

    def describe(self) -> NodeJoin:
        """Return the record with which the node joins the fleet."""
        announcement = self.announcement
        assert announcement is not None
        return self._describe_node(announcement)

    async def start(self) -> None:
        """Start a task that joins the fleet after the first announcement."""
        self._task = asyncio.create_task(self._join())

    async def stop(self) -> None:
        """Cancel the task that joins the fleet."""
        if self._task is not None:
            self._task.cancel()

    async def _join(self) -> None:
        await self._announced.wait()
        assert self._kernel is not None
        await self._kernel.find('membership', Membership).start()

    def _on_announce(self, announcement: Announcement) -> None:
        _log.info(
            'upstream {} announced itself with {} slots',
            announcement.instance,
            announcement.slots,
        )
        self.announcement = announcement
        self._announced.set()
