"""Tests of answers to operators' queries."""

from __future__ import annotations

import unittest
from typing import Any, cast

from returns.result import Failure, Success

from rhubarbfield.clock import TrioClock
from rhubarbfield.controller.queries import OperatorService
from rhubarbfield.controller.statemachines import (
    make_domain_machine,
    make_fleet_machine,
)
from rhubarbfield.controller.tables import DomainView
from rhubarbfield.language import Subject, Table, parse
from rhubarbfield.operators import FailureKind
from rhubarbfield.protocol import LeaderCalls, LeaderFailure, NotLeading, QueryRequest
from rhubarbfield.types import ConfigurationVersion, FailureDomain, InstanceName
from tests.controller.single_member import make_single_member_log
from tests.replication.determinism import run_deterministic
from tests.settings.samples import make_settings

NORTH, SOUTH = FailureDomain("north"), FailureDomain("south")

# Operators' scripts read these columns; a change here breaks them.
COLUMNS = {
    Subject.SERVICES: "service domain servers leaving without_owner slots",
    Subject.SERVERS: "server service domain state owner epoch slots connections"
    " address settled",
    Subject.WORKERS: "worker domain rack state tasks cores cores_committed memory_mb"
    " memory_mb_committed accelerators epoch",
    Subject.JOBS: "job tenant kind priority state domain tasks created_by created_at"
    " reason",
    Subject.TASKS: "task job tenant domain state worker attempts checkpoint reason",
    Subject.INSTANCES: "instance domain region fleet_voter drained",
    Subject.CONFIGURATION: "domain process version",
    Subject.COMMANDS: "number operator at accepted text answer",
    Subject.QUOTAS: "tenant cores memory_mb accelerators tasks",
    Subject.TENANTS: "tenant domain cores memory_mb accelerators",
    Subject.DRAINS: "target what operator number at",
    Subject.DOMAINS: "domain reachable workers declared_lost",
}


class QueriesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet_log, self.fleet = make_single_member_log(make_fleet_machine())
        self.domain_log, _ = make_single_member_log(make_domain_machine())
        self.unreachable: set[FailureDomain] = set()
        self.leads = True

        calls = cast(LeaderCalls, self)
        self.service = OperatorService(
            make_settings(),
            fleet_log=self.fleet_log,
            fleet=calls,
            domains={NORTH: calls, SOUTH: calls},
            view_domain=self.view,
            clock=TrioClock(),
        )

    def view(self) -> DomainView | None:
        if not self.leads:
            return None
        return DomainView(
            domain=NORTH,
            state=self.domain_log.state,
            versions={InstanceName("n1"): ConfigurationVersion(3)},
            waits={},
            position=self.domain_log.position,
        )

    async def call(self, request: QueryRequest, timeout: Any) -> Any:
        if request.domain in self.unreachable:
            return Failure(LeaderFailure(detail="unreachable", in_doubt=False))
        here = QueryRequest(NORTH, request.statement)
        return Success(self.service.answer_domain(here))

    def ask(self, text: str) -> Any:
        statement: Any = parse(text).unwrap()
        return run_deterministic(lambda: self.service.query(statement), seed=1)

    def show(self, text: str) -> Table:
        table = self.ask(text).unwrap()
        assert isinstance(table, Table)
        return table

    def test_each_subject_has_its_columns_when_domains_are_unreachable(self) -> None:
        for unreachable in ({SOUTH}, {NORTH, SOUTH}):
            self.unreachable = unreachable
            for subject in Subject:
                with self.subTest(subject, unreachable=unreachable):
                    table = self.show(f"show {subject.value}")
                    self.assertEqual(" ".join(table.columns), COLUMNS[subject])

    def test_an_unreachable_domain_is_named_and_makes_the_answer_stale(self) -> None:
        self.unreachable = {SOUTH}
        table = self.show("show workers")
        self.assertTrue(table.stale)
        self.assertIn("No answer from the leader of: south", table.note)
        self.assertIn("north 0", table.note)
        rows = {row[0]: row[1] for row in self.show("show domains").rows}
        self.assertEqual(rows, {"north": True, "south": False})
        self.unreachable = {NORTH, SOUTH}
        note = self.show("show workers").note
        self.assertTrue(note.startswith("No answer"), note)

    def test_a_controller_that_does_not_lead_marks_its_answer_as_stale(self) -> None:
        self.assertFalse(self.show("show jobs").stale)
        self.fleet.leadership = None
        table = self.show("show jobs")
        self.assertTrue(table.stale)
        self.assertIn("does not lead", table.note)

    def test_an_unknown_task_differs_from_one_in_an_unreachable_domain(
        self,
    ) -> None:
        failure = self.ask("explain task j9-0").failure()
        self.assertEqual(failure.kind, FailureKind.NOT_FOUND)
        self.unreachable = {SOUTH}
        failure = self.ask("explain task j9-0").failure()
        self.assertEqual(failure.kind, FailureKind.UNREACHABLE)
        self.assertIn("south", failure.message)

    def test_only_the_leader_of_a_domain_answers_for_it(self) -> None:
        statement: Any = parse("show workers").unwrap()
        foreign = QueryRequest(SOUTH, statement)
        self.assertEqual(self.service.answer_domain(foreign), NotLeading())
        self.leads = False
        own = QueryRequest(NORTH, statement)
        self.assertEqual(self.service.answer_domain(own), NotLeading())
