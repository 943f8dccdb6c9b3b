"""Tests of the survey of the backlog."""

from __future__ import annotations

import unittest
from datetime import timedelta

from rhubarbfield.clock import MS_PER_SECOND
from rhubarbfield.scheduling.commands import AcceptJob
from rhubarbfield.scheduling.model import Demand, JobSubmission, Step
from rhubarbfield.scheduling.ordering import Outlook
from rhubarbfield.scheduling.survey import BacklogShare, survey_backlog
from rhubarbfield.types import JobId
from tests.replication.determinism import run_deterministic
from tests.scheduling.deployments import QUEUE
from tests.scheduling.fleets import QUEUES, Fleet


class SurveyTest(unittest.TestCase):
    def test_shares_count_what_waits_runs_and_is_held(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, 1)
            (worker,) = fleet.state.workers.values()
            cores = worker.capacity.millicores // 2
            demand = Demand(cores, 1000)
            steps = (
                Step(tasks=3, demand=demand, estimate_ms=1000),
                Step(tasks=5, demand=demand, estimate_ms=1000, after=(0,)),
            )
            fleet.apply(
                AcceptJob(
                    job=JobId("j"),
                    queue=QUEUE.name,
                    submission=JobSubmission(payload="p", steps=steps),
                    accepted_ms=int(fleet.clock.now().timestamp() * MS_PER_SECOND),
                )
            )
            await fleet.run_round()
            self.assertEqual(
                self.survey(fleet),
                {(QUEUE.name, Outlook.ON_TIME): BacklogShare(1, 1, 2, 2 * cores, 2000)},
            )
            fleet.clock.advance(timedelta(seconds=60))
            self.assertEqual(list(self.survey(fleet)), [(QUEUE.name, Outlook.TOO_LATE)])

        run_deterministic(check, seed=1)

    def survey(self, fleet: Fleet) -> dict[object, BacklogShare]:
        queues = {queue.name: queue for queue in QUEUES}
        backlog = fleet.leader._backlog
        return dict(survey_backlog(fleet.state.jobs.values(), queues, backlog))


if __name__ == "__main__":
    unittest.main()
