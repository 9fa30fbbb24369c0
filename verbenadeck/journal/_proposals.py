"""Records of this process that await their verdict."""

import asyncio

import msgspec

from verbenadeck.journal._interface import AppliedRecord
from verbenadeck.model import Era, Offset, WriterId
from verbenadeck.records import (
    FORMAT_VERSION,
    CheckpointChunk,
    Envelope,
    EraStart,
    Record,
    Verdict,
    encode_envelope,
)


class Proposal(msgspec.Struct, frozen=True, eq=False):
    """Record that is being appended to the log.

    Parameters
    ----------
    sequence : int
        Sequence number of the record among those of its writer.
    payload : bytes
        Encoded envelope, identical in every attempt.
    applied : asyncio.Future of AppliedRecord
        Future that is resolved when the record is read back.
    name : str
        Name under which the log may retain the record without time limit;
        empty for none.
    generation : int
        Generation of a named record, which replaces earlier ones.
    """

    sequence: int
    payload: bytes
    applied: 'asyncio.Future[AppliedRecord]'
    name: str = ''
    generation: int = 0


class Proposals:
    """Registry of the pending records of one writer.

    Several appends may be in flight and reach the log in any order, since
    readers keep a window of sequence numbers per writer.

    Parameters
    ----------
    writer : WriterId
        Identifier of this process as a writer.
    """

    def __init__(self, writer: WriterId) -> None:
        self.writer = writer
        self._last_sequence = 0
        self._pending: dict[int, Proposal] = {}

    def open(self, record: Record, seen_offset: Offset, era: Era) -> Proposal:
        """Assign the next sequence number to a record and register it.

        Parameters
        ----------
        record : Record
            Record to append.
        seen_offset : Offset
            Last offset that this process has applied.
        era : Era
            Era of the log that its state was read in.
        """
        self._last_sequence += 1
        envelope = Envelope(
            format_version=FORMAT_VERSION,
            writer=self.writer,
            sequence=self._last_sequence,
            record=record,
            seen_offset=seen_offset,
            era=era,
        )
        proposal = Proposal(
            sequence=envelope.sequence,
            payload=encode_envelope(envelope),
            applied=asyncio.get_running_loop().create_future(),
            name=_retained_name(record),
            generation=_generation(record),
        )
        self._pending[proposal.sequence] = proposal
        return proposal

    def close(self, proposal: Proposal) -> None:
        """Remove a record from the registry."""
        self._pending.pop(proposal.sequence, None)

    def settle(self, offset: Offset, sequence: int, verdict: Verdict) -> None:
        """Resolve the proposal whose record was read back.

        A duplicate does not resolve it: its first copy was applied in a part
        of the log that this process skipped by loading a checkpoint, so that
        the verdict is not known here.
        """
        proposal = self._pending.get(sequence)
        if proposal is None or verdict is Verdict.DUPLICATE:
            return
        if not proposal.applied.done():
            proposal.applied.set_result(AppliedRecord(offset, verdict))


def _retained_name(record: Record) -> str:
    """Return the name under which the log retains a record, empty for none.

    A checkpoint replaces the previous one. The start of each era is retained,
    since it tells which of the records after it were decided earlier.
    """
    if isinstance(record, CheckpointChunk):
        return f'checkpoint-{record.index}'
    return f'era-{record.era}' if isinstance(record, EraStart) else ''


def _generation(record: Record) -> int:
    """Return the generation of a checkpoint chunk, which rises with the log."""
    return record.as_of_offset if isinstance(record, CheckpointChunk) else 0
