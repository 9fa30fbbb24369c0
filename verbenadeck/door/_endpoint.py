"""Messages from other nodes to the door."""

from verbenadeck.door._admission import Admission
from verbenadeck.door._messages import (
    Cancel,
    Forward,
    ForwardAnswer,
    LedgerCopied,
    LedgerCopy,
    LedgerFound,
    LedgerQuery,
    LedgerWithdraw,
    PoisonCleared,
    PoisonNotice,
)
from verbenadeck.door._parts import Parts
from verbenadeck.door._port import Door
from verbenadeck.peers import PeerAddress, PeerPort


class Endpoint:
    """Answers messages of routers and of other doors.

    Parameters
    ----------
    parts : Parts
        Parts of the door.
    door : Door
        The door.
    admission : Admission
        Where attempts are given up.
    """

    def __init__(
        self, parts: Parts, *, door: Door, admission: Admission
    ) -> None:
        self._parts = parts
        self._door = door
        self._admission = admission

    def register(self, peers: PeerPort) -> None:
        """Register all handlers."""
        peers.handle(Forward, self._on_forward)
        peers.handle(Cancel, self._on_cancel)
        peers.handle(LedgerCopy, self._on_copy)
        peers.handle(LedgerWithdraw, self._on_withdraw)
        peers.handle(LedgerQuery, self._on_query)
        peers.handle(PoisonNotice, self._on_poison)
        peers.handle(PoisonCleared, self._on_cleared)

    async def _on_forward(
        self, _peer: PeerAddress, message: Forward
    ) -> ForwardAnswer:
        request = message.unpack(self._parts.around.clock.now_s())
        result = await self._door.admit(message.attempt_id, request)
        return ForwardAnswer.pack(result, self._door.load)

    async def _on_cancel(self, _peer: PeerAddress, message: Cancel) -> None:
        self._admission.cancel(message.attempt_id)

    async def _on_copy(
        self, _peer: PeerAddress, message: LedgerCopy
    ) -> LedgerCopied:
        is_me = message.holder == self._parts.around.incarnation()
        return LedgerCopied(is_me and self._parts.keeper.keep(message))

    async def _on_withdraw(
        self, _peer: PeerAddress, message: LedgerWithdraw
    ) -> None:
        self._parts.keeper.withdraw(message)

    async def _on_query(
        self, _peer: PeerAddress, message: LedgerQuery
    ) -> LedgerFound:
        if message.holder != self._parts.around.incarnation():
            return LedgerFound(None)
        return LedgerFound(self._parts.keeper.has(message))

    async def _on_poison(
        self, _peer: PeerAddress, message: PoisonNotice
    ) -> None:
        self._parts.crashes.take(message)

    async def _on_cleared(
        self, _peer: PeerAddress, message: PoisonCleared
    ) -> None:
        self._parts.crashes.take_cleared(message)
