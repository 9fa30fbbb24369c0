"""Newest record of each name of a stream that may lose its newest records."""

import itertools
from collections.abc import Callable, Iterable, Iterator

import msgspec
import xxhash

from verbenadeck.adapters import NewestRecords
from verbenadeck.model import Era, Offset, era_of, index_of, make_offset

RecordSplitter = Callable[[bytes], tuple[str, bytes]]
"""Returns the name and the content of a record; empty content drops the name."""

_MAX_KNOWN_RECORDS = 4_096
"""Maximum number of records that are remembered by their digests: more than
are written within the seconds that a return of the log may cost."""

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
    dropped if the stream still has later records that were applied before;
    otherwise it may be lost, so it stays.

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
        self._complete_from = Offset(0)
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

    def find_known_stop(self, newest: NewestRecords) -> Offset:
        """Return the index up to which a stream that came back is known.

        What follows a record that has not been applied was written after the
        return, even if it equals an applied one.

        Parameters
        ----------
        newest : NewestRecords
            Newest record of each name in the stream.
        """
        known = itertools.takewhile(
            self._is_known, self._iter_records(newest.records, newest.era)
        )
        stop_index = max(
            (index_of(each.position) for each in known), default=-1
        )
        return Offset(stop_index + 1)

    def load(
        self,
        newest: NewestRecords,
        history: Iterable[tuple[Offset, bytes]] = (),
    ) -> None:
        """Apply the newest records that the stream itself has returned.

        Parameters
        ----------
        newest : NewestRecords
            Newest record of each name in the stream.
        history : iterable of (Offset, bytes)
            After a return, all records from `find_known_stop` on, if the
            stream still has them: the newest records show no drops.
        """
        known_era = self.era
        stop = newest.end_offset
        if newest.era > known_era:
            stop = self.find_known_stop(newest)
        written = self._skip_older(self._iter_records(history, newest.era))
        found = tuple(self._iter_records(newest.records, newest.era))
        self.merge(found, newest.era, newest.end_offset)
        for record in written:
            self._keep_newer(record)
        names = {self._split_record(record.payload)[0] for record in found}
        for name, kept in tuple(self._kept.items()):
            is_before_stop = (
                era_of(kept.position) == known_era
                and index_of(kept.position) < stop
            )
            if name not in names and is_before_stop and not kept.is_drop:
                self._drop(name, newest.end_offset)

    def merge(
        self, found: Iterable[PositionedRecord], era: Era, end_offset: Offset
    ) -> None:
        """Apply the records that say anything new.

        Parameters
        ----------
        found : iterable of PositionedRecord
            Newest record of each name.
        era : Era
            Era of the stream that they were read in, not below that of this
            state.
        end_offset : Offset
            Index up to which they are complete, itself excluded.
        """
        is_return = era > self.era
        self.era = era
        self._complete_from = end_offset
        for record in found:
            known_era = self._known.get(_make_key(record))
            if known_era == era or (known_era is not None and is_return):
                self._confirm(record)
            else:
                self._keep_newer(record)

    def _iter_records(
        self, records: Iterable[tuple[Offset, bytes]], era: Era
    ) -> Iterator[PositionedRecord]:
        for index, payload in records:
            yield self._make_record(make_offset(era, index), payload)

    def _is_known(self, record: PositionedRecord) -> bool:
        return _make_key(record) in self._known

    def _skip_older(
        self, records: Iterable[PositionedRecord]
    ) -> tuple[PositionedRecord, ...]:
        """Skip leading records that may have been there before a return.

        Of those before the newest ones that were loaded, not all were read.
        """
        read_indices = {index for index, _ in self._known}

        def is_older(record: PositionedRecord) -> bool:
            index = index_of(record.position)
            is_unread = (
                index < self._complete_from and index not in read_indices
            )
            return is_unread or self._is_known(record)

        return tuple(itertools.dropwhile(is_older, records))

    def _make_record(
        self, position: Offset, payload: bytes
    ) -> PositionedRecord:
        return PositionedRecord(
            position, payload, not self._split_record(payload)[1]
        )

    def _confirm(self, record: PositionedRecord) -> None:
        """Note that a known record is part of the newest era."""
        key = _make_key(record)
        self._known[key] = self.era
        name = self._split_record(record.payload)[0]
        kept = self._kept.get(name)
        if kept is None or kept.is_drop != record.is_drop:
            return
        if _make_key(kept) == key:
            self._kept[name] = record

    def _keep_newer(self, record: PositionedRecord) -> None:
        kept = self._kept.get(self._split_record(record.payload)[0])
        if kept is None or kept.position < record.position:
            self._keep(record)

    def _keep(self, record: PositionedRecord) -> None:
        name = self._split_record(record.payload)[0]
        self._kept.pop(name, None)
        self._kept[name] = record
        key = _make_key(record)
        self._known.pop(key, None)
        self._known[key] = self.era
        while len(self._known) > _MAX_KNOWN_RECORDS:
            self._known.pop(next(iter(self._known)))
        if record.is_drop:
            self._evict_drops()

    def _drop(self, name: str, end_offset: Offset) -> None:
        kept = self._kept.pop(name)
        position = make_offset(self.era, end_offset - 1)
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
