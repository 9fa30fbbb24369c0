"""Fuzz of ledger, retries and outcomes; the oracle must catch bugs."""

from collections.abc import Callable

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from verbenadeck.adapters import UpstreamFailure
from verbenadeck.model import Outcome, RefusalReason, RequestId
from verbenadeck.proxy import _sender
from verbenadeck.proxy._copies import CopyKeeper
from verbenadeck.proxy._ledger import Entry, Ledger
from verbenadeck.router.tests.state_machines import OnceMachine

_SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=300,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
    print_blob=False,
    report_multiple_bugs=False,
    phases=(Phase.generate,),
)

# A session that shows a bug ends the search, so a large bound costs nothing
# where the bug is found; sessions differ with the modules that are loaded.
_SEARCH = settings(_SETTINGS, max_examples=5000)

Patch = Callable[[pytest.MonkeyPatch], None]


def test_no_id_runs_twice_and_outcomes_are_true() -> None:
    run_state_machine_as_test(OnceMachine, settings=_SETTINGS)


def _write_ledger_after_sending(patch: pytest.MonkeyPatch) -> None:
    def open_unwritten(
        self: Ledger,
        request_id: RequestId,
        fingerprint: int,
        shard: int,
        *,
        now_s: float,
    ) -> Entry:
        entry = Entry(request_id, fingerprint, shard)
        self.size_bytes += entry.size_bytes()
        return entry

    keep = Ledger.keep

    def write_and_keep(
        self: Ledger, entry: Entry, answer: object, *, expires_at_s: float
    ) -> None:
        self._entries[entry.request_id] = entry
        keep(self, entry, answer, expires_at_s=expires_at_s)  # type: ignore[arg-type]

    patch.setattr(Ledger, 'open', open_unwritten)
    patch.setattr(Ledger, 'keep', write_and_keep)


def _forget_copies(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(CopyKeeper, 'has', lambda _self, _query: False)


def _call_broken_sends_not_run(patch: pytest.MonkeyPatch) -> None:
    broken = (Outcome.NOT_RUN, RefusalReason.UPSTREAM_FAILED)
    failures = {**_sender._FAILURES, UpstreamFailure.BROKEN: broken}
    patch.setattr(_sender, '_FAILURES', failures)


@pytest.mark.parametrize(
    'seed_bug',
    [_write_ledger_after_sending, _forget_copies, _call_broken_sends_not_run],
)
def test_the_oracle_catches_a_seeded_bug(
    seed_bug: Patch, monkeypatch: pytest.MonkeyPatch
) -> None:
    seed_bug(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(OnceMachine, settings=_SEARCH)
