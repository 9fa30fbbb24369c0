"""Caller of the demo: sends calls, and again where that is right."""

import asyncio
import random
from collections.abc import Sequence

import aiohttp

from verbenadeck.adapters import (
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    RETRY_AFTER_MS_HEADER,
)
from verbenadeck.demo._calls import (
    Call,
    CallKind,
    CallRecord,
    Final,
    give_up,
    is_own_answer,
)
from verbenadeck.model import Outcome
from verbenadeck.utils import Clock

_ATTEMPT_TIMEOUT_S = 1.0
_AVOID_S = 1.0
_LEAST_PAUSE_S = 0.02
_MOST_PAUSE_S = 0.5
_MS_PER_S = 1000
_ELSEWHERE = frozenset(('zone-out', 'draining'))


class Caller:
    """Sends calls to any entry, and avoids entries that failed just now.

    Parameters
    ----------
    entries : sequence of str
        Base URLs of the entries.
    clock : Clock
        Boot clock.
    source : random.Random
        Source of choices.
    """

    def __init__(
        self,
        entries: Sequence[str],
        *,
        clock: Clock,
        source: random.Random,
    ) -> None:
        self.records: list[CallRecord] = []
        self._avoided = {entry: 0.0 for entry in entries}
        self._clock = clock
        self._random = source
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )

    async def perform(self, call: Call) -> None:
        """Send a call until it is answered or its time is over."""
        record = CallRecord(call, started_s=self._clock.now_s())
        self.records.append(record)
        deadline_s = record.started_s + call.timeout_s
        while self._clock.now_s() < deadline_s:
            pause_s = await self._attempt(record, deadline_s)
            if pause_s is None:
                break
            await asyncio.sleep(pause_s)
        else:
            give_up(record)
        record.ended_s = self._clock.now_s()

    async def close(self) -> None:
        """Close connections."""
        await self._session.close()

    async def _attempt(
        self, record: CallRecord, deadline_s: float
    ) -> float | None:
        """Send once; return the pause before the next, None at the end."""
        entry = self._choose()
        record.attempts += 1
        remaining_s = self._clock.remaining_s(deadline_s)
        attempt_s = min(remaining_s, _ATTEMPT_TIMEOUT_S)
        call = record.call
        try:
            async with self._session.request(
                call.method,
                entry + call.path,
                data=call.body or None,
                headers=_headers_of(call, remaining_s),
                timeout=aiohttp.ClientTimeout(total=attempt_s),
            ) as answer:
                return self._settle(record, entry, answer, await answer.read())
        except aiohttp.ClientConnectorError:
            self._avoid(entry)
            record.refusals['no connection'] += 1
        except (aiohttp.ClientError, TimeoutError):
            self._avoid(entry)
            record.was_lost = True
            record.refusals['lost'] += 1
        return _backoff_s(record.attempts)

    def _settle(
        self,
        record: CallRecord,
        entry: str,
        answer: aiohttp.ClientResponse,
        body: bytes,
    ) -> float | None:
        outcome = answer.headers.get(OUTCOME_HEADER)
        record.last_outcome = None if outcome is None else Outcome(outcome)
        if outcome is None:
            is_own = is_own_answer(record.call, answer.status, body)
            record.final = Final.ANSWERED if is_own else Final.WRONG
            return None
        reason = answer.headers.get(REASON_HEADER, '')
        record.refusals[f'{outcome} {reason}'] += 1
        if reason in _ELSEWHERE:
            self._avoid(entry)
        if record.last_outcome is not Outcome.NOT_RUN:
            record.was_lost = True
        elif not record.call.is_patient:
            give_up(record)
            return None
        hint_ms = float(answer.headers.get(RETRY_AFTER_MS_HEADER, '0'))
        return max(_backoff_s(record.attempts), hint_ms / _MS_PER_S)

    def _choose(self) -> str:
        now_s = self._clock.now_s()
        good = [url for url, until in self._avoided.items() if until <= now_s]
        return self._random.choice(good or list(self._avoided))

    def _avoid(self, entry: str) -> None:
        self._avoided[entry] = self._clock.now_s() + _AVOID_S


def _backoff_s(attempts: int) -> float:
    return min(_MOST_PAUSE_S, _LEAST_PAUSE_S * 2.0 ** (attempts - 1))


def _headers_of(call: Call, remaining_s: float) -> dict[str, str]:
    headers = {DEADLINE_HEADER: str(max(1, int(remaining_s * _MS_PER_S)))}
    if call.kind is CallKind.DEPOSIT:
        headers[IDEMPOTENCY_HEADER] = call.nonce
    return headers
