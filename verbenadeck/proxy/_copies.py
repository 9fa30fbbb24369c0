"""Copies of ledger entries that witnesses in other zones keep."""

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
    """Bounded store of the copies that this node keeps for other proxies.

    A full store refuses new copies instead of evicting old ones.

    Parameters
    ----------
    clock : Clock
        Clock of this VM.
    limit : int
        Maximum number of copies.
    """

    def __init__(self, *, clock: Clock, limit: int = _MAX_COPIES) -> None:
        self._clock = clock
        self._limit = limit
        self._copies: dict[RequestId, _Copy] = {}

    def keep(self, message: LedgerCopy) -> bool:
        """Store the request ids of a message; return False if they don't fit."""
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
        """Remove a copy, unless a later attempt has replaced it."""
        copy = self._copies.get(message.request_id)
        if copy is not None and copy.token == message.token:
            self._copies.pop(message.request_id)

    def has(self, query: LedgerQuery) -> bool:
        """Return whether a copy from an owner other than the asking one exists."""
        self._expire()
        copy = self._copies.get(query.request_id)
        return copy is not None and copy.owner != query.requester

    def _expire(self) -> None:
        now_s = self._clock.now_s()
        while self._copies:
            request_id = next(iter(self._copies))
            if self._copies[request_id].expires_at_s > now_s:
                return
            self._copies.pop(request_id)


class CopyClient:
    """Client that stores copies at witness sets and queries them.

    A copy is valid once a majority of a set keeps it. If so many witnesses of
    the set report no copy that the others are no majority, none was valid.

    Parameters
    ----------
    fleet : FleetView
        Source of the witnesses' addresses.
    peers : PeerTransport
        Transport to the witnesses.
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
        """Send a copy to the witnesses; return whether a majority keeps it.

        Parameters
        ----------
        witnesses : WitnessSet
            Witnesses to send to.
        message : LedgerCopy
            Copy; the witness in it is replaced for each of them.
        deadline_s : float
            Time by which the replies must be there, in seconds.
        """
        if not witnesses:
            return False

        def copy_for(witness: Incarnation) -> LedgerCopy:
            return LedgerCopy(
                witness,
                message.owner,
                message.request_ids,
                message.token,
                message.keep_s,
            )

        return await self._await_quorum(
            {witness: copy_for(witness) for witness in witnesses},
            LedgerCopied(is_kept=True),
            quorum=_majority(len(witnesses)),
            deadline_s=deadline_s,
        )

    def withdraw(
        self, witnesses: WitnessSet, request_id: RequestId, token: AttemptId
    ) -> None:
        """Notify witnesses by datagram, without retry, that a request did not run."""
        for address in self._addresses(witnesses):
            self._peers.send_datagram(
                address, LedgerWithdraw(request_id, token)
            )

    async def may_have_run(
        self,
        sets: Iterable[WitnessSet],
        request_id: RequestId,
        *,
        requester: Incarnation,
        deadline_s: float,
    ) -> bool | None:
        """Query witnesses whether an earlier owner may have run a request.

        Parameters
        ----------
        sets : iterable of WitnessSet
            Witness sets of the possible earlier owners.
        request_id : RequestId
            Request to ask about.
        requester : Incarnation
            Owner that asks; its own copies don't count.
        deadline_s : float
            Time by which the replies must be there, in seconds.

        Returns
        -------
        bool or None
            None if too few witnesses answered to decide.
        """
        witness_sets = list(sets)
        all_witnesses = tuple(
            {one for witnesses in witness_sets for one in witnesses}
        )
        found: dict[Incarnation, bool] = {}

        async def ask(witness: Incarnation) -> None:
            query = LedgerQuery(witness, requester, request_id)
            reply = await self._call_witness(witness, query, deadline_s)
            if isinstance(reply, LedgerFound) and reply.is_found is not None:
                found[witness] = reply.is_found

        await asyncio.gather(*(ask(witness) for witness in all_witnesses))
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

        async def ask(witness: Incarnation, message: LedgerCopy) -> None:
            nonlocal pending, stored
            reply = await self._call_witness(witness, message, deadline_s)
            pending -= 1
            stored += int(reply == expected)
            if not decided.done() and (
                stored >= quorum or stored + pending < quorum
            ):
                decided.set_result(stored >= quorum)

        for witness, message in messages.items():
            task = asyncio.create_task(ask(witness, message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return bool(await decided)

    async def _call_witness(
        self, witness: Incarnation, message: Message, deadline_s: float
    ) -> Message | None:
        member = self._fleet.members.get(witness)
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
