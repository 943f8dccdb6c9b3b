"""Tests of standing tasks that a reservation keeps off room for a while."""

from __future__ import annotations

import unittest
from collections.abc import Sequence

import msgspec

from rhubarbfield.scheduling.commands import RunStart
from rhubarbfield.scheduling.deferrals import MAX_DEFERRAL
from rhubarbfield.scheduling.model import Demand, Step
from rhubarbfield.scheduling.orders import StartState
from rhubarbfield.scheduling.suspects import MAX_TRIAL_DELAY
from rhubarbfield.types import WorkerId
from tests.scheduling.deployments import QUEUE
from tests.scheduling.fleets import LATE_QUEUE
from tests.scheduling.test_reservations import (
    LONG,
    PIECE,
    PIECES,
    ROUND_INTERVAL,
    WAITING_SECONDS,
    BusyFleet,
    list_workers,
    with_fleet,
)

SMALL = Step(demand=Demand(1000), standing=True)
GANG = Step(tasks=2, demand=Demand(1000), standing=True, gang=True)
DEFERRED_SECONDS = 1.75
TOLERATED_SECONDS = 3.0


class DeferralTest(unittest.TestCase):
    async def free_piece(
        self, busy: BusyFleet, steps: Sequence[Step], waited: float = 0.0
    ) -> WorkerId:
        """Let steps wait for room on a reserved worker, and give it a free piece."""
        busy.interrupt()
        await busy.run_rounds(WAITING_SECONDS)
        reserved = busy.get_reserved()
        for step in steps:
            busy.submit(step, 1)
        self.assertEqual(await busy.run_rounds(waited), [])
        busy.end_runs(reserved, 1)
        return reserved

    @with_fleet()
    async def test_wait_without_room_does_not_count(self, busy: BusyFleet) -> None:
        await self.free_piece(busy, [SMALL], waited=TOLERATED_SECONDS)
        self.assertEqual(await busy.run_rounds(DEFERRED_SECONDS), [])

    @with_fleet()
    async def test_standing_tasks_use_room_that_stays_unused(
        self, busy: BusyFleet
    ) -> None:
        reserved = await self.free_piece(busy, [SMALL, SMALL])
        starts = await busy.run_rounds(TOLERATED_SECONDS)
        self.assertEqual(list_workers(starts), [reserved, reserved])

    @with_fleet()
    async def test_finite_task_does_not_use_room_that_stays_unused(
        self, busy: BusyFleet
    ) -> None:
        await self.free_piece(busy, [LONG])
        self.assertEqual(await busy.run_rounds(TOLERATED_SECONDS), [])

    @with_fleet()
    async def test_holder_goes_before_tasks_that_were_kept_off(
        self, busy: BusyFleet
    ) -> None:
        """Its room and the end of their wait come in the same round."""
        reserved = await self.free_piece(busy, [SMALL])
        (holder,) = busy.fleet.leader._reservations._reserved.values()
        self.assertEqual(await busy.run_rounds(DEFERRED_SECONDS), [])
        busy.end_runs(reserved, PIECES - 1)
        starts = await busy.run_rounds(1)
        self.assertEqual(_list_jobs(starts), [holder.holder[0]])

    @with_fleet()
    async def test_step_of_a_lower_queue_is_kept_off(self, busy: BusyFleet) -> None:
        await self.free_piece(busy, [])
        busy.submit(SMALL, 1, LATE_QUEUE.name)
        self.assertGreater(LATE_QUEUE.priority, QUEUE.priority)
        self.assertEqual(await busy.run_rounds(TOLERATED_SECONDS), [])

    @with_fleet()
    async def test_interrupted_step_of_a_lower_queue_is_not_kept_off_for_long(
        self, busy: BusyFleet
    ) -> None:
        """Room for which it waited stayed unused for as long as the holder waited."""
        reserved = await self.free_piece(busy, [])
        busy.interrupt(SMALL, LATE_QUEUE.name)
        self.assertGreater(LATE_QUEUE.priority, QUEUE.priority)
        self.assertEqual(await busy.run_rounds(DEFERRED_SECONDS), [])
        starts = await busy.run_rounds(TOLERATED_SECONDS - DEFERRED_SECONDS)
        self.assertEqual(list_workers(starts), [reserved])

    def interrupt_suspect(self, busy: BusyFleet) -> None:
        job = busy.interrupt(SMALL)
        (suspect,) = busy.fleet.state.jobs[job].occurrences[0][0].tasks
        suspect.blame = 1
        self.assertTrue(suspect.is_suspect)

    @with_fleet()
    async def test_suspected_task_is_not_kept_off_for_long(
        self, busy: BusyFleet
    ) -> None:
        """No suspect started on a reserved worker, however long its room stayed."""
        reserved = await self.free_piece(busy, [])
        ledger = busy.fleet.sessions[reserved]._ledger
        ledger.starts = dict.fromkeys(ledger.starts, StartState.SETTLED)
        self.interrupt_suspect(busy)
        self.assertEqual(await busy.run_rounds(DEFERRED_SECONDS), [])
        starts = await busy.run_rounds(TOLERATED_SECONDS - DEFERRED_SECONDS)
        self.assertEqual(list_workers(starts), [reserved])

    @with_fleet()
    async def test_wait_of_a_suspect_for_a_worker_to_itself_is_not_added_twice(
        self, busy: BusyFleet
    ) -> None:
        """The worker has runs whose starts have no answer, so that they are recent."""
        reserved = await self.free_piece(busy, [])
        self.interrupt_suspect(busy)
        waited = MAX_DEFERRAL + MAX_TRIAL_DELAY
        rounds = waited.total_seconds() + 2 * ROUND_INTERVAL
        starts = await busy.run_rounds(rounds)
        self.assertEqual(list_workers(starts), [reserved])

    @with_fleet()
    async def test_gang_is_not_kept_off_for_long(self, busy: BusyFleet) -> None:
        """No gang used a reserved worker, however long its room stayed unused."""
        reserved = await self.free_piece(busy, [])
        busy.interrupt(GANG, count=GANG.tasks)
        self.assertEqual(await busy.run_rounds(DEFERRED_SECONDS), [])
        starts = await busy.run_rounds(TOLERATED_SECONDS - DEFERRED_SECONDS)
        self.assertEqual(list_workers(starts), [reserved] * GANG.tasks)

    @with_fleet()
    async def test_gang_that_does_not_fit_uses_no_reserved_room(
        self, busy: BusyFleet
    ) -> None:
        await self.free_piece(busy, [])
        large = msgspec.structs.replace(GANG, tasks=PIECE.millicores // 1000 + 1)
        busy.submit(large, 1)
        self.assertEqual(await busy.run_rounds(TOLERATED_SECONDS), [])

    @with_fleet()
    async def test_no_worker_is_reserved_for_members_of_a_gang(
        self, busy: BusyFleet
    ) -> None:
        busy.interrupt(GANG, count=GANG.tasks)
        await busy.run_rounds(2 * WAITING_SECONDS)
        self.assertEqual(busy.list_reserved(), [])


def _list_jobs(starts: Sequence[RunStart]) -> list[str]:
    return [start.task.split(".")[0] for start in starts]


if __name__ == "__main__":
    unittest.main()
