"""Tests of the delegation of jobs to one failure domain at a time."""

from __future__ import annotations

import random
import unittest
from datetime import timedelta
from unittest import mock

from rhubarbfield.fleet import (
    Delegated,
    DelegateJob,
    FinishJob,
    FleetJob,
    Quota,
    ReleaseJob,
    ReportJob,
)
from rhubarbfield.fleet.jobs import FINISHED_JOB_RETENTION
from rhubarbfield.machine import Done, Refused, Reply
from rhubarbfield.types import Epoch, FailureDomain, JobId, JobState
from tests.fleet.fleets import CREATE, START, FleetLog

JOB = JobId("1-weekly")


class JobCase(unittest.TestCase):
    def setUp(self) -> None:
        self.log = FleetLog()
        self.log.decide(1, CREATE)

    @property
    def job(self) -> FleetJob:
        return self.log.state.jobs[JOB]

    def delegate(self, domain: str) -> Reply:
        return self.log.apply(
            DelegateJob(job=JOB, domain=FailureDomain(domain), at=START)
        )

    def release(self, domain: str, epoch: int) -> Reply:
        return self.log.apply(
            ReleaseJob(
                job=JOB,
                domain=FailureDomain(domain),
                epoch=Epoch(epoch),
                reason="no capacity",
                at=START,
            )
        )

    def finish(
        self, domain: str, epoch: int, state: JobState = JobState.SUCCEEDED
    ) -> Reply:
        return self.log.apply(
            FinishJob(
                job=JOB,
                domain=FailureDomain(domain),
                epoch=Epoch(epoch),
                state=state,
                reason="",
                at=START,
            )
        )


class DelegationTest(JobCase):
    def test_a_job_moves_only_after_its_release(self) -> None:
        self.assertEqual(self.delegate("leiria"), Delegated(epoch=Epoch(1)))
        self.assertEqual(self.delegate("leiria"), Delegated(epoch=Epoch(1)))
        self.assertIsInstance(self.delegate("tomar"), Refused)
        self.assertEqual(self.release("leiria", 1), Done())
        self.assertEqual(self.delegate("tomar"), Delegated(epoch=Epoch(2)))

    def test_commands_under_an_old_epoch_are_refused(self) -> None:
        self.delegate("leiria")
        self.release("leiria", 1)
        self.delegate("leiria")
        for reply in (self.release("leiria", 1), self.finish("leiria", 1)):
            self.assertIsInstance(reply, Refused)
        self.assertIsInstance(self.release("tomar", 2), Refused)
        self.assertEqual(self.job.epoch, 2)
        self.assertTrue(self.job.is_open)

    def test_a_lost_domain_loses_its_jobs_and_the_answer_names_the_risk(self) -> None:
        self.delegate("leiria")
        record = self.log.decide(2, "declare domain leiria lost")
        self.assertIn("two places", record.answer)
        self.assertIsInstance(self.delegate("leiria"), Refused)
        self.assertEqual(self.delegate("tomar"), Delegated(epoch=Epoch(2)))
        self.assertIsInstance(self.finish("leiria", 1), Refused)
        self.log.decide(3, "declare domain leiria restored")
        self.assertIsInstance(self.delegate("leiria"), Refused)

    def test_a_job_ends_once(self) -> None:
        self.delegate("leiria")
        report = ReportJob(job=JOB, domain=FailureDomain("leiria"), epoch=Epoch(1))
        self.assertEqual(self.log.apply(report), Done())
        self.assertIsInstance(self.finish("leiria", 1, JobState.RUNNING), Refused)
        self.assertEqual(self.finish("leiria", 1), Done())
        self.assertEqual(self.finish("leiria", 1), Done())
        self.assertIsInstance(self.finish("leiria", 1, JobState.FAILED), Refused)
        self.assertEqual(self.job.state, JobState.SUCCEEDED)

    def test_a_job_is_delegated_only_to_its_stated_domain(self) -> None:
        self.log.decide(2, f"{CREATE} domain tomar")
        command = DelegateJob(
            job=JobId("2-weekly"), domain=FailureDomain("leiria"), at=START
        )
        self.assertIsInstance(self.log.apply(command), Refused)


class CancellationTest(JobCase):
    def test_a_job_with_no_domain_is_cancelled_at_once(self) -> None:
        self.log.decide(2, "cancel job 1-weekly")
        self.assertEqual(self.job.state, JobState.CANCELLED)
        self.assertIsInstance(self.delegate("leiria"), Refused)

    def test_a_delegated_job_is_cancelled_once_its_domain_releases_it(self) -> None:
        self.delegate("leiria")
        record = self.log.decide(2, "cancel jobs where tenant = iris")
        self.assertIn("as soon as", record.answer)
        self.assertTrue(self.job.is_open)
        self.assertTrue(self.job.cancelling)
        self.assertEqual(self.release("leiria", 1), Done())
        self.assertEqual(self.job.state, JobState.CANCELLED)

    def test_completion_in_flight_wins_over_a_cancellation(self) -> None:
        self.delegate("leiria")
        self.log.decide(2, "cancel job 1-weekly")
        self.assertEqual(self.finish("leiria", 1), Done())
        self.assertEqual(self.job.state, JobState.SUCCEEDED)

    def test_a_cancelled_job_of_a_lost_domain_is_not_started_elsewhere(self) -> None:
        self.delegate("leiria")
        self.log.decide(2, "cancel job 1-weekly")
        self.log.decide(3, "declare domain leiria lost")
        self.assertEqual(self.job.state, JobState.CANCELLED)

    def test_a_cancellation_naming_an_unknown_job_cancels_none(self) -> None:
        self.assertFalse(self.log.decide(2, "cancel job 1-weekly, 9-x").accepted)
        self.assertTrue(self.job.is_open)

    def test_quotas_are_set_in_parts_and_removed(self) -> None:
        self.log.decide(2, "set quota for tenant iris cores 4")
        self.log.decide(3, "set quota for tenant iris tasks 9")
        self.assertEqual(self.log.state.quotas["iris"], Quota(cores=4.0, tasks=9))
        self.log.decide(4, "remove quota for tenant iris")
        self.assertEqual(self.log.state.quotas, {})

    def test_ended_jobs_are_dropped_and_open_ones_kept(self) -> None:
        self.log.decide(2, CREATE)
        self.log.decide(3, "cancel job 1-weekly")
        later = FINISHED_JOB_RETENTION + timedelta(seconds=1)
        self.log.decide(4, CREATE, after=later)
        self.assertEqual(list(self.log.state.jobs), ["2-weekly", "4-weekly"])

    def test_a_full_fleet_drops_ended_jobs_and_then_refuses(self) -> None:
        with (
            mock.patch("rhubarbfield.fleet.jobs.MAX_JOBS", 3),
            mock.patch("rhubarbfield.fleet.effects.MAX_JOBS", 3),
            mock.patch("rhubarbfield.fleet.jobs.JOBS_KEPT_WHEN_FULL", 2),
        ):
            self.log.decide(2, CREATE)
            self.log.decide(3, CREATE)
            self.assertFalse(self.log.decide(4, CREATE).accepted)
            self.log.decide(5, "cancel job 2-weekly")
            self.assertTrue(self.log.decide(6, CREATE).accepted)
        self.assertEqual(
            list(self.log.state.jobs), ["1-weekly", "3-weekly", "6-weekly"]
        )


class RandomisedTest(unittest.TestCase):
    """Domains act late, repeatedly and after being lost; holders are counted."""

    def run_fleet(self, seed: int) -> None:
        source = random.Random(seed)
        log = FleetLog()
        domains = [FailureDomain(name) for name in ("leiria", "tomar", "coimbra")]
        held: dict[FailureDomain, Epoch] = {}
        lost: set[FailureDomain] = set()
        log.decide(1, CREATE)
        for number in range(2, 60):
            job, domain = log.state.jobs[JOB], source.choice(domains)
            epoch = source.choice([held.get(domain, Epoch(9)), job.epoch])
            match source.randrange(6):
                case 0 | 1:
                    command = DelegateJob(job=JOB, domain=domain, at=START)
                    if isinstance(reply := log.apply(command), Delegated):
                        held[domain] = reply.epoch
                case 2:
                    release = ReleaseJob(
                        job=JOB, domain=domain, epoch=epoch, reason="", at=START
                    )
                    if log.apply(release) == Done():
                        self.assertEqual(held.pop(domain), epoch)
                case 3:
                    log = log.restart()
                case 4 if source.random() < 0.3:
                    log.decide(number, f"declare domain {domain} lost")
                    lost.add(domain)
                case 5:
                    log.decide(number, f"declare domain {domain} restored")
            current = [one for one in held if one not in lost]
            self.assertLessEqual(len(current), 1, f"seed {seed}")
            if job.domain in lost and job.domain in held:
                self.assertEqual(held[job.domain], job.epoch)

    def test_no_two_domains_hold_a_job_unless_one_was_declared_lost(self) -> None:
        for seed in range(200):
            self.run_fleet(seed)
