"""In-memory implementation of the log interface, with faults."""

import asyncio
import itertools
import math
from collections import defaultdict
from collections.abc import Iterator

from returns.result import Failure, Result, Success

from verbenadeck.adapters import LogError, LogFailure, LogPage, NewestRecords
from verbenadeck.model import Era, Offset
from verbenadeck.utils import Clock

_POLL_S = 0.01
_APPEND_LATENCY_S = 0.01
_NAMES_PER_WRITER = 64
"""Number of names that a writer uses in turn for records without a name."""

_NameAndRecord = tuple[str, tuple[Offset, bytes]]
_Generations = list[tuple[int, Offset]]


class MemoryLog:
    """In-memory log that the `MemoryLogAdapter` objects of a test share.

    Parameters
    ----------
    retains_newest : bool
        Whether the log keeps the newest record of each name for good. Without
        it, only what has not expired can be read.
    keep_s : float
        Time in seconds after which a record expires.
    newest_page_size : int
        Number of records in one page of the newest records. Pages are read
        one after the other and are no snapshot.

    Attributes
    ----------
    records : list of bytes
        All records ever appended; the index is the offset. A record that is
        put into the list directly has a name of its own.
    first_offset : int
        Oldest offset that can be read; older records have expired.
    is_up : bool
        Whether calls succeed; false simulates an outage.
    lost_answers : int
        Number of coming appends that take effect but get no answer.
    latency_s : float
        Duration of an append in seconds.
    answer_delay_s : float
        Time in seconds that the answer to a read is on its way.
    era : Era
        Number of times that the log has come back from a copy.
    """

    def __init__(
        self,
        *,
        retains_newest: bool = True,
        keep_s: float = math.inf,
        newest_page_size: int = 500,
    ) -> None:
        self.records: list[bytes] = []
        self.first_offset = 0
        self.is_up = True
        self.lost_answers = 0
        self.latency_s = _APPEND_LATENCY_S
        self.answer_delay_s = 0.0
        self.era = Era(0)
        self.retains_newest = retains_newest
        self._newest_page_size = newest_page_size
        self._keep_s = keep_s
        self._ends: list[tuple[float, int]] = []
        self._names: dict[int, str] = {}
        self._drops: set[int] = set()
        self._generations: dict[str, _Generations] = defaultdict(list)
        self._writer_numbers = itertools.count()
        self._process_counts: dict[str, int] = defaultdict(int)
        self._name_numbers: dict[str, Iterator[int]] = defaultdict(
            itertools.count
        )

    def append(
        self, record: bytes, name: str, *, is_drop: bool = False
    ) -> Offset:
        """Append a record, which replaces the retained one of its name.

        Parameters
        ----------
        record : bytes
            The record.
        name : str
            Name of the record.
        is_drop : bool
            Whether the name has no newest record from here on.
        """
        offset = Offset(len(self.records))
        self.records.append(record)
        self._names[offset] = name
        if is_drop:
            self._drops.add(offset)
        return offset

    def append_generation(
        self, record: bytes, name: str, generation: int
    ) -> Offset | None:
        """Append a record in order of the generations of its name.

        A repeat has no effect and returns the offset of the first append.

        Parameters
        ----------
        record : bytes
            The record.
        name : str
            Name of the record.
        generation : int
            Generation of the record.

        Returns
        -------
        Offset or None
            Offset of the record; None if a later generation is there.
        """
        appended = self._generations[name]
        if appended and generation <= appended[-1][0]:
            last_generation, offset = appended[-1]
            return offset if generation == last_generation else None
        offset = self.append(record, name)
        appended.append((generation, offset))
        return offset

    def make_writer_name(self) -> str:
        """Return the name of a writer that no other has."""
        return f'writer-{next(self._writer_numbers)}'

    def name_records(self, writer: str) -> Iterator[str]:
        """Return the names for the records of a process that have none.

        Two processes of a writer in a row use different names.

        Parameters
        ----------
        writer : str
            Name of the writer.
        """
        self._process_counts[writer] += 1
        prefix = f'{writer}/{self._process_counts[writer] % 2}'
        numbers = self._name_numbers[prefix]
        return (f'{prefix}/{number % _NAMES_PER_WRITER}' for number in numbers)

    def read_newest_page(self, after: str) -> tuple[list[_NameAndRecord], bool]:
        """Return a page of newest records by name, and whether more follow.

        Parameters
        ----------
        after : str
            Name after which the page begins, empty for the first one.
        """
        newest: dict[str, tuple[Offset, bytes]] = {}
        for index, record in enumerate(self.records):
            name = self._names.get(index, f'offset-{index:09}')
            newest[name] = (Offset(index), record)
        kept = sorted(
            (name, found)
            for name, found in newest.items()
            if found[0] not in self._drops and name > after
        )
        page = kept[: self._newest_page_size]
        return page, len(page) < len(kept)

    def expire_all(self) -> None:
        """Forget the history; only the newest records of names stay."""
        self.first_offset = len(self.records)

    def expire_old(self, now_s: float) -> None:
        """Expire the records that are older than the retention time.

        Parameters
        ----------
        now_s : float
            Time in seconds on any clock that all calls share.
        """
        if math.isinf(self._keep_s):
            return
        self._ends.append((now_s, len(self.records)))
        while self._ends[0][0] < now_s - self._keep_s:
            end = self._ends.pop(0)[1]
            self.first_offset = max(self.first_offset, end)

    def return_from_copy(self, record_count: int) -> list[bytes]:
        """Lose all records but the first ones; return those that are lost.

        Parameters
        ----------
        record_count : int
            Number of records in the copy.
        """
        lost = self.records[record_count:]
        self.records = self.records[:record_count]
        self._names = {
            offset: name
            for offset, name in self._names.items()
            if offset < record_count
        }
        for name, appended in self._generations.items():
            self._generations[name] = [
                each for each in appended if each[1] < record_count
            ]
        self._drops = {each for each in self._drops if each < record_count}
        self._ends = [
            (time_s, min(end, record_count)) for time_s, end in self._ends
        ]
        self.first_offset = min(self.first_offset, record_count)
        self.era = Era(self.era + 1)
        return lost


class MemoryLogAdapter:
    """Connection of one node to a `MemoryLog`.

    Parameters
    ----------
    log : MemoryLog
        Log to append to and to read from.
    clock : Clock
        Clock of the node, for deadlines.
    writer : str
        Name of the node as a writer; by default one that no other has.

    Attributes
    ----------
    is_cut : bool
        Whether this connection is broken, or the log turns the node away;
        other nodes' calls are not affected.
    newest_calls : int
        Number of pages of newest records that were asked for.
    """

    def __init__(
        self, log: MemoryLog, clock: Clock, *, writer: str = ''
    ) -> None:
        self.is_cut = False
        self.newest_calls = 0
        self._log = log
        self._clock = clock
        self._era = Era(0)
        self._writer = writer or log.make_writer_name()
        self._names = log.name_records(self._writer)

    @property
    def era(self) -> Era:
        """Highest era of the log in any of its answers to this adapter."""
        return self._era

    async def append(
        self,
        record: bytes,
        *,
        deadline_s: float,
        name: str = '',
        generation: int = 0,
    ) -> Result[Offset, LogError]:
        """Append a record and return its offset."""
        await asyncio.sleep(self._log.latency_s)
        if self.is_cut or not self._log.is_up:
            return Failure(LogError(LogFailure.NOT_APPENDED, 'log is down'))
        self._admit(self._log.era)
        offset = self._append_now(record, name, generation)
        if offset is None:
            return Failure(LogError(LogFailure.NOT_APPENDED, 'fenced'))
        if self._log.lost_answers:
            self._log.lost_answers -= 1
            await self._clock.sleep_until(deadline_s)
            return Failure(LogError(LogFailure.UNKNOWN, 'answer lost'))
        return Success(offset)

    def _append_now(
        self, record: bytes, name: str, generation: int
    ) -> Offset | None:
        """Append a record; return None if a later generation is there."""
        if not name:
            return self._log.append(record, next(self._names))
        return self._log.append_generation(
            record, f'{name}/{self._writer}', generation
        )

    async def read(
        self, start_offset: Offset, *, limit: int, deadline_s: float
    ) -> Result[LogPage, LogError]:
        """Read records, polling until one exists or the deadline passes."""
        log = self._log
        while True:
            if self.is_cut or not log.is_up:
                # Also for a reader that was paused past its deadline.
                return _unavailable('log is down')
            answer = self._read_now(start_offset, limit)
            is_over = self._clock.now_s() >= deadline_s
            if is_over or _is_final(answer):
                break
            await asyncio.sleep(_POLL_S)
        era = log.era
        await self._delay_answer()
        if not self._admit(era):
            return _unavailable('answer of an earlier era')
        return answer

    def _read_now(
        self, start_offset: Offset, limit: int
    ) -> Result[LogPage, LogError]:
        log = self._log
        log.expire_old(asyncio.get_running_loop().time())
        first = Offset(log.first_offset)
        if log.era and start_offset > len(log.records):
            return Failure(LogError(LogFailure.EXPIRED, 'no such offset'))
        if start_offset < first:
            return Failure(
                LogError(LogFailure.EXPIRED, 'offset expired', first)
            )
        stop = start_offset + limit
        return Success(
            LogPage(
                first,
                start_offset,
                tuple(log.records[start_offset:stop]),
                reaches_end=stop >= len(log.records),
                era=log.era,
            )
        )

    async def newest(self) -> Result[NewestRecords | None, LogError]:
        """Return the newest record of each name, read page by page."""
        log = self._log
        if not log.retains_newest:
            return Success(None)
        first_era = log.era
        end = Offset(len(log.records))
        newest: dict[str, tuple[Offset, bytes]] = {}
        after = ''
        has_more = True
        while has_more:
            self.newest_calls += 1
            await self._delay_answer()
            if self.is_cut or not log.is_up:
                return _unavailable('log is down')
            if not newest:
                first_era = log.era
                end = Offset(len(log.records))
            page, has_more = log.read_newest_page(after)
            era = log.era
            await self._delay_answer()
            if not self._admit(era) or era != first_era:
                return _unavailable('answer of an earlier era')
            newest.update(page)
            after = page[-1][0] if page else ''
        kept = sorted(found for found in newest.values() if found[0] < end)
        return Success(NewestRecords(tuple(kept), end, first_era))

    async def close(self) -> None:
        """Do nothing; there is no connection to close."""

    async def _delay_answer(self) -> None:
        if self._log.answer_delay_s:
            await asyncio.sleep(self._log.answer_delay_s)

    def _admit(self, era: Era) -> bool:
        """Note the era of an answer; return whether it is the newest one."""
        self._era = max(self._era, era)
        return era == self._era


def _is_final(answer: Result[LogPage, LogError]) -> bool:
    """Return whether an answer is due before the deadline of a read."""
    return bool(answer.map(lambda page: bool(page.records)).value_or(True))


def _unavailable(detail: str) -> Failure[LogError]:
    return Failure(LogError(LogFailure.UNAVAILABLE, detail))
