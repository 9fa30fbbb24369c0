"""Planned stop of a node: handover of shards, drain and end of services."""

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
_CALLER_NOTICE_POLL_S = 0.05
_LEAVE_RECORD_TIMEOUT_S = 0.5
"""Time-out in seconds for appending the record that a member without shards
leaves; many round trips to the log."""


class LeavingMember(Protocol):
    """Membership as a planned stop uses it."""

    async def leave(self, *, deadline_s: float) -> bool:
        """Move all shards to other owners.

        Parameters
        ----------
        deadline_s : float
            Time in seconds at which the member stops waiting for the move.

        Returns
        -------
        bool
            Whether all shards were moved in time.
        """
        ...


class DrainableProxy(Protocol):
    """Proxy as a planned stop uses it."""

    async def drain(self, *, deadline_s: float) -> None:
        """Refuse new requests and wait until the admitted ones have ended.

        Parameters
        ----------
        deadline_s : float
            Time in seconds at which the wait ends.
        """
        ...


async def stop_node(
    kernel: Kernel,
    *,
    timeout_s: float,
    linger_s: float = 0,
    are_callers_notified: Callable[[], bool] = always_true,
) -> None:
    """Stop a node as planned.

    Hands the shards over, finishes the admitted requests, leaves the fleet
    and stops all services.

    Parameters
    ----------
    kernel : Kernel
        Kernel of the node.
    timeout_s : float
        Maximum time in seconds for handing shards over.
    linger_s : float
        Maximum time in seconds to keep serving until callers have been
        notified.
    are_callers_notified : callable
        Returns whether callers have been notified to use other nodes.
    """
    _log.info('planned stop begins; handing over shards before the drain')
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
    # The entry stops while the proxy drains, since both often wait for the
    # same requests.
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
    """Serve until callers are notified, then begin to drain the proxy.

    Shards are handed over meanwhile. A node without shards remains a member
    until callers are notified, so that other nodes go on using its upstream.

    Parameters
    ----------
    membership : LeavingMember
        Membership of the node.
    proxy : DrainableProxy
        Proxy of the upstream.
    owns_shards : bool
        Whether the node owns shards, which have to be handed over.
    clock : Clock
        Clock of the VM.
    move_deadline_s : float
        Time in seconds at which the handover and the drain end at the latest.
    linger_until_s : float
        Time in seconds at which the wait for callers ends at the latest.
    are_callers_notified : callable
        Returns whether callers have been notified to use other nodes.

    Returns
    -------
    asyncio.Task
        The running drain.
    """
    moving: asyncio.Task[bool] | None = None
    if owns_shards:
        moving = asyncio.create_task(
            membership.leave(deadline_s=move_deadline_s)
        )
    while clock.now_s() < linger_until_s and not are_callers_notified():
        await asyncio.sleep(_CALLER_NOTICE_POLL_S)
    if moving is None:
        await membership.leave(
            deadline_s=clock.now_s() + _LEAVE_RECORD_TIMEOUT_S
        )
    else:
        _log.info(
            'all shards handed over in time: {}; draining the proxy',
            await moving,
        )
    return asyncio.create_task(
        proxy.drain(deadline_s=max(clock.now_s(), move_deadline_s))
    )
