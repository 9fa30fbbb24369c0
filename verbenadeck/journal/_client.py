"""Log client of a node, which tails the log and appends to it."""

import asyncio
import random
from collections.abc import Callable

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
from verbenadeck.records import EraStart, Record
from verbenadeck.utils import Clock, ignore_name

_ERA_START_SPREAD_S = 0.3
_ERA_START_TIMEOUT_S = 1.0


class JournalOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of the log client.

    Parameters
    ----------
    reads : ReadOptions
        Options of reading the log.
    appends : AppendOptions
        Timeouts and retry interval of appends.
    parallel_appends : int
        Maximum number of proposals in flight.
    """

    reads: ReadOptions = ReadOptions()
    appends: AppendOptions = AppendOptions()
    parallel_appends: int = 32


class LogClient(LogFollower):
    """Client that applies the log to a fleet state and appends to the log.

    An append is acknowledged only after this process has read the record
    back and determined its verdict; the answer of the log to the append is
    not an acknowledgement.

    Parameters
    ----------
    adapter : LogAdapter
        Client for the log service.
    clock : Clock
        Monotonic clock of this VM.
    random_source : random.Random
        Source of the writer id, which must differ between processes, and
        of retry jitter.
    node_id : NodeId
        Name of this node.
    transport : PeerTransport or None
        Transport to other nodes; None for a process that uses only the log.
    options : JournalOptions or None
        Options; None for the defaults.
    count : callable
        Adds one to the counter with the given name.
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
        count: Callable[[str], None] = ignore_name,
    ) -> None:
        chosen_options = options or JournalOptions()
        nonce = random_source.getrandbits(64)
        self._proposals = Proposals(WriterId(f'{node_id}/{nonce:016x}'))
        super().__init__(
            adapter=adapter,
            clock=clock,
            random_source=random_source,
            proposals=self._proposals,
            node_id=node_id,
            transport=transport,
            options=chosen_options.reads,
            count=count,
        )
        self._era_task: asyncio.Task[None] | None = None
        self._append_slots = asyncio.Semaphore(chosen_options.parallel_appends)
        self._appender = Appender(
            adapter=adapter,
            transport=transport,
            clock=clock,
            random_source=random_source,
            relay_peers=self._relay_peers,
            options=chosen_options.appends,
        )
        if transport is not None:
            self._register_relay_handlers(transport)

    async def start(self) -> None:
        """Start tailing, and to write the first records of new eras."""
        await super().start()
        self._era_task = asyncio.create_task(self._start_eras())

    async def stop(self) -> None:
        """Stop all tasks and close the client for the log service."""
        if self._era_task is not None:
            self._era_task.cancel()
            await asyncio.gather(self._era_task, return_exceptions=True)
        await super().stop()

    async def propose(
        self, record: Record, *, deadline_s: float
    ) -> Result[AppliedRecord, JournalError]:
        """Append a record and wait for its verdict.

        A record with several parts, such as the moves of an `Assign`, is
        `ACCEPTED` if at least one of them took effect; the fleet state shows
        which.
        """
        if not await self.wait_ready(deadline_s=deadline_s):
            return _not_appended(f'waits for {self.blocked_on}')
        return await self._append(record, deadline_s=deadline_s)

    async def _append(
        self, record: Record, *, deadline_s: float
    ) -> Result[AppliedRecord, JournalError]:
        slot_wait = self._append_slots.acquire()
        if not await completes_by(slot_wait, self._clock, deadline_s):
            return _not_appended('too many appends in flight')
        proposal = self._proposals.open(
            record, self._fleet.applied_offset, self._fleet.claims.log_era
        )
        try:
            return await self._appender.append(proposal, deadline_s=deadline_s)
        finally:
            self._proposals.close(proposal)
            self._append_slots.release()

    async def _start_eras(self) -> None:
        """Write the first record of each era that nobody else writes."""
        while True:
            await self._era_start.wait_start_due()
            # So that few of the nodes append at once.
            spread_s = self._random.uniform(0, _ERA_START_SPREAD_S)
            await self._clock.sleep_until(self._clock.now_s() + spread_s)
            if not self._era_start.is_era_started:
                await self._append(
                    EraStart(self._fleet.claims.log_era),
                    deadline_s=self._clock.now_s() + _ERA_START_TIMEOUT_S,
                )
            self._era_start.ask_for_start()

    def _relay_peers(self) -> tuple[PeerAddress, ...]:
        return tuple(
            member.address
            for member in self._fleet.members.values()
            if member.incarnation != self.applier.incarnation
        )

    def _register_relay_handlers(self, transport: PeerTransport) -> None:
        relay = Relay(
            clock=self._clock,
            recent=self.applier.recent,
            waiters=self._waiters,
            applied_offset=lambda: self._fleet.applied_offset,
            first_offset=lambda: self.applier.first_offset,
            age_s=lambda: self._reader.age_s,
            era=lambda: self._fleet.claims.log_era,
        )
        transport.register_handler(RelayFetch, relay.handle_fetch)
        transport.register_handler(
            RelayAppend, make_append_handler(self._adapter, self._clock)
        )


def _not_appended(detail: str) -> Result[AppliedRecord, JournalError]:
    return Failure(JournalError(JournalFailure.NOT_APPENDED, detail))
