"""Proposals of this process that wait for their verdict."""

import asyncio

import msgspec

from verbenadeck.journal._interface import AppliedRecord
from verbenadeck.model import Offset, WriterId
from verbenadeck.records import (
    FORMAT_VERSION,
    CheckpointChunk,
    Envelope,
    Record,
    Verdict,
    encode_envelope,
)


class Proposal(msgspec.Struct, frozen=True, eq=False):
    """A record on its way into the log.

    Parameters
    ----------
    sequence : int
        Its number by this writer.
    payload : bytes
        What is appended, the same in every repeat.
    applied : asyncio.Future of AppliedRecord
        Resolved when the record is read back.
    name : str
        Name under which the log may keep the record for good.
    """

    sequence: int
    payload: bytes
    applied: 'asyncio.Future[AppliedRecord]'
    name: str = ''


class Proposals:
    """Numbers the records of one writer and matches what is read back.

    Appends of several records may be in flight and reach the log in any
    order, since readers keep a window of numbers per writer.
    """

    def __init__(self, writer: WriterId) -> None:
        self.writer = writer
        self._last_sequence = 0
        self._open: dict[int, Proposal] = {}

    def open(self, record: Record, seen_offset: Offset) -> Proposal:
        """Number a record and wait for it."""
        self._last_sequence += 1
        envelope = Envelope(
            format_version=FORMAT_VERSION,
            writer=self.writer,
            sequence=self._last_sequence,
            record=record,
            seen_offset=seen_offset,
        )
        proposal = Proposal(
            sequence=envelope.sequence,
            payload=encode_envelope(envelope),
            applied=asyncio.get_running_loop().create_future(),
            name=_name_of(record),
        )
        self._open[proposal.sequence] = proposal
        return proposal

    def close(self, proposal: Proposal) -> None:
        """Stop waiting for a record."""
        self._open.pop(proposal.sequence, None)

    def settle(self, offset: Offset, sequence: int, verdict: Verdict) -> None:
        """Resolve the proposal of this writer that was read back.

        A repeat is no answer: it means that the first copy was judged in a
        part of the log that this process skipped by a checkpoint.
        """
        proposal = self._open.get(sequence)
        if proposal is None or verdict is Verdict.DUPLICATE:
            return
        if not proposal.applied.done():
            proposal.applied.set_result(AppliedRecord(offset, verdict))


def _name_of(record: Record) -> str:
    """Return the name of a checkpoint; it replaces its writer's last one."""
    if isinstance(record, CheckpointChunk):
        return f'checkpoint-{record.index}'
    return ''
