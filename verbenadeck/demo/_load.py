"""Mixed load of the demo, bounded in rate and time."""

import asyncio
import random
from collections.abc import Callable, Iterator

from verbenadeck.demo._caller import Caller
from verbenadeck.demo._calls import Call, CallKind
from verbenadeck.demo._sites import Site
from verbenadeck.utils import Clock, generate_uuid7

PROBE_KEYS = 24
_PROBE_PERIOD_S = 0.12
_LOOKUPS_PER_S = 60
_DEPOSITS_PER_S = 30
_KEYS = 2000
_PROBE_TIMEOUT_S = 4.0
_LOOKUP_TIMEOUT_S = 4.0
_DEPOSIT_TIMEOUT_S = 6.0
_IMPATIENT_SHARE = 0.25
_OPAQUE_SHARE = 0.25
_ID_BITS = 128
_CATCH_UP_S = 0.1


class Load:
    """Open-loop load on all services of a site.

    Probes ask each of a few keys in turn, lookups read any service and
    deposits are posted with an idempotency key; some keys carry their time
    (UUID version 7), others are opaque.

    Parameters
    ----------
    site : Site
        The site.
    caller : Caller
        Sends the calls.
    clock : Clock
        Boot clock.
    source : random.Random
        Source of keys.

    Attributes
    ----------
    longest_lag_s : float
        Longest time by which the callers themselves were late. Beyond a
        short time they skip calls, since a burst to catch up would overload
        this process, and then the upstreams look slow.
    """

    def __init__(
        self,
        site: Site,
        caller: Caller,
        *,
        clock: Clock,
        source: random.Random,
    ) -> None:
        self._site = site
        self._caller = caller
        self._clock = clock
        self._random = source
        self.longest_lag_s = 0.0
        self._is_on = True
        self._calls: set[asyncio.Task[None]] = set()
        self._streams: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to send."""
        probe = _cycle_of(self._probe)
        streams = (
            (probe, _PROBE_PERIOD_S / PROBE_KEYS),
            (self._lookup, 1 / _LOOKUPS_PER_S),
            (self._deposit, 1 / _DEPOSITS_PER_S),
        )
        for build, period_s in streams:
            stream = asyncio.ensure_future(self._stream(build, period_s))
            self._streams.append(stream)

    async def stop(self) -> None:
        """Send nothing new and wait until all calls have ended."""
        self._is_on = False
        await asyncio.gather(*self._streams)
        await asyncio.gather(*self._calls)

    async def _stream(self, build: Callable[[], Call], period_s: float) -> None:
        next_s = self._clock.now_s()
        while self._is_on:
            task = asyncio.ensure_future(self._caller.perform(build()))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
            next_s += period_s
            late_s = self._clock.now_s() - next_s
            self.longest_lag_s = max(self.longest_lag_s, late_s)
            if late_s > _CATCH_UP_S:
                next_s += late_s
            await asyncio.sleep(0)
            await self._clock.sleep_until(next_s)

    def _probe(self, index: int) -> Call:
        return Call(
            kind=CallKind.PROBE,
            service=self._site.services[0].name,
            key=f'probe-{index}',
            nonce=self._opaque_id(),
            timeout_s=_PROBE_TIMEOUT_S,
        )

    def _lookup(self) -> Call:
        nonce = self._opaque_id()
        return self._any_call(CallKind.LOOKUP, nonce, _LOOKUP_TIMEOUT_S)

    def _deposit(self) -> Call:
        is_opaque = self._random.random() < _OPAQUE_SHARE
        nonce = self._opaque_id() if is_opaque else self._timed_id()
        return self._any_call(CallKind.DEPOSIT, nonce, _DEPOSIT_TIMEOUT_S)

    def _opaque_id(self) -> str:
        return f'{self._random.getrandbits(_ID_BITS):032x}'

    def _timed_id(self) -> str:
        return generate_uuid7(wall_s=self._clock.wall_s(), source=self._random)

    def _any_call(self, kind: CallKind, nonce: str, timeout_s: float) -> Call:
        return Call(
            kind=kind,
            service=self._random.choice(self._site.services).name,
            key=f'key-{self._random.randrange(_KEYS)}',
            nonce=nonce,
            timeout_s=timeout_s,
            is_patient=self._random.random() > _IMPATIENT_SHARE,
        )


def _cycle_of(build: Callable[[int], Call]) -> Callable[[], Call]:
    def indexes() -> Iterator[int]:
        while True:
            yield from range(PROBE_KEYS)

    source = indexes()
    return lambda: build(next(source))
