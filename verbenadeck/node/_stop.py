"""Order of a planned stop."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from verbenadeck.journal import LogClient
from verbenadeck.kernel import Kernel
from verbenadeck.membership import Membership, has_shards
from verbenadeck.proxy import UpstreamProxy
from verbenadeck.utils import Clock, always_true

_log = logger.bind(part='node')
_POLL_S = 0.05
_GOODBYE_S = 0.5
"""Time in seconds for the record of a member without shards that leaves; many
round trips of the log."""


class LeavingMember(Protocol):
    """What a planned stop asks of the membership."""

    async def leave(self, *, deadline_s: float) -> bool:
        """Have the shards moved away; return whether all were in time."""
        ...


class DrainableProxy(Protocol):
    """What a planned stop asks of the door."""

    async def drain(self, *, deadline_s: float) -> None:
        """Refuse new work and wait until what was admitted has ended."""
        ...


async def stop_node(
    kernel: Kernel,
    *,
    timeout_s: float,
    linger_s: float = 0,
    are_callers_notified: Callable[[], bool] = always_true,
) -> None:
    """Stop a node as planned: hand shards over, finish work, leave.

    Parameters
    ----------
    kernel : Kernel
        Kernel of the node.
    timeout_s : float
        Longest time for handing shards over.
    linger_s : float
        Longest time for which callers are waited for.
    are_callers_notified : callable
        Whether callers have been told to go elsewhere.
    """
    _log.info('planned stop begins')
    clock = Clock()
    now_s = clock.now_s()
    membership = kernel.find('membership', Membership)
    fleet = kernel.find('journal', LogClient).fleet
    draining = await begin_drain(
        membership,
        kernel.find('door', UpstreamProxy),
        owns_shards=has_shards(fleet, membership.incarnation),
        clock=clock,
        move_deadline_s=now_s + timeout_s,
        linger_until_s=now_s + linger_s,
        are_callers_notified=are_callers_notified,
    )
    # The entry stops beside the door: what the one waits for, the other
    # often waits for as well.
    await kernel.stop()
    await draining


async def begin_drain(
    membership: LeavingMember,
    proxy: DrainableProxy,
    *,
    owns_shards: bool,
    clock: Clock,
    move_deadline_s: float,
    linger_until_s: float,
    are_callers_notified: Callable[[], bool],
) -> 'asyncio.Task[None]':
    """Serve on until callers are told, then begin to drain the door.

    Shards move away meanwhile. A member without shards stays a member up to
    the end of that time, so that the upstream beside it is used by others.

    Returns
    -------
    asyncio.Task
        The drain, which goes on.
    """
    moving: asyncio.Task[bool] | None = None
    if owns_shards:
        moving = asyncio.create_task(
            membership.leave(deadline_s=move_deadline_s)
        )
    while clock.now_s() < linger_until_s and not are_callers_notified():
        await asyncio.sleep(_POLL_S)
    if moving is None:
        await membership.leave(deadline_s=clock.now_s() + _GOODBYE_S)
    else:
        _log.info('shards handed over: {}', await moving)
    return asyncio.create_task(
        proxy.drain(deadline_s=max(clock.now_s(), move_deadline_s))
    )
