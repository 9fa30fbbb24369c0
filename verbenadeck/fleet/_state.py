"""Replicated state machine that every node runs over the records."""

from collections.abc import Iterable

from returns.result import Failure, Result, Success

from verbenadeck.config import (
    MAX_TOTAL_SHARDS,
    decode_document,
    encode_document,
)
from verbenadeck.fleet._era_handlers import RecordHandler, make_era_handlers
from verbenadeck.fleet._reader import FleetReader
from verbenadeck.fleet._snapshot import (
    SNAPSHOT_VERSION,
    Snapshot,
    decode_snapshot,
    encode_snapshot,
)
from verbenadeck.fleet._view import AppliedListener
from verbenadeck.fleet._writers import WriterWindows
from verbenadeck.model import (
    ConfigDocument,
    ConfigVersion,
    Era,
    Offset,
    era_of,
    next_offset,
)
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
    UpstreamLeave,
    Verdict,
    Witnesses,
    decode_envelope,
)

_VERDICT_PRECEDENCE = (Verdict.ACCEPTED, Verdict.STALE)


def _combine_verdicts(verdicts: Iterable[Verdict]) -> Verdict:
    """Return the verdict on a record whose parts were applied separately."""
    found = set(verdicts)
    for verdict in _VERDICT_PRECEDENCE:
        if verdict in found:
            return verdict
    return Verdict.INVALID


class FleetState(FleetReader):
    """Fleet state as of the last applied record; implements `FleetView`.

    Every node applies the same records in the same order and reaches the
    same verdicts: a verdict depends only on the record, its offset and the
    state, never on a clock or on the node that computes it.

    These rules ensure that at most one owner serves a shard, as far as the
    log is concerned:

    1. A shard has one assigned owner; its fence is the offset of the `Assign`
       record that assigned it, so fences only increase.
    2. An `Assign` takes effect only on shards that still have the fence it
       expects, and only for a member that is `JOINED`.
    3. The previous owner remains an earlier owner of the shard until it
       releases the shard, announces that it is gone, or is evicted. The
       assigned owner serves only while there is no earlier owner.
    4. A release covers assignments up to the offset that its writer had
       applied, so a delayed release never releases a later assignment.
    5. Votes count for one epoch and need a quorum that intersects every
       renewal quorum; see `eviction_quorum`.
    6. A record takes effect at most once; see `WriterWindows`.
    7. After a record of an era, records that were decided in an earlier era
       have no effect. The first record of an era raises all fences, and the
       shards are contested until they are claimed or `ClaimsClosed` follows;
       see `EraClaims`.
    """

    def __init__(self) -> None:
        super().__init__()
        self._writers = WriterWindows()
        self._listeners: list[AppliedListener] = []
        self._handlers: dict[type, RecordHandler] = {
            NodeJoin: self._members.join,
            NodeLeave: self._members.leave,
            Witnesses: self._members.change_witnesses,
            Suspect: self._apply_suspect,
            Assign: self._apply_assign,
            Released: self._apply_released,
            ConfigPublished: self._apply_config,
            CheckpointChunk: lambda _offset, _record: Verdict.ACCEPTED,
            UpstreamLeave: self.departed_upstreams.apply,
            **make_era_handlers(self.claims, self._members, self._ownership),
        }

    def subscribe(self, listener: AppliedListener) -> None:
        """Register a function that is called after each applied record.

        When a checkpoint has replaced the whole state, the function is
        called with a `CheckpointChunk` whose `count` is 0.

        Parameters
        ----------
        listener : callable
            Called with the offset, the record and the verdict.
        """
        self._listeners.append(listener)

    def clear(self) -> None:
        """Replace the whole state by that of a log without records."""
        self._load(_EMPTY_SNAPSHOT)

    def follow(self, payload: bytes | Envelope) -> tuple[Offset, Verdict]:
        """Apply the record that follows the last applied one in the log.

        Parameters
        ----------
        payload : bytes or Envelope
            The record.

        Returns
        -------
        (Offset, Verdict)
            Offset of the record, and the verdict on it.
        """
        envelope = _decode_payload(payload)
        offset = next_offset(self._applied_offset, _era_of_envelope(envelope))
        return offset, self.apply(
            offset, payload if envelope is None else envelope
        )

    def apply(self, offset: Offset, payload: bytes | Envelope) -> Verdict:
        """Apply the next record of the log.

        Parameters
        ----------
        offset : Offset
            Offset of the record, the next one after the last applied offset.
        payload : bytes or Envelope
            The record; bytes that cannot be decoded are `INVALID`.

        Returns
        -------
        Verdict

        Raises
        ------
        ValueError
            If the offset is not the next one.
        """
        envelope = _decode_payload(payload)
        expected = next_offset(self._applied_offset, _era_of_envelope(envelope))
        if offset != expected:
            raise ValueError(
                f'cannot apply offset {offset}: expected offset {expected}'
            )
        is_first_of_era = era_of(offset) > era_of(self._applied_offset)
        self._applied_offset = offset
        if is_first_of_era:
            self._ownership.raise_fences(offset)
            self.claims.start(offset, self._members.live)
        if envelope is None:
            return Verdict.INVALID
        verdict = self._apply_envelope(offset, envelope)
        self._notify_listeners(offset, envelope.record, verdict)
        return verdict

    def snapshot(self) -> bytes:
        """Return the encoded state, to be passed to `compress_snapshot`.

        Returns
        -------
        bytes
        """
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
                tables=self._ownership.encode_tables(),
                writers=tuple(self._writers.items()),
                departed_upstreams=self.departed_upstreams.encode(),
                claims=self.claims.encode(),
            ),
        )

    def restore(self, compressed: bytes) -> Result[Offset, CodecError]:
        """Replace the whole state by a compressed snapshot.

        Parameters
        ----------
        compressed : bytes
            Concatenated chunks of `compress_snapshot`.

        Returns
        -------
        Result of Offset
            Applied offset of the snapshot; a failure if the snapshot is
            damaged, which leaves the state unchanged.
        """
        return decode_snapshot(compressed).bind(self._load)

    def _load(self, snapshot: Snapshot) -> Result[Offset, CodecError]:
        document = decode_document(snapshot.document).value_or(None)
        if document is None:
            return Failure(
                CodecError('snapshot has an invalid configuration document')
            )
        self._applied_offset = snapshot.applied_offset
        self._config = document
        self._config_version = snapshot.config_version
        self._config_author = snapshot.config_author
        self._members.load(snapshot.live, snapshot.ended, snapshot.votes)
        self._ownership.load(snapshot.tables)
        self._writers.load(snapshot.writers)
        self.departed_upstreams.load(snapshot.departed_upstreams)
        self.claims.load(snapshot.claims)
        replaced = CheckpointChunk(self._applied_offset, 0, 0, b'')
        self._notify_listeners(self._applied_offset, replaced, Verdict.ACCEPTED)
        return Success(self._applied_offset)

    def _apply_envelope(self, offset: Offset, envelope: Envelope) -> Verdict:
        if _era_of_envelope(envelope) < era_of(offset):
            return Verdict.STALE
        verdict = self._writers.check(envelope, offset)
        if verdict is not None:
            return verdict
        record = envelope.record
        return self._handlers[type(record)](offset, record)

    def _notify_listeners(
        self, offset: Offset, record: Record, verdict: Verdict
    ) -> None:
        for listener in self._listeners:
            listener(offset, record, verdict)

    def _apply_suspect(self, offset: Offset, record: Suspect) -> Verdict:
        return _combine_verdicts(
            self._members.vote(offset, vote) for vote in record.votes
        )

    def _apply_assign(self, offset: Offset, record: Assign) -> Verdict:
        live = self._members.live.get
        return _combine_verdicts(self._ownership.assign(offset, record, live))

    def _apply_released(self, offset: Offset, record: Released) -> Verdict:
        return _combine_verdicts(self._ownership.release(offset, record))

    def _apply_config(
        self, _offset: Offset, record: ConfigPublished
    ) -> Verdict:
        if record.expected_version != self._config_version:
            return Verdict.STALE
        document = decode_document(record.document).value_or(None)
        if document is None or not self._are_shard_counts_valid(document):
            return Verdict.INVALID
        self._ownership.add_tables(document)
        self._config = document
        self._config_version = ConfigVersion(self._config_version + 1)
        self._config_author = record.author
        return Verdict.ACCEPTED

    def _are_shard_counts_valid(self, document: ConfigDocument) -> bool:
        if any(self._ownership.find_shard_count_conflicts(document)):
            return False
        return self._ownership.count_total_shards(document) <= MAX_TOTAL_SHARDS


def _decode_payload(payload: bytes | Envelope) -> Envelope | None:
    if isinstance(payload, Envelope):
        return payload
    return decode_envelope(payload).value_or(None)


def _era_of_envelope(envelope: Envelope | None) -> Era:
    """Return the era of a record, 0 for bytes that cannot be decoded."""
    return Era(0) if envelope is None else envelope.era


_EMPTY_SNAPSHOT = Snapshot(
    version=SNAPSHOT_VERSION,
    applied_offset=Offset(-1),
    config_version=ConfigVersion(0),
    config_author='',
    document=encode_document(ConfigDocument()),
    live=(),
    ended=(),
    votes={},
    tables=(),
    writers=(),
)
