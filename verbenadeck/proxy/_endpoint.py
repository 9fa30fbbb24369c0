"""Handlers for messages from other nodes to the proxy."""

from verbenadeck.peers import PeerAddress, PeerTransport
from verbenadeck.proxy._admission import Admission
from verbenadeck.proxy._components import ProxyComponents
from verbenadeck.proxy._interface import Proxy
from verbenadeck.proxy._messages import (
    CancelAttempt,
    ForwardAnswer,
    ForwardRequest,
    LedgerCopied,
    LedgerCopy,
    LedgerFound,
    LedgerQuery,
    LedgerWithdraw,
    LoadQuery,
    LoadReply,
    PoisonCleared,
    PoisonNotice,
)
from verbenadeck.proxy._refusals import refusal_of
from verbenadeck.proxy._transfer_admission import TransferAdmission
from verbenadeck.proxy._transfer_messages import (
    ReserveTransfer,
    TransferReply,
)


class Endpoint:
    """Message handlers for routers and for other proxies.

    Parameters
    ----------
    components : ProxyComponents
        Components of the proxy.
    proxy : Proxy
        Proxy that admits forwarded requests.
    admission : Admission
        Admission that cancels attempts.
    """

    def __init__(
        self, components: ProxyComponents, *, proxy: Proxy, admission: Admission
    ) -> None:
        self._components = components
        self._proxy = proxy
        self._admission = admission
        self._transfer_admission = TransferAdmission(components)

    def register(self, peers: PeerTransport) -> None:
        """Register all message handlers with a transport."""
        peers.register_handler(ReserveTransfer, self._on_reserve)
        peers.register_handler(ForwardRequest, self._on_forward)
        peers.register_handler(CancelAttempt, self._on_cancel)
        peers.register_handler(LoadQuery, self._on_load_query)
        peers.register_handler(LedgerCopy, self._on_copy)
        peers.register_handler(LedgerWithdraw, self._on_withdraw)
        peers.register_handler(LedgerQuery, self._on_query)
        peers.register_handler(PoisonNotice, self._on_poison)
        peers.register_handler(PoisonCleared, self._on_cleared)

    async def _on_reserve(
        self, peer: PeerAddress, message: ReserveTransfer
    ) -> TransferReply:
        decided = self._transfer_admission.reserve(message, origin=peer)
        return TransferReply(
            refusal_of(decided), self._proxy.load, decided.value_or(0.0)
        )

    async def _on_forward(
        self, peer: PeerAddress, message: ForwardRequest
    ) -> ForwardAnswer:
        dependencies = self._components.dependencies
        request = message.unpack(dependencies.clock.now_s())
        result = await self._proxy.admit(
            message.attempt_id, request, origin=peer
        )
        return ForwardAnswer.pack(
            result, self._proxy.load, dependencies.incarnation()
        )

    async def _on_cancel(
        self, _peer: PeerAddress, message: CancelAttempt
    ) -> None:
        self._admission.cancel(message.attempt_id)

    async def _on_load_query(
        self, _peer: PeerAddress, message: LoadQuery
    ) -> LoadReply:
        return LoadReply(message.number, self._proxy.load)

    async def _on_copy(
        self, _peer: PeerAddress, message: LedgerCopy
    ) -> LedgerCopied:
        is_addressee = (
            message.witness == self._components.dependencies.incarnation()
        )
        return LedgerCopied(
            is_addressee and self._components.copy_store.keep(message)
        )

    async def _on_withdraw(
        self, _peer: PeerAddress, message: LedgerWithdraw
    ) -> None:
        self._components.copy_store.withdraw(message)

    async def _on_query(
        self, _peer: PeerAddress, message: LedgerQuery
    ) -> LedgerFound:
        if message.witness != self._components.dependencies.incarnation():
            return LedgerFound(None)
        return LedgerFound(self._components.copy_store.has(message))

    async def _on_poison(
        self, _peer: PeerAddress, message: PoisonNotice
    ) -> None:
        self._components.crash_tracker.mark_suspects(message)

    async def _on_cleared(
        self, _peer: PeerAddress, message: PoisonCleared
    ) -> None:
        self._components.crash_tracker.clear_suspect(message)
