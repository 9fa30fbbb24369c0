"""Copies of ledger entries with witnesses in other zones."""

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

from verbenadeck.fleet import FleetView
from verbenadeck.model import AttemptId, Incarnation, RequestId
from verbenadeck.peers import Message, PeerAddress, PeerTransport
from verbenadeck.proxy._departed_owners import WitnessSet
from verbenadeck.proxy._messages import (
    LedgerCopied,
    LedgerCopy,
    LedgerFound,
    LedgerQuery,
    LedgerWithdraw,
)
from verbenadeck.utils import Clock

_MAX_COPIES = 200_000


def _majority(size: int) -> int:
    return size // 2 + 1


class _Copy(NamedTuple):
    token: AttemptId
    owner: Incarnation
    expires_at_s: float


class CopyStore:
    """Keeps copies for other doors; full means refusing, not forgetting.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    limit : int
        Most copies.
    """

    def __init__(self, *, clock: Clock, limit: int = _MAX_COPIES) -> None:
        self._clock = clock
        self._limit = limit
        self._copies: dict[RequestId, _Copy] = {}

    def keep(self, message: LedgerCopy) -> bool:
        """Keep the ids of a message; false when there is no room."""
        self._expire()
        size = len(self._copies) + len(message.request_ids)
        if size > self._limit:
            return False
        expires_at_s = self._clock.now_s() + message.keep_s
        for request_id in message.request_ids:
            self._copies.pop(request_id, None)
            self._copies[request_id] = _Copy(
                message.token, message.owner, expires_at_s
            )
        return True

    def withdraw(self, message: LedgerWithdraw) -> None:
        """Remove a copy, unless a later attempt renewed it."""
        kept = self._copies.get(message.request_id)
        if kept is not None and kept.token == message.token:
            self._copies.pop(message.request_id)

    def has(self, query: LedgerQuery) -> bool:
        """Return whether a copy of another owner is kept."""
        self._expire()
        kept = self._copies.get(query.request_id)
        return kept is not None and kept.owner != query.asker

    def _expire(self) -> None:
        now_s = self._clock.now_s()
        while self._copies:
            request_id = next(iter(self._copies))
            if self._copies[request_id].expires_at_s > now_s:
                return
            self._copies.pop(request_id)


class CopyClient:
    """Leaves copies with witness sets and asks them.

    A copy counts with a majority of a set, so a question that enough of
    the set deny to leave no majority is decided.

    Parameters
    ----------
    fleet : FleetView
        Addresses of witnesses.
    peers : PeerTransport
        Way to them.
    """

    def __init__(self, *, fleet: FleetView, peers: PeerTransport) -> None:
        self._fleet = fleet
        self._peers = peers
        self._tasks: set[asyncio.Task[None]] = set()

    async def store_copies(
        self,
        witnesses: WitnessSet,
        message: LedgerCopy,
        *,
        deadline_s: float,
    ) -> bool:
        """Return whether a majority of the witnesses keeps the copy."""
        if not witnesses:
            return False

        def ask(holder: Incarnation) -> LedgerCopy:
            return LedgerCopy(
                holder,
                message.owner,
                message.request_ids,
                message.token,
                message.keep_s,
            )

        return await self._await_quorum(
            {holder: ask(holder) for holder in witnesses},
            LedgerCopied(is_kept=True),
            quorum=_majority(len(witnesses)),
            deadline_s=deadline_s,
        )

    def withdraw(
        self, witnesses: WitnessSet, request_id: RequestId, token: AttemptId
    ) -> None:
        """Tell witnesses that a request did not run; may get lost."""
        for address in self._addresses(witnesses):
            self._peers.send_datagram(
                address, LedgerWithdraw(request_id, token)
            )

    async def may_have_run(
        self,
        sets: Iterable[WitnessSet],
        request_id: RequestId,
        *,
        asker: Incarnation,
        deadline_s: float,
    ) -> bool | None:
        """Return whether an earlier owner may have run a request.

        None when too few witnesses can tell.
        """
        witness_sets = list(sets)
        all_witnesses = tuple(
            {one for witnesses in witness_sets for one in witnesses}
        )
        found: dict[Incarnation, bool] = {}

        async def ask(holder: Incarnation) -> None:
            query = LedgerQuery(holder, asker, request_id)
            reply = await self._call_witness(holder, query, deadline_s)
            if isinstance(reply, LedgerFound) and reply.is_found is not None:
                found[holder] = reply.is_found

        await asyncio.gather(*(ask(holder) for holder in all_witnesses))
        if any(found.values()):
            return True
        is_ruled_out = all(
            _is_ruled_out(witnesses, found) for witnesses in witness_sets
        )
        return False if is_ruled_out else None

    async def _await_quorum(
        self,
        messages: dict[Incarnation, LedgerCopy],
        expected: Message,
        *,
        quorum: int,
        deadline_s: float,
    ) -> bool:
        pending = len(messages)
        stored = 0
        decided = asyncio.get_running_loop().create_future()

        async def ask(holder: Incarnation, message: LedgerCopy) -> None:
            nonlocal pending, stored
            reply = await self._call_witness(holder, message, deadline_s)
            pending -= 1
            stored += int(reply == expected)
            if not decided.done() and (
                stored >= quorum or stored + pending < quorum
            ):
                decided.set_result(stored >= quorum)

        for holder, message in messages.items():
            task = asyncio.create_task(ask(holder, message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return bool(await decided)

    async def _call_witness(
        self, holder: Incarnation, message: Message, deadline_s: float
    ) -> Message | None:
        member = self._fleet.members.get(holder)
        if member is None:
            return None
        reply = await self._peers.call(
            member.address, message, deadline_s=deadline_s
        )
        return reply.value_or(None)

    def _addresses(self, witnesses: WitnessSet) -> list[PeerAddress]:
        members = self._fleet.members
        return [members[one].address for one in witnesses if one in members]


def _is_ruled_out(
    witnesses: WitnessSet, found: dict[Incarnation, bool]
) -> bool:
    if not witnesses:
        return False
    denials = sum(1 for one in witnesses if found.get(one) is False)
    return denials > len(witnesses) - _majority(len(witnesses))
