"""Quarantine of requests that crash upstreams."""

import xxhash

from verbenadeck.model import Request

_QUARANTINE_CRASHES = 2
_QUARANTINE_S = 60.0
_MAX_SUSPECTS = 1000


def fingerprint_of(request: Request) -> int:
    """Return a fingerprint of the content of a request.

    The request id and the headers are left out, since a caller that sends the
    same request again may change them.
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
    """Quarantine of requests that were running when upstreams crashed.

    After two crashes, a fingerprint is refused for a minute from the last one.
    An answered run clears the crashes counted before, since frequent requests
    are often running when another one causes a crash.
    """

    def __init__(self) -> None:
        self._suspects: dict[int, _SuspectRequest] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is no suspect fingerprint."""
        return not self._suspects

    def mark(self, fingerprint: int, crash_id: str, *, now_s: float) -> bool:
        """Count a crash for a fingerprint; return False if counted before.

        Parameters
        ----------
        fingerprint : int
            Fingerprint of a request that was running.
        crash_id : str
            Node and instance that crashed; each counts once.
        now_s : float
            Current time, in seconds.
        """
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
        """Clear a fingerprint whose request was answered.

        Late notices of the cleared crashes do not count again.

        Returns
        -------
        bool
            False if the fingerprint was not suspect.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return False
        suspect.cleared_crashes |= suspect.crashes
        suspect.crashes.clear()
        return True

    def retry_after_s(self, fingerprint: int, *, now_s: float) -> float:
        """Return the seconds until a fingerprint is admitted; 0 if it is now."""
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
