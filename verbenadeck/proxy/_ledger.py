"""Ledger of non-repeatable requests, which must not run twice."""

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
    """State of a request in the ledger."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'


class ExportedEntry(msgspec.Struct, frozen=True, array_like=True):
    """Ledger entry that is handed over with its shard.

    Parameters
    ----------
    request_id : RequestId
        Id of the request.
    fingerprint : int
        Fingerprint of the content, to refuse another request under this id.
    shard : int
        Shard of the key, or of the request id.
    remaining_s : float
        Remaining retention, in seconds.
    answer : Answer or None
        Recorded answer; None if the outcome is unknown.
    """

    request_id: RequestId
    fingerprint: int
    shard: int
    remaining_s: float
    answer: Answer | None


class Entry:
    """Ledger entry of one request.

    Parameters
    ----------
    request_id : RequestId
        Id of the request.
    fingerprint : int
        Fingerprint of the content, to refuse another request under this id.
    shard : int
        Shard of the key, or of the request id.

    Attributes
    ----------
    state : EntryState
        Whether the request is running, answered or of unknown outcome.
    answer : Answer or None
        Recorded answer.
    expires_at_s : float
        Time at which the entry is removed, in seconds.
    run : Run or None
        Run, while it has not ended.
    """

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
        """Return the recorded answer, or a refusal with unknown outcome."""
        if self.answer is not None:
            return Success(self.answer)
        return Failure(
            unknown(
                RefusalReason.UPSTREAM_FAILED,
                'the request was sent before; its outcome is unknown',
            )
        )

    def size_bytes(self) -> int:
        """Return the approximate memory of the entry, in bytes."""
        if self.answer is None:
            return _ENTRY_OVERHEAD_BYTES
        return _ENTRY_OVERHEAD_BYTES + len(self.answer.body)


class Ledger:
    """Ledger of non-repeatable requests by request id, in bounded memory.

    A full ledger accepts no new entry, so the request is refused as not run.
    No entry is evicted before the end of its retention.

    Parameters
    ----------
    limit : int
        Maximum number of entries.
    max_bytes : int
        Maximum memory in bytes; the answers of running requests may exceed
        it.
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
        """Return the entry of a request id, or None."""
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
        """Add an entry for a running request; return None if the ledger is full.

        Parameters
        ----------
        request_id : RequestId
            Id of the request.
        fingerprint : int
            Fingerprint of its content.
        shard : int
            Its shard.
        now_s : float
            Current time, in seconds.
        """
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
        """Remove an entry, such as that of a request that did not run."""
        self._entries.pop(entry.request_id, None)
        self._finished.pop(entry.request_id, None)
        self.size_bytes -= entry.size_bytes()

    def keep(
        self, entry: Entry, answer: Answer | None, *, expires_at_s: float
    ) -> None:
        """Record the outcome of a request.

        Parameters
        ----------
        entry : Entry
            Entry of the request.
        answer : Answer or None
            Answer; None if the outcome is unknown.
        expires_at_s : float
            Time until which the entry is kept, in seconds.
        """
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
        """Return the entries of shards whose requests have ended."""
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

    def load(self, entries: list[ExportedEntry], *, now_s: float) -> None:
        """Load an earlier owner's entries, even beyond the limits."""
        for one in entries:
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
