"""Runs of the random test that once failed, kept with their seeds."""

from verbenadeck.lease.tests.fuzzing import Fault, Run, Step, execute_run


def test_small_fleet_recovers_under_long_delays() -> None:
    execute_run(
        Run(
            (2, 2, 2),
            1013,
            is_fenced=True,
            steps=(
                Step(Fault.CUT_IN, 2, 0.0),
                Step(Fault.LOG_DOWN, 0, 1.5),
                Step(Fault.CUT_OUT, 4, 0.0),
                Step(Fault.CUT_ZONES, 1, 3.0),
                Step(Fault.CUT_ZONES, 1, 0.6),
                Step(Fault.CUT_IN, 4, 0.2),
                Step(Fault.LOG_DOWN, 0, 1.1),
                Step(Fault.ISOLATE, 1, 0.2),
            ),
        )
    )
