"""State machine that every node runs over the same records."""

from collections.abc import Callable, Iterable
from typing import Any

from returns.result import Failure, Result, Success

from verbenadeck.config import (
    MAX_TOTAL_SHARDS,
    decode_document,
    encode_document,
)
from verbenadeck.fleet._reader import FleetReader
from verbenadeck.fleet._snapshot import (
    SNAPSHOT_VERSION,
    Snapshot,
    decode_snapshot,
    encode_snapshot,
)
from verbenadeck.fleet._view import AppliedListener
from verbenadeck.fleet._writers import WriterWindows
from verbenadeck.model import ConfigDocument, ConfigVersion, Offset
from verbenadeck.records import (
    Assign,
    CheckpointChunk,
    CodecError,
    ConfigPublished,
    Envelope,
    NodeJoin,
    NodeLeave,
    Record,
    Released,
    Suspect,
    Verdict,
    Witnesses,
    decode_envelope,
)

_Judge = Callable[[Offset, Any], Verdict]
_ORDER = (Verdict.ACCEPTED, Verdict.STALE)


def _combine(verdicts: Iterable[Verdict]) -> Verdict:
    """Return one verdict on a record whose parts were judged alone."""
    found = set(verdicts)
    for verdict in _ORDER:
        if verdict in found:
            return verdict
    return Verdict.INVALID


class FleetState(FleetReader):
    """Fleet state as of the last applied record; implements `FleetView`.

    Every node applies the same records in the same order and comes to the
    same verdicts: judgement looks at the record, its position and the state
    alone, never at a clock or at this node's own part.

    What makes at most one owner serve a shard, as far as the log goes:

    1. A shard has one named owner; its fence is the position of the `Assign`
       that named it, so fences only rise.
    2. An `Assign` takes effect only on shards that still have the fence it
       expects, and only for a member that is `JOINED`.
    3. The last owner stays on the shard as an earlier owner until it releases
       the shard, says that it is gone, or is evicted. The named owner serves
       only while there is no earlier owner.
    4. A release covers assignments up to the position that its writer had
       applied, so a late one never releases a later assignment.
    5. Votes count for one epoch and need a quorum that meets every renewal
       quorum; see `eviction_quorum`.
    6. A record takes effect at most once; see `WriterWindows`.
    """

    def __init__(self) -> None:
        super().__init__()
        self._writers = WriterWindows()
        self._listeners: list[AppliedListener] = []
        self._judges: dict[type, _Judge] = {
            NodeJoin: self._members.join,
            NodeLeave: self._members.leave,
            Witnesses: self._members.change_witnesses,
            Suspect: self._judge_votes,
            Assign: self._judge_assign,
            Released: self._judge_release,
            ConfigPublished: self._judge_config,
            CheckpointChunk: lambda _offset, _record: Verdict.ACCEPTED,
        }

    def subscribe(self, listener: AppliedListener) -> None:
        """Call a listener after each record is applied."""
        self._listeners.append(listener)

    def apply(self, offset: Offset, payload: bytes | Envelope) -> Verdict:
        """Apply the next record of the log.

        Parameters
        ----------
        offset : Offset
            Its position, one past the last one.
        payload : bytes or Envelope
            The record; bytes that are no record are `INVALID`.

        Raises
        ------
        ValueError
            When records were left out.
        """
        if offset != self._applied_offset + 1:
            expected = self._applied_offset + 1
            raise ValueError(f'record {offset} came in place of {expected}')
        envelope = _envelope_of(payload)
        self._applied_offset = offset
        if envelope is None:
            return Verdict.INVALID
        verdict = self._judge(offset, envelope)
        self._tell(offset, envelope.record, verdict)
        return verdict

    def snapshot(self) -> bytes:
        """Return the encoded state, for `compress_snapshot`."""
        return encode_snapshot(
            Snapshot(
                version=SNAPSHOT_VERSION,
                applied_offset=self._applied_offset,
                config_version=self._config_version,
                config_author=self._config_author,
                document=encode_document(self._config),
                live=tuple(self._members.live.values()),
                ended=tuple(self._members.ended.values()),
                votes=self._members.votes,
                tables=self._ownership.snapshots(),
                writers=tuple(self._writers.items()),
            ),
        )

    def restore(self, packed: bytes) -> Result[Offset, CodecError]:
        """Replace the state by a packed snapshot and return its offset.

        A damaged snapshot is a failure and changes nothing.
        """
        return decode_snapshot(packed).bind(self._load)

    def _load(self, snapshot: Snapshot) -> Result[Offset, CodecError]:
        document = decode_document(snapshot.document).value_or(None)
        if document is None:
            return Failure(CodecError('snapshot has an invalid document'))
        self._applied_offset = snapshot.applied_offset
        self._config = document
        self._config_version = snapshot.config_version
        self._config_author = snapshot.config_author
        self._members.load(snapshot.live, snapshot.ended, snapshot.votes)
        self._ownership.load(snapshot.tables)
        self._writers.load(snapshot.writers)
        replaced = CheckpointChunk(self._applied_offset, 0, 0, b'')
        self._tell(self._applied_offset, replaced, Verdict.ACCEPTED)
        return Success(self._applied_offset)

    def _judge(self, offset: Offset, envelope: Envelope) -> Verdict:
        verdict = self._writers.judge(envelope, offset)
        if verdict is not None:
            return verdict
        record = envelope.record
        return self._judges[type(record)](offset, record)

    def _tell(self, offset: Offset, record: Record, verdict: Verdict) -> None:
        for listener in self._listeners:
            listener(offset, record, verdict)

    def _judge_votes(self, offset: Offset, record: Suspect) -> Verdict:
        return _combine(
            self._members.vote(offset, vote) for vote in record.votes
        )

    def _judge_assign(self, offset: Offset, record: Assign) -> Verdict:
        live = self._members.live.get
        return _combine(self._ownership.assign(offset, record, live))

    def _judge_release(self, offset: Offset, record: Released) -> Verdict:
        return _combine(self._ownership.release(offset, record))

    def _judge_config(
        self, _offset: Offset, record: ConfigPublished
    ) -> Verdict:
        if record.expected_version != self._config_version:
            return Verdict.STALE
        document = decode_document(record.document).value_or(None)
        if document is None or not self._fits(document):
            return Verdict.INVALID
        self._ownership.add_tables(document)
        self._config = document
        self._config_version = ConfigVersion(self._config_version + 1)
        self._config_author = record.author
        return Verdict.ACCEPTED

    def _fits(self, document: ConfigDocument) -> bool:
        if any(self._ownership.clashes(document)):
            return False
        return self._ownership.total_shards(document) <= MAX_TOTAL_SHARDS


def _envelope_of(payload: bytes | Envelope) -> Envelope | None:
    if isinstance(payload, Envelope):
        return payload
    return decode_envelope(payload).value_or(None)
