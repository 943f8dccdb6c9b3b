"""Tests of reserved workers beside standing tasks of lower queues."""

from __future__ import annotations

import unittest

from rhubarbfield.scheduling.commands import EndedRun, EndRuns, WorkerEnds
from rhubarbfield.scheduling.model import Step
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.types import WorkerId
from tests.scheduling.fleets import LATE_QUEUE
from tests.scheduling.test_reservations import (
    PIECE,
    PIECES,
    WAITING_SECONDS,
    BusyFleet,
    with_fleet,
)

LOWER = Step(demand=PIECE, standing=True)
WAITING_JOBS = 40
END_INTERVAL = 3.0  # longer than room has to stay unused


class LowerQueueTest(unittest.TestCase):
    def end_finite_run(self, busy: BusyFleet, worker: WorkerId) -> None:
        state = busy.fleet.state
        for task, run in state.workers[worker].runs.items():
            step = state.find_step(task)
            if step is not None and not step.standing:
                ends = (EndedRun(task, run, RunEnd.DONE),)
                busy.fleet.apply(EndRuns(workers=(WorkerEnds(worker, ends),)))
                return

    @with_fleet()
    async def test_standing_tasks_of_a_lower_queue_do_not_take_all_reserved_room(
        self, busy: BusyFleet
    ) -> None:
        """The holder needs a whole worker, whose runs end one after the other."""
        holder = busy.interrupt()
        await busy.run_rounds(WAITING_SECONDS)
        busy.submit(LOWER, WAITING_JOBS, LATE_QUEUE.name)
        started: list[str] = []
        for _ in range(2 * PIECES):
            for worker in busy.list_reserved():
                self.end_finite_run(busy, worker)
            starts = await busy.run_rounds(END_INTERVAL)
            started += [start.task.split(".")[0] for start in starts]
        self.assertIn(holder, started)


if __name__ == "__main__":
    unittest.main()
