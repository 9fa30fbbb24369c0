"""Reads of the log with which a witness checks that it has not ended."""

import asyncio
from types import SimpleNamespace
from typing import Any

from verbenadeck.lease._membership_check import MembershipCheck
from verbenadeck.membership import LeaseTiming
from verbenadeck.testing import run_virtual, virtual_clock

_READ_S = 0.1
_TIMING = LeaseTiming()


class _Witness:
    """Membership and log client of a node; reads take a while."""

    def __init__(self) -> None:
        self.is_leased = False
        self.timing = _TIMING
        self.read_began_s: list[float] = []
        self.clock = virtual_clock()
        stand_in: Any = self
        self.check = MembershipCheck(
            clock=self.clock, journal=stand_in, membership=stand_in
        )

    async def catch_up(self, *, deadline_s: float) -> bool:
        self.read_began_s.append(self.clock.now_s())
        await asyncio.sleep(_READ_S)
        return self.clock.now_s() < deadline_s

    async def check_at(self, moment_s: float) -> float:
        """Return when a check that is asked for at a moment succeeds."""
        await self.clock.sleep_until(moment_s)
        assert await self.check.run()
        return self.clock.now_s()


def test_check_under_the_lease_reads_nothing() -> None:
    async def main() -> None:
        witness = _Witness()
        witness.is_leased = True
        assert await witness.check.run()
        assert not witness.read_began_s

    run_virtual(main())


def test_requests_made_before_a_read_share_it() -> None:
    async def main() -> None:
        witness = _Witness()
        await asyncio.gather(*(witness.check.run() for _ in range(3)))
        assert len(witness.read_began_s) == 1

    run_virtual(main())


# Guards against a renewal that an earlier read of the log is taken for.
def test_request_made_during_a_read_waits_for_the_next_one() -> None:
    async def main() -> None:
        witness = _Witness()
        done_s = await asyncio.gather(
            witness.check_at(0), witness.check_at(_READ_S / 2)
        )
        began_s = witness.read_began_s
        assert len(began_s) == 2
        assert began_s[1] >= began_s[0] + 2 * _TIMING.heartbeat_interval_s
        assert done_s[1] >= began_s[1]

    run_virtual(main())


def test_lease_that_comes_back_ends_the_wait_for_a_read() -> None:
    async def main() -> None:
        witness = _Witness()
        await witness.check.run()
        asyncio.get_running_loop().call_later(
            _READ_S, setattr, witness, 'is_leased', True
        )
        assert await witness.check.run()
        assert len(witness.read_began_s) == 1

    run_virtual(main())


def test_check_fails_when_the_log_cannot_be_read() -> None:
    async def main() -> None:
        witness = _Witness()
        journal = SimpleNamespace(catch_up=_fail_to_read)
        check = MembershipCheck(
            clock=witness.clock,
            journal=journal,
            membership=witness,  # type: ignore[arg-type]
        )
        assert not await check.run()

    run_virtual(main())


async def _fail_to_read(*, deadline_s: float) -> bool:
    del deadline_s
    return False
