"""Log client of a node."""

import asyncio
import random

import msgspec
from returns.result import Failure, Result

from verbenadeck.adapters import LogAdapter
from verbenadeck.journal._appender import Appender, AppendOptions
from verbenadeck.journal._follower import LogFollower
from verbenadeck.journal._interface import (
    AppliedRecord,
    JournalError,
    JournalFailure,
)
from verbenadeck.journal._messages import RelayAppend, RelayFetch
from verbenadeck.journal._proposals import Proposals
from verbenadeck.journal._reader import ReadOptions
from verbenadeck.journal._relay import Relay, make_append_handler
from verbenadeck.journal._waiters import completes_by
from verbenadeck.model import NodeId, WriterId
from verbenadeck.peers import PeerAddress, PeerTransport
from verbenadeck.records import Record
from verbenadeck.utils import Clock


class JournalOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of the log client.

    Parameters
    ----------
    reads : ReadOptions
        Options of reading.
    appends : AppendOptions
        Options of appending.
    parallel_appends : int
        Proposals in flight at once.
    """

    reads: ReadOptions = ReadOptions()
    appends: AppendOptions = AppendOptions()
    parallel_appends: int = 32


class LogClient(LogFollower):
    """Tails the log into a fleet state and appends to the log.

    An append counts as acknowledged only when this process has read its
    record back and judged it; the log's own answer counts for nothing.

    Parameters
    ----------
    adapter : LogAdapter
        Way to the log.
    clock : Clock
        Clock of this VM.
    random_source : random.Random
        For the writer id, which must differ between processes, and for
        waits.
    node_id : NodeId
        Name of this node.
    transport : PeerTransport or None
        Way to peers; None for a process that only uses the log.
    options : JournalOptions
        Options.
    """

    def __init__(
        self,
        *,
        adapter: LogAdapter,
        clock: Clock,
        random_source: random.Random,
        node_id: NodeId,
        transport: PeerTransport | None = None,
        options: JournalOptions | None = None,
    ) -> None:
        chosen = options or JournalOptions()
        life = random_source.getrandbits(64)
        self._proposals = Proposals(WriterId(f'{node_id}/{life:016x}'))
        super().__init__(
            adapter=adapter,
            clock=clock,
            random_source=random_source,
            proposals=self._proposals,
            transport=transport,
            options=chosen.reads,
        )
        self._slots = asyncio.Semaphore(chosen.parallel_appends)
        self._appender = Appender(
            adapter=adapter,
            transport=transport,
            clock=clock,
            random_source=random_source,
            helpers=self._helpers,
            options=chosen.appends,
        )
        if transport is not None:
            self._serve(transport)

    async def propose(
        self, record: Record, *, deadline_s: float
    ) -> Result[AppliedRecord, JournalError]:
        """Append a record and wait until it is read back and judged.

        A record with several parts, such as the moves of an `Assign`, is
        `ACCEPTED` when one of them took effect; the state tells which.
        """
        if not await self.wait_ready(deadline_s=deadline_s):
            return _not_appended(f'waits for {self.blocked_on}')
        slot = self._slots.acquire()
        if not await completes_by(slot, self._clock, deadline_s):
            return _not_appended('too many appends in flight')
        proposal = self._proposals.open(record, self._fleet.applied_offset)
        try:
            return await self._appender.append(proposal, deadline_s=deadline_s)
        finally:
            self._proposals.close(proposal)
            self._slots.release()

    def _helpers(self) -> tuple[PeerAddress, ...]:
        return tuple(
            member.address
            for member in self._fleet.members.values()
            if member.incarnation != self.intake.incarnation
        )

    def _serve(self, transport: PeerTransport) -> None:
        relay = Relay(
            clock=self._clock,
            recent=self.intake.recent,
            waiters=self._waiters,
            applied_offset=lambda: self._fleet.applied_offset,
            first_offset=lambda: self.intake.first_offset,
            age_s=lambda: self._reader.age_s,
        )
        transport.register_handler(RelayFetch, relay.fetch)
        transport.register_handler(
            RelayAppend, make_append_handler(self._adapter, self._clock)
        )


def _not_appended(detail: str) -> Result[AppliedRecord, JournalError]:
    return Failure(JournalError(JournalFailure.NOT_APPENDED, detail))
