"""Tests of the models of harm and task sizes."""

from __future__ import annotations

import math
import unittest
from datetime import timedelta
from random import Random

from rhubarbfield.placement import (
    AttemptUsage,
    BatchKind,
    JobSpec,
    Observations,
    ServiceLatency,
    SetEstimates,
    UsageReport,
    WorkState,
    work_commands,
)
from rhubarbfield.placement.harm import HarmModel, find_band
from rhubarbfield.types import (
    AttemptId,
    AttemptState,
    Epoch,
    JobId,
    ServiceName,
    Tenant,
    WorkerId,
    WorkKind,
)
from tests.placement.builders import START, Bench

COUNTER = ServiceName("counter")
A, B = BatchKind("a"), BatchKind("b")


def learn_mixture(model: HarmModel, samples: int, band: int = 1) -> None:
    """Feed noisy samples in which A harms at a rate of 3 and B not at all."""
    random = Random(3)
    for _ in range(samples):
        shares = {A: random.uniform(0, 0.5), B: random.uniform(0, 0.5)}
        noise = random.gauss(0, 0.2)
        model.learn(COUNTER, band, shares, math.exp(-3 + 3 * shares[A] + noise))


class HarmModelTest(unittest.TestCase):
    def test_attributes_harm_in_noisy_mixtures(self) -> None:
        model = HarmModel()
        learn_mixture(model, 300)
        self.assertAlmostEqual(model.find_rate(COUNTER, A, 1), 3, delta=0.2)
        self.assertAlmostEqual(model.find_rate(COUNTER, B, 1), 0, delta=0.3)
        self.assertAlmostEqual(model.find_base(COUNTER, 1) or 0, -3, delta=0.2)

    def test_an_unseen_band_starts_from_the_nearest_band(self) -> None:
        model = HarmModel()
        learn_mixture(model, 300)
        self.assertEqual(model.find_rate(COUNTER, A, 2), model.find_rate(COUNTER, A, 1))

    def test_survives_a_change_of_leader(self) -> None:
        model, successor = HarmModel(), HarmModel()
        learn_mixture(model, 300)
        successor.restore(model.list_changed())
        self.assertEqual(
            successor.find_rate(COUNTER, A, 1), model.find_rate(COUNTER, A, 1)
        )

    def test_bands(self) -> None:
        bands = [find_band(load) for load in (-1, 0, 0.3, 0.99, 1, 7)]
        self.assertEqual(bands, [0, 0, 1, 3, 3, 3])


class BoundsTest(unittest.TestCase):
    def test_stored_estimates_are_bounded_for_any_number_of_labels(self) -> None:
        state, model = WorkState(), Observations()
        for number in range(6_000):
            kind = BatchKind(f"kind-{number}")
            spec = JobSpec(job=JobId("j"), tenant=Tenant("t"), batch_kind=kind)
            model.sizes.learn(spec, 1000, 1000)
            model.harm.learn(COUNTER, 0, {kind: 0.5}, 0.1)
            sizes = tuple(model.sizes.list_changed())
            harm = tuple(model.harm.list_changed())
            command = SetEstimates(at=START, sizes=sizes, harm=harm)
            work_commands.apply(state, command)
            model.start_round()
        self.assertEqual(len(state.sizes), 5_000)
        self.assertLessEqual(len(state.harm), 10_000)
        model.harm.learn(COUNTER, 0, {}, 0.1)
        self.assertLess(len(model.harm.list_changed()), 50)


class ObservationsTest(unittest.TestCase):
    def report(self, bench: Bench, seconds: int, epoch: int = 1) -> UsageReport:
        usages = (
            AttemptUsage(AttemptId("svc/0#1"), 1000, 500),
            AttemptUsage(AttemptId("noisy/0#1"), 4000, 500),
        )
        latency = ServiceLatency(AttemptId("svc/0#1"), 0.5, timedelta(seconds=1))
        taken_at = bench.now + timedelta(seconds=seconds)
        return UsageReport(WorkerId("w0"), Epoch(epoch), taken_at, usages, (latency,))

    def make_bench(self) -> Bench:
        bench = Bench(workers=1)
        bench.accept("svc", kind=WorkKind.SERVICE, service=COUNTER)
        bench.accept("noisy", batch_kind=A)
        bench.accept("next", batch_kind=B)
        bench.begin("svc/0", "w0")
        order = bench.begin("noisy/0", "w0", cores=4)
        bench.report_state(order, AttemptState.SUCCEEDED)
        bench.begin("next/0", "w0")
        return bench

    def test_harm_is_attributed_to_the_attempts_in_the_report(
        self,
    ) -> None:
        bench = self.make_bench()
        self.assertTrue(bench.observations.record(bench.state, self.report(bench, 0)))
        learned = {
            (entry.batch_kind, entry.samples)
            for entry in bench.observations.harm.list_changed()
        }
        self.assertEqual(learned, {("", 1), ("a", 1)})

    def test_out_of_order_and_stale_reports_are_ignored(self) -> None:
        bench = self.make_bench()
        observations, state = bench.observations, bench.state
        self.assertTrue(observations.record(state, self.report(bench, 10)))
        observations.start_round()
        self.assertFalse(observations.record(state, self.report(bench, 5)))
        self.assertFalse(observations.record(state, self.report(bench, 10)))
        self.assertFalse(observations.record(state, self.report(bench, 20, epoch=2)))
        self.assertFalse(
            observations.harm.list_changed() or observations.sizes.list_changed()
        )
