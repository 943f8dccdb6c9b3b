"""Tests of the workers on which gangs start that would harm everywhere."""

from __future__ import annotations

import itertools
import unittest
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any
from unittest import mock

from rhubarbfield.scheduling.commands import RunStart
from rhubarbfield.scheduling.headroom import WorkerHeadroom
from rhubarbfield.scheduling.interference import LatencyMargin
from rhubarbfield.scheduling.model import Demand, ImageName, Label, Step
from rhubarbfield.scheduling.placing import Placer
from rhubarbfield.types import RackName
from tests.replication.determinism import run_deterministic
from tests.scheduling.deployments import ONE_CORE, QUEUE
from tests.scheduling.fleets import (
    BATCH_IMAGES,
    GOAL_MS,
    RACKS,
    SERVING_IMAGES,
    Fleet,
)
from tests.scheduling.measure_rounds import choose
from tests.scheduling.test_gangs import GANG, LIMITED, Site
from tests.scheduling.test_rounds import EXACT_MARGINS, ROUNDS

MEMBERS = GANG.tasks
SPARE = {"uses_spare_cores": True, "image": ImageName("b")}
# Less than the reserve, so that any growth that isn't negligible is refused.
SMALL_MARGIN = 0.1
LARGER_MARGIN = 0.25
# What each member of an unknown image takes of a margin, and some more.
MEMBER_GROWTH = 0.12
LOW_GOAL_MS = GOAL_MS // 2  # missed by most of the measurements of a fleet


def leave_margin(
    headroom: WorkerHeadroom, margin: float, image: str = "serving"
) -> None:
    headroom.known_margins = [LatencyMargin(ImageName(image), margin)]


def leave_small_margins(headroom: WorkerHeadroom) -> None:
    """Let each worker refuse spare-core tasks."""
    leave_margin(headroom, SMALL_MARGIN)


def make_serving_step(tasks: int) -> Step:
    return Step(
        tasks=tasks,
        demand=Demand(2000, 4000),
        standing=True,
        image=SERVING_IMAGES[0],
        tail_goal_ms=LOW_GOAL_MS,
        max_per_worker=1,
    )


@contextmanager
def count_forced_gangs() -> Iterator[list[int]]:
    """Collect the number of members of each gang that is forced in the block."""
    forced: list[int] = []
    original = Placer._choose_forced_gang

    def choose_forced_gang(self: Placer, *arguments: Any) -> list[WorkerHeadroom]:
        chosen = original(self, *arguments)
        if chosen:
            forced.append(len(chosen))
        return chosen

    with mock.patch.object(Placer, "_choose_forced_gang", choose_forced_gang):
        yield forced


class ForcedGangPlacementTest(unittest.TestCase):
    def place(
        self,
        site: Site,
        change: Callable[[WorkerHeadroom], None] = leave_small_margins,
        *,
        is_starved: bool = True,
    ) -> tuple[RunStart, ...]:
        return choose(site.make_placer(change, is_starved=is_starved))

    def count_by_worker(self, starts: tuple[RunStart, ...]) -> Counter[str]:
        return Counter(each.worker for each in starts)

    def test_gang_that_would_harm_everywhere_does_not_start(self) -> None:
        site = Site()
        site.submit(**SPARE)
        starts = self.place(site)
        self.assertEqual(len(starts), MEMBERS)
        self.assertEqual(len({each.run for each in starts}), 1)

    def test_gang_that_has_not_starved_is_forced(self) -> None:
        site = Site()
        site.submit(**SPARE)
        self.assertEqual(self.place(site, is_starved=False), ())

    def test_gang_on_reserved_cores_is_forced(self) -> None:
        site = Site()
        site.submit(tasks=65)
        self.assertEqual(self.place(site), ())

    def test_gang_is_forced_although_it_harms_none_on_one_rack(self) -> None:
        def change(headroom: WorkerHeadroom) -> None:
            if "r2" not in headroom.worker.labels:
                leave_small_margins(headroom)

        site = Site()
        site.submit(**SPARE)
        self.assertEqual(site.count_by_rack(self.place(site, change)), {"r2": 4})

    def test_members_are_forced_beside_each_other(self) -> None:
        site = Site()
        site.submit(tasks=8, **SPARE)
        counts = self.count_by_worker(self.place(site))
        self.assertEqual(set(counts.values()), {1})

    def test_members_are_forced_where_they_harm_more(self) -> None:
        """The second member on one worker harms more than the first on another."""

        def change(headroom: WorkerHeadroom) -> None:
            margin = SMALL_MARGIN
            if "r2" in headroom.worker.labels:
                margin += MEMBER_GROWTH
            leave_margin(headroom, margin)

        site = Site()
        site.submit(tasks=2, **SPARE)
        self.assertEqual(site.count_by_rack(self.place(site, change)), {"r2": 2})
        site.submit(tasks=5, **SPARE)
        counts = self.count_by_worker(self.place(site, change))
        self.assertEqual(max(counts.values()), 2)

    def test_members_gather_on_the_worker_with_the_fewest_cores(self) -> None:
        """Two of the rack without serving tasks have cores for one and for none."""
        cores = itertools.cycle((0, 1000))

        def change(headroom: WorkerHeadroom) -> None:
            leave_small_margins(headroom)
            if "r2" in headroom.worker.labels:
                headroom.known_margins = []
                headroom.spare_millicores = next(cores)

        for members, counts in ((2, [1, 1]), (4, [2, 2]), (6, [3, 3])):
            with self.subTest(members=members):
                site = Site()
                site.submit(tasks=members, **SPARE)
                starts = self.place(site, change)
                self.assertEqual(site.count_by_rack(starts), {"r2": members})
                self.assertEqual([*self.count_by_worker(starts).values()], counts)

    def test_gang_with_a_limit_per_worker_is_forced_beyond_it(self) -> None:
        """A preferred rack with too few workers does not keep it waiting."""

        def change(headroom: WorkerHeadroom) -> None:
            margin = LARGER_MARGIN if "r2" in headroom.worker.labels else SMALL_MARGIN
            leave_margin(headroom, margin)

        site = Site()
        site.submit(tasks=8, preferred_rack=RackName("r2"), **LIMITED, **SPARE)
        counts = self.count_by_worker(self.place(site, change))
        self.assertEqual(set(counts.values()), {1})
        self.assertEqual(len(counts), 8)

    def test_gang_with_a_label_is_forced_on_workers_without_it(self) -> None:
        site = Site()
        site.submit(required_label=RackName("r1"), **SPARE)
        self.assertEqual(site.count_by_rack(self.place(site)), {"r1": 4})

    def test_gang_with_more_members_than_places_is_forced_in_part(self) -> None:
        site = Site()
        site.submit(tasks=9, **LIMITED, **SPARE)
        other = site.submit(tasks=8, **LIMITED, **SPARE)
        starts = self.place(site)
        self.assertEqual(len(starts), 8)
        self.assertTrue(all(each.task.startswith(f"{other}.") for each in starts))

    def test_gang_is_forced_on_workers_that_take_no_more_tasks(self) -> None:
        def change(headroom: WorkerHeadroom) -> None:
            leave_small_margins(headroom)
            if "r0" in headroom.worker.labels:
                headroom.task_limit = headroom.task_count

        site = Site()
        site.submit(tasks=16, **SPARE)
        racks = site.count_by_rack(self.place(site, change))
        self.assertEqual(racks.keys(), {"r1", "r2"})

    def test_room_that_is_kept_in_vain_is_missing_for_a_forced_gang(self) -> None:
        site = Site()
        site.submit(tasks=8, **LIMITED, **SPARE)
        placer = site.make_placer(leave_small_margins, is_starved=True)
        members = placer._candidates._by_service[QUEUE.service]
        kept = [each for each in members if "r2" in each.worker.labels]
        for each in kept:
            members.remove(each)
        with mock.patch.object(placer._reserved, "list_unused", return_value=kept):
            starts = choose(placer)
        self.assertEqual(len({each.worker for each in starts}), 8)

    def test_gang_and_tasks_of_a_job_are_forced_at_once(self) -> None:
        gang = Step(tasks=4, demand=ONE_CORE, gang=True, **SPARE)
        single = Step(tasks=4, demand=ONE_CORE, **SPARE)
        for steps, count in (
            ((gang, single), 4),
            ((single, gang), 1),
            ((gang, gang), 4),
        ):
            with self.subTest(steps=[each.gang for each in steps]):
                site = Site()
                site.fleet.submit(*steps)
                self.assertEqual(len(self.place(site)), count)

    def test_gang_is_forced_beside_a_start_of_its_job_that_harms_none(self) -> None:
        harmful = Step(tasks=4, demand=ONE_CORE, gang=True, **SPARE)
        for gang in (False, True):
            with self.subTest(gang=gang):
                site = Site()
                other = Step(tasks=2, demand=ONE_CORE, gang=gang)
                site.fleet.submit(other, harmful)
                self.assertEqual(len(self.place(site)), 2)


class ForcedGangComparisonTest(unittest.TestCase):
    def test_rounds_force_what_a_full_recomputation_forces(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                run_deterministic(lambda seed=seed: self._compare(seed), seed=1)

    async def _compare(self, seed: int) -> None:
        """Let gangs of all kinds wait beside serving tasks, and starve."""
        fleet, reference = (Fleet(seed, 40, EXACT_MARGINS) for _ in range(2))
        with count_forced_gangs() as forced:
            for _ in range(ROUNDS):
                for each in (fleet, reference):
                    self._change(each)
                starts = await fleet.run_round()
                self.assertEqual(starts, await reference.run_reference_round())
        self.assertGreater(len(forced), 5)
        self.assertGreater(len(set(forced)), 3)

    def _change(self, fleet: Fleet) -> None:
        draw = fleet.random
        if not fleet.jobs:
            fleet.submit(make_serving_step(len(fleet.state.workers)))
        for _ in range(draw.randint(0, 3)):
            self._submit_gangs(fleet)
        fleet.clock.advance(timedelta(seconds=draw.uniform(0.4, 1.2)))
        fleet.end_runs(draw.randint(0, 12))
        for worker in list(fleet.state.workers):
            fleet.view(worker)
        for session in fleet.sessions.values():
            session.handle_report(timedelta(seconds=5))

    def _submit_gangs(self, fleet: Fleet) -> None:
        """Submit a job of two steps that wait for nothing; most are gangs."""
        choose = fleet.random.choice
        fleet.submit(
            *(
                Step(
                    tasks=fleet.random.randint(1, 30),
                    demand=Demand(choose((500, 2000)), choose((500, 8000))),
                    estimate_ms=1000,
                    gang=choose((True, True, False)),
                    same_rack=choose((False, True)),
                    max_per_worker=choose((0, 0, 1, 2)),
                    required_label=choose((Label(""), Label(""), RACKS[1])),
                    preferred_rack=RackName(choose(("", RACKS[0]))),
                    image=choose(BATCH_IMAGES),
                    uses_spare_cores=choose((True,) * 9 + (False,)),
                )
                for _ in range(2)
            )
        )


if __name__ == "__main__":
    unittest.main()
