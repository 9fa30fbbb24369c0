"""Ledger of requests that must not run twice."""

import enum

import msgspec
from returns.result import Failure, Success

from verbenadeck.model import (
    Answer,
    AnswerResult,
    RefusalReason,
    RequestId,
)
from verbenadeck.proxy._refusals import unknown
from verbenadeck.proxy._runs import Run

_ENTRY_OVERHEAD_BYTES = 400


class EntryState(enum.Enum):
    """What the ledger knows of a request."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'


class ExportedEntry(msgspec.Struct, frozen=True, array_like=True):
    """Entry as it travels with a shard.

    Parameters
    ----------
    request_id : RequestId
        Id of the request.
    fingerprint : int
        Fingerprint; another request under the same id is a mistake.
    shard : int
        Shard of the key or of the id.
    remaining_s : float
        Time in seconds for which the entry stays.
    answer : Answer or None
        Kept answer; None when the outcome is unknown.
    """

    request_id: RequestId
    fingerprint: int
    shard: int
    remaining_s: float
    answer: Answer | None


class Entry:
    """One request in the ledger."""

    __slots__ = (
        'answer',
        'expires_at_s',
        'fingerprint',
        'request_id',
        'run',
        'shard',
        'state',
    )

    def __init__(
        self, request_id: RequestId, fingerprint: int, shard: int
    ) -> None:
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.shard = shard
        self.state = EntryState.RUNNING
        self.answer: Answer | None = None
        self.expires_at_s = 0.0
        self.run: Run | None = None

    def result(self) -> AnswerResult:
        """Return the kept answer, or that the outcome is unknown."""
        if self.answer is not None:
            return Success(self.answer)
        return Failure(
            unknown(RefusalReason.UPSTREAM_FAILED, 'it was sent before')
        )

    def size_bytes(self) -> int:
        """Return the memory that the entry takes, about."""
        if self.answer is None:
            return _ENTRY_OVERHEAD_BYTES
        return _ENTRY_OVERHEAD_BYTES + len(self.answer.body)


class Ledger:
    """Entries by request id, in bounded memory.

    When it is full it takes no new entry, so the request is refused as not
    run; it never forgets an entry before its time.

    Parameters
    ----------
    limit : int
        Most entries.
    limit_bytes : int
        Most memory; running requests may exceed it by their answers.
    """

    def __init__(
        self, *, limit: int = 100_000, max_bytes: int = 16_000_000
    ) -> None:
        self.size_bytes = 0
        self._limit = limit
        self._max_bytes = max_bytes
        self._entries: dict[RequestId, Entry] = {}
        self._finished: dict[RequestId, Entry] = {}

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def find(self, request_id: RequestId, *, now_s: float) -> Entry | None:
        """Return the entry of a request id."""
        self._expire(now_s)
        return self._entries.get(request_id)

    def open(
        self,
        request_id: RequestId,
        fingerprint: int,
        shard: int,
        *,
        now_s: float,
    ) -> Entry | None:
        """Write a running request; None when the ledger is full."""
        self._expire(now_s)
        if len(self._entries) >= self._limit:
            return None
        if self.size_bytes >= self._max_bytes:
            return None
        entry = Entry(request_id, fingerprint, shard)
        self._entries[request_id] = entry
        self.size_bytes += entry.size_bytes()
        return entry

    def drop(self, entry: Entry) -> None:
        """Remove a request that did not run."""
        self._entries.pop(entry.request_id, None)
        self._finished.pop(entry.request_id, None)
        self.size_bytes -= entry.size_bytes()

    def keep(
        self, entry: Entry, answer: Answer | None, *, expires_at_s: float
    ) -> None:
        """Keep the answer, or None for an unknown outcome, until a time."""
        self.size_bytes -= entry.size_bytes()
        entry.answer = answer
        entry.state = (
            EntryState.UNKNOWN if answer is None else EntryState.ANSWERED
        )
        entry.expires_at_s = expires_at_s
        self.size_bytes += entry.size_bytes()
        self._finished[entry.request_id] = entry

    def export(
        self, shards: frozenset[int], *, now_s: float
    ) -> list[ExportedEntry]:
        """Return the kept entries of some shards."""
        self._expire(now_s)
        return [
            ExportedEntry(
                entry.request_id,
                entry.fingerprint,
                entry.shard,
                entry.expires_at_s - now_s,
                entry.answer,
            )
            for entry in self._finished.values()
            if entry.shard in shards
        ]

    def load(self, kept: list[ExportedEntry], *, now_s: float) -> None:
        """Take the entries of an earlier owner, past the limit if need be."""
        for one in kept:
            if one.request_id in self._entries:
                continue
            entry = Entry(one.request_id, one.fingerprint, one.shard)
            self._entries[one.request_id] = entry
            self.size_bytes += entry.size_bytes()
            self.keep(entry, one.answer, expires_at_s=now_s + one.remaining_s)

    def _expire(self, now_s: float) -> None:
        while self._finished:
            entry = next(iter(self._finished.values()))
            if entry.expires_at_s > now_s:
                return
            self.drop(entry)
