"""Fuzz test of deduplication, retries and outcomes, with seeded bugs that the
oracle must detect."""

from collections.abc import Callable

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from verbenadeck.adapters import UpstreamFailure
from verbenadeck.model import Outcome, RefusalReason, RequestId
from verbenadeck.proxy import _sender
from verbenadeck.proxy._copies import CopyStore
from verbenadeck.proxy._ledger import Entry, Ledger
from verbenadeck.router import _attempt_sender, _router
from verbenadeck.router.tests.state_machines import (
    CopylessMachine,
    DeduplicationMachine,
)

_CHECK_SETTINGS = settings(
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

# The search ends at the first example that shows the bug, so a large bound
# costs nothing when the bug is found. The examples differ with the modules
# that are loaded, so a small bound would find it in some runs only.
_SEARCH_SETTINGS = settings(_CHECK_SETTINGS, max_examples=5000)

SeedBug = Callable[[pytest.MonkeyPatch], None]


@pytest.mark.parametrize('machine', [DeduplicationMachine, CopylessMachine])
def test_no_request_id_runs_twice_and_outcomes_are_correct(
    machine: type[DeduplicationMachine],
) -> None:
    run_state_machine_as_test(machine, settings=_CHECK_SETTINGS)


def _open_ledger_entry_after_sending(patch: pytest.MonkeyPatch) -> None:
    def open_without_entry(
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

    def add_entry_and_keep(
        self: Ledger, entry: Entry, answer: object, *, expires_at_s: float
    ) -> None:
        self._entries[entry.request_id] = entry
        keep(self, entry, answer, expires_at_s=expires_at_s)  # type: ignore[arg-type]

    patch.setattr(Ledger, 'open', open_without_entry)
    patch.setattr(Ledger, 'keep', add_entry_and_keep)


def _ignore_ledger_copies(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(CopyStore, 'has', lambda _self, _query: False)


def _report_broken_sends_as_not_run(patch: pytest.MonkeyPatch) -> None:
    broken = (Outcome.NOT_RUN, RefusalReason.UPSTREAM_FAILED)
    failures = {**_sender._FAILURES, UpstreamFailure.BROKEN: broken}
    patch.setattr(_sender, '_FAILURES', failures)


def _resend_as_new(patch: pytest.MonkeyPatch) -> None:
    for module in (_attempt_sender, _router):
        patch.setattr(module, 'as_resent', lambda request: request)


@pytest.mark.parametrize(
    'seed_bug',
    [
        _open_ledger_entry_after_sending,
        _ignore_ledger_copies,
        _report_broken_sends_as_not_run,
        _resend_as_new,
    ],
)
def test_oracle_detects_a_seeded_bug(
    seed_bug: SeedBug, monkeypatch: pytest.MonkeyPatch
) -> None:
    seed_bug(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            DeduplicationMachine, settings=_SEARCH_SETTINGS
        )
