"""Quarantine of requests that crash upstreams."""

import xxhash

from verbenadeck.model import Request

_QUARANTINE_CRASHES = 2
_QUARANTINE_S = 60.0
_MAX_SUSPECTS = 1000


def fingerprint_of(request: Request) -> int:
    """Return a fingerprint of what a request asks, whoever sends it.

    The request id and the headers are left out: a caller that sends the
    same order again may change them.
    """
    digest = xxhash.xxh3_64()
    parts = (request.service, request.method, request.path, request.key or '')
    digest.update('\n'.join(parts).encode())
    digest.update(b'\n')
    digest.update(request.body)
    return digest.intdigest()


class _SuspectRequest:
    __slots__ = ('crashes', 'expires_at_s', 'cleared_crashes')

    def __init__(self) -> None:
        self.crashes: set[str] = set()
        self.cleared_crashes: set[str] = set()
        self.expires_at_s = 0.0


class Quarantine:
    """Requests whose runs coincided with crashes of upstreams.

    A fingerprint is refused after two crashes for a minute, counted from
    the last one. A run that is answered clears a fingerprint of its first
    crash, since popular requests are in flight when others crash.
    """

    def __init__(self) -> None:
        self._suspects: dict[int, _SuspectRequest] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no fingerprint is under suspicion."""
        return not self._suspects

    def mark(self, fingerprint: int, crash_id: str, *, now_s: float) -> bool:
        """Count a crash for a fingerprint; false when it was counted."""
        self._expire(now_s)
        suspect = self._suspects.pop(fingerprint, None) or _SuspectRequest()
        self._suspects[fingerprint] = suspect
        if len(self._suspects) > _MAX_SUSPECTS:
            self._suspects.pop(next(iter(self._suspects)))
        if crash_id in suspect.crashes | suspect.cleared_crashes:
            return False
        suspect.crashes.add(crash_id)
        suspect.expires_at_s = now_s + _QUARANTINE_S
        return True

    def clear(self, fingerprint: int) -> bool:
        """Take an answered run as a sign of innocence.

        False when the fingerprint was not under suspicion. Late notices of
        crashes that were cleared do not count again.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return False
        suspect.cleared_crashes |= suspect.crashes
        suspect.crashes.clear()
        return True

    def retry_after_s(self, fingerprint: int, *, now_s: float) -> float:
        """Return seconds until a fingerprint is free, 0 when it is."""
        self._expire(now_s)
        suspect = self._suspects.get(fingerprint)
        if suspect is None or len(suspect.crashes) < _QUARANTINE_CRASHES:
            return 0
        return suspect.expires_at_s - now_s

    def _expire(self, now_s: float) -> None:
        while self._suspects:
            fingerprint = next(iter(self._suspects))
            if self._suspects[fingerprint].expires_at_s > now_s:
                return
            self._suspects.pop(fingerprint)
