"""Random commands and races, checked by an independent observer."""

from __future__ import annotations

import unittest

from hypothesis import HealthCheck, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from tests.placement.longrun import LongRun, run
from tests.placement.simulation import SECOND

EVENTS = (
    LongRun.submit,
    LongRun.plan,
    LongRun.exchange_messages,
    LongRun.finish,
    LongRun.fail,
    LongRun.save,
    LongRun.evict,
    LongRun.cancel_many,
    LongRun.disconnect,
    LongRun.reconnect,
    LongRun.lose,
    LongRun.restart_worker,
    LongRun.restart_leader,
    LongRun.drain,
    LongRun.set_quota,
    LongRun.forget,
)


class WorkMachine(RuleBasedStateMachine):
    """Any event at any time; randomness within an event comes from a drawn seed."""

    @initialize(seed=strategies.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        self.longrun = LongRun(seed)
        for _ in range(4):
            self.longrun.submit()

    @rule(event=strategies.sampled_from(EVENTS))
    def run_event(self, event) -> None:  # type: ignore[no-untyped-def]
        event(self.longrun)

    @rule(workers=strategies.integers(1, 6))
    def work(self, workers: int) -> None:
        self.longrun.plan()
        for _ in range(workers):
            self.longrun.exchange_messages()

    @rule(seconds=strategies.integers(1, 120))
    def wait(self, seconds: int) -> None:
        self.longrun.simulation.pass_time(seconds * SECOND)

    @invariant()
    def holds(self) -> None:
        if hasattr(self, "longrun"):
            self.longrun.simulation.check()


class StateMachineTest(unittest.TestCase):
    def test_invariants_hold_under_random_events(self) -> None:
        run_state_machine_as_test(
            WorkMachine,
            settings=settings(
                max_examples=60,
                stateful_step_count=40,
                derandomize=True,
                database=None,
                deadline=None,
                suppress_health_check=list(HealthCheck),
            ),
        )


class LongRunTest(unittest.TestCase):
    def test_a_seed_gives_the_same_run_again(self) -> None:
        self.assertEqual(run(5, 0.2), run(5, 0.2))

    def test_everything_ends_after_many_faults(self) -> None:
        for seed in range(20, 24):
            with self.subTest(seed=seed):
                run(seed, 0.5)
