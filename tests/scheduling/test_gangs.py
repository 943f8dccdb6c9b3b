"""Tests of the workers on which gangs start."""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Callable, Mapping

import trio

from rhubarbfield.scheduling.candidates import Candidates
from rhubarbfield.scheduling.commands import RunStart
from rhubarbfield.scheduling.headroom import WorkerHeadroom
from rhubarbfield.scheduling.interference import (
    FIRST_UPPER_BOUND,
    MARGIN_RESERVE,
    LatencyMargin,
)
from rhubarbfield.scheduling.model import Demand, ImageName, Label, Step
from rhubarbfield.scheduling.placing import Placer
from rhubarbfield.scheduling.state import JobPhase
from rhubarbfield.scheduling.wait_reasons import WaitReason
from rhubarbfield.types import RackName, WorkerId
from tests.scheduling.deployments import (
    ONE_CORE,
    QUEUE,
    Deployment,
    with_deployment,
)
from tests.scheduling.fleets import Fleet
from tests.scheduling.measure_rounds import choose
from tests.scheduling.test_rounds import count_calls

CAPACITY = Demand(8000, 64000)
GANG = Step(tasks=4, demand=Demand(1000, 100), estimate_ms=1000, gang=True)
RACKS = (3, 3, 2)  # workers of each
# Enough for two tasks on a worker, by what is assumed of an unknown image.
NARROW_MARGIN = MARGIN_RESERVE + 2.1 * FIRST_UPPER_BOUND / 8
LIMITED = {"same_rack": True, "max_per_worker": 1}


class Site:
    """A fleet with a few racks, and one placement round."""

    def __init__(self, racks: tuple[int, ...] = RACKS) -> None:
        self.fleet = Fleet(1, sum(racks))
        labels = [
            Label(f"r{rack}") for rack, size in enumerate(racks) for _ in range(size)
        ]
        workers = self.fleet.state.workers.values()
        for worker, label in zip(workers, labels, strict=True):
            worker.service, worker.capacity = QUEUE.service, CAPACITY
            worker.labels = (Label("x86"), label)

    def submit(self, step: Step = GANG, **changes: object) -> str:
        fields = {name: getattr(step, name) for name in step.__struct_fields__}
        return self.fleet.submit(Step(**{**fields, **changes}))

    def make_placer(
        self,
        change: Callable[[WorkerHeadroom], None] = lambda _: None,
        *,
        is_starved: bool = False,
    ) -> Placer:
        leader = self.fleet.leader
        leader._jobs.synchronize(self.fleet.state)
        headrooms = leader.measure_headroom()
        for headroom in headrooms.values():
            change(headroom)
        return Placer(
            leader._jobs.open.values(),
            self.fleet.state.map_serving_queues(),
            headrooms,
            avoided={},
            interference=leader._interference,
            rank=leader._rank,
            is_starved=lambda *_: is_starved,
        )

    def count_by_rack(self, starts: tuple[RunStart, ...]) -> Mapping[str, int]:
        workers = self.fleet.state.workers
        return Counter(workers[WorkerId(each.worker)].labels[1] for each in starts)


def take_cores(headroom: WorkerHeadroom) -> None:
    """Leave no spare cores on the workers of the largest rack."""
    if "r0" in headroom.worker.labels:
        headroom.spare_millicores = 0


def add_narrow_margin(headroom: WorkerHeadroom) -> None:
    """Leave a margin for few spare-core tasks on the workers of the largest rack."""
    headroom.known_margins = []
    if "r0" in headroom.worker.labels:
        margin = LatencyMargin(ImageName("serving"), NARROW_MARGIN)
        headroom.known_margins.append(margin)


class GangPlacementTest(unittest.TestCase):
    @with_deployment()
    async def test_gang_never_starts_once_each_rack_has_lost_a_worker(
        self, deployment: Deployment
    ) -> None:
        for rack in range(2):
            for number in range(3):
                worker = deployment.add_worker(f"w{rack}{number}")
                worker.labels = (Label("a"), Label(f"r{rack}"))
        step = Step(tasks=4, demand=ONE_CORE, gang=True, **LIMITED)
        async with deployment.lead():
            await deployment.submit("j", step)
            await trio.sleep(5)
        self.assertEqual(deployment.get_job("j").phase, JobPhase.COMPLETED)

    def test_gang_with_more_members_than_a_rack_may_take_does_not_start(self) -> None:
        site = Site()
        site.submit(tasks=8, **LIMITED)
        starts = choose(site.make_placer())
        self.assertEqual(len({each.worker for each in starts}), 8)

    def test_gang_waits_for_a_rack_without_spare_cores(self) -> None:
        site = Site()
        spare = {"uses_spare_cores": True, "image": ImageName("b")}
        site.submit(same_rack=True, **spare)
        starts = choose(site.make_placer(take_cores))
        self.assertEqual(site.count_by_rack(starts), {"r1": 4})

    def test_gang_waits_where_no_rack_alone_has_spare_cores(self) -> None:
        site = Site()
        spare = {"uses_spare_cores": True, "image": ImageName("b")}
        site.submit(tasks=32, same_rack=True, **spare)
        starts = choose(site.make_placer(take_cores))
        self.assertEqual(len(starts), 32)
        self.assertEqual(set(site.count_by_rack(starts)), {"r1", "r2"})

    def test_refused_rack_keeps_what_the_gang_could_not_use(self) -> None:
        site = Site()
        spare = {"uses_spare_cores": True, "image": ImageName("b")}
        site.submit(tasks=41, same_rack=True, **spare)
        site.submit(Step(tasks=64, demand=Demand(1000, 100), estimate_ms=1000))
        self.assertEqual(len(choose(site.make_placer(take_cores))), 64)

    def test_gang_waits_for_a_rack_on_which_only_its_first_members_harm_none(
        self,
    ) -> None:
        site = Site()
        spare = {"uses_spare_cores": True, "image": ImageName("b")}
        site.submit(tasks=16, same_rack=True, **spare)
        starts = choose(site.make_placer(add_narrow_margin))
        self.assertEqual(site.count_by_rack(starts), {"r1": 16})

    def test_gang_leaves_the_preferred_rack_for_a_larger_one(self) -> None:
        site = Site()
        site.submit(same_rack=True, preferred_rack=RackName("r2"))
        starts = choose(site.make_placer())
        self.assertEqual(site.count_by_rack(starts), {"r2": 4})

    def test_gang_waits_for_a_preferred_rack_that_is_too_small(self) -> None:
        site = Site()
        preferred = RackName("r2")
        site.submit(tasks=3, preferred_rack=preferred, **LIMITED)
        starts = choose(site.make_placer())
        self.assertEqual(site.count_by_rack(starts), {"r0": 3})

    def test_task_is_forced_beside_a_gang_of_its_job_that_harms_none(self) -> None:
        def change(headroom: WorkerHeadroom) -> None:
            margin = LatencyMargin(ImageName("serving"), MARGIN_RESERVE / 2)
            headroom.known_margins = [margin]

        site = Site()
        spare = {"uses_spare_cores": True, "image": ImageName("b")}
        site.fleet.submit(GANG, Step(tasks=2, demand=GANG.demand, **spare))
        starts = choose(site.make_placer(change, is_starved=True))
        self.assertEqual(len(starts), GANG.tasks)

    def test_gangs_without_a_way_are_ranked_in_each_round(self) -> None:
        site = Site()
        for _ in range(5):
            site.submit(tasks=9, **LIMITED)
        with (
            count_calls(Candidates, "rank") as rankings,
            count_calls(Candidates, "list_fitting") as lists,
        ):
            self.assertEqual(choose(site.make_placer()), ())
        self.assertEqual((rankings.count, lists.count), (0, 1))


class GangExplanationTest(unittest.TestCase):
    def explain(self, step: Step, **changes: object) -> WaitReason:
        site = Site()
        site.submit(step, **changes)
        placer = site.make_placer()
        self.assertEqual(choose(placer), ())
        (waiting,) = placer.list_unplaced()
        return placer.explain_wait(waiting).reason

    def test_gang_that_lacks_capacity_seems_to_lack_spread(self) -> None:
        self.assertIs(self.explain(GANG, tasks=65), WaitReason.NO_CAPACITY)

    def test_gang_that_needs_more_workers_seems_to_lack_capacity(self) -> None:
        self.assertIs(self.explain(GANG, tasks=9, **LIMITED), WaitReason.SPREAD)

    def test_spread_gang_seems_to_interfere(self) -> None:
        spare = {"uses_spare_cores": True, "image": ImageName("b")}
        reason = self.explain(GANG, tasks=9, **LIMITED, **spare)
        self.assertIs(reason, WaitReason.SPREAD)


if __name__ == "__main__":
    unittest.main()
