"""Newest record of each name of a stream that may lose its newest records."""

from collections.abc import Callable, Iterable

import msgspec
import xxhash

from verbenadeck.adapters import NewestRecords
from verbenadeck.model import Era, Offset, era_of, index_of, make_offset

RecordSplitter = Callable[[bytes], tuple[str, bytes]]
"""Returns the name and the content of a record; empty content drops the name."""

_MAX_KNOWN_RECORDS = 4_096
"""Maximum number of records that are remembered by their digests: more than
operators write within the seconds that a return of the log may cost."""

_MAX_DROPPED_NAMES = 1_024

_RecordKey = tuple[int, bytes]


class PositionedRecord(msgspec.Struct, frozen=True, array_like=True):
    """Newest record of a name.

    Parameters
    ----------
    position : Offset
        Position of the record: the era that it was read in and its index.
    payload : bytes
        The record.
    is_drop : bool
        Whether the name is not in force any more.
    """

    position: Offset
    payload: bytes
    is_drop: bool = False


class StreamState:
    """Newest record of each name, as far as it is in force.

    When the stream has come back without its newest records, what is in force
    stays so until a later record of the same name has been written. A record
    that was applied before, with the same index and content, says nothing new:
    it may be older than records which are lost. A name without a record was
    lost or dropped, which can't be told apart, so it stays.

    Parameters
    ----------
    split_record : RecordSplitter
        Returns the name and the content of a record.

    Attributes
    ----------
    era : Era
        Era of the stream that was read last.
    """

    def __init__(self, split_record: RecordSplitter) -> None:
        self._split_record = split_record
        self._kept: dict[str, PositionedRecord] = {}
        self._known: dict[_RecordKey, Era] = {}
        self.era = Era(0)

    @property
    def records(self) -> tuple[bytes, ...]:
        """Records in force, by rising position."""
        return tuple(
            kept.payload for kept in self.positioned_records if not kept.is_drop
        )

    @property
    def positioned_records(self) -> tuple[PositionedRecord, ...]:
        """Newest records of all names, drops included, by rising position."""
        kept_records = self._kept.values()
        return tuple(sorted(kept_records, key=lambda kept: kept.position))

    def follow(self, start_index: int, records: Iterable[bytes]) -> None:
        """Apply consecutive records that follow the others.

        Parameters
        ----------
        start_index : int
            Index of the first record in the stream.
        records : iterable of bytes
            The records.
        """
        for index, payload in enumerate(records, start=start_index):
            self._keep(self._make_record(make_offset(self.era, index), payload))

    def load(self, newest: NewestRecords) -> None:
        """Apply the newest records that the stream itself has returned.

        Parameters
        ----------
        newest : NewestRecords
            Newest record of each name in the stream.
        """
        is_same_era = newest.era == self.era
        found = tuple(
            self._make_record(make_offset(newest.era, index), payload)
            for index, payload in newest.records
        )
        self.merge(found, newest.era)
        if is_same_era:
            names = {self._read_name(record) for record in found}
            self._drop_missing(names, newest.end_offset)

    def merge(self, found: Iterable[PositionedRecord], era: Era) -> None:
        """Apply the records that say anything new.

        Parameters
        ----------
        found : iterable of PositionedRecord
            Newest record of each name.
        era : Era
            Era of the stream that they were read in, not below that of this
            state.
        """
        is_return = era > self.era
        self.era = era
        for record in found:
            key = _make_key(record)
            known_era = self._known.get(key)
            if known_era == era or (known_era is not None and is_return):
                self._confirm(record, key)
                continue
            kept = self._kept.get(self._read_name(record))
            if kept is None or kept.position < record.position:
                self._keep(record)

    def _make_record(
        self, position: Offset, payload: bytes
    ) -> PositionedRecord:
        return PositionedRecord(
            position, payload, not self._split_record(payload)[1]
        )

    def _read_name(self, record: PositionedRecord) -> str:
        return self._split_record(record.payload)[0]

    def _confirm(self, record: PositionedRecord, key: _RecordKey) -> None:
        """Note that a known record is part of the newest era."""
        self._known[key] = self.era
        name = self._read_name(record)
        kept = self._kept[name] if name in self._kept else record
        if _make_key(kept) == key and kept.is_drop == record.is_drop:
            self._kept[name] = max(kept, record, key=lambda each: each.position)

    def _keep(self, record: PositionedRecord) -> None:
        name = self._read_name(record)
        self._kept.pop(name, None)
        self._kept[name] = record
        key = _make_key(record)
        self._known.pop(key, None)
        self._known[key] = self.era
        while len(self._known) > _MAX_KNOWN_RECORDS:
            self._known.pop(next(iter(self._known)))
        if record.is_drop:
            self._evict_drops()

    def _drop_missing(self, names: set[str], end_offset: Offset) -> None:
        """Drop the names of this era that the stream no longer has."""
        position = make_offset(self.era, end_offset - 1)
        for name, kept in tuple(self._kept.items()):
            is_missing = name not in names and era_of(kept.position) == self.era
            if is_missing and not kept.is_drop:
                self._kept[name] = PositionedRecord(
                    position, kept.payload, is_drop=True
                )
        self._evict_drops()

    def _evict_drops(self) -> None:
        drops = [name for name, kept in self._kept.items() if kept.is_drop]
        for name in drops[: max(0, len(drops) - _MAX_DROPPED_NAMES)]:
            self._kept.pop(name)


def _make_key(record: PositionedRecord) -> _RecordKey:
    digest = xxhash.xxh3_128_digest(record.payload)
    return index_of(record.position), digest
