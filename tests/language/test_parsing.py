"""Tests of parsing queries and commands."""

from __future__ import annotations

import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result

from rhubarbfield.language import (
    AllOf,
    AnyOf,
    Assignment,
    CancelJobs,
    CancelTenantJobs,
    Comparator,
    Comparison,
    Configure,
    CreateJob,
    DeclareDomainLost,
    DeclareDomainRestored,
    Drain,
    Explain,
    ExplainedKind,
    Negation,
    QuarantineWorker,
    ReleaseWorker,
    RemoveQuota,
    SetQuota,
    Show,
    SortKey,
    Statement,
    Subject,
    SyntaxProblem,
    TargetKind,
    Undrain,
    parse,
)
from rhubarbfield.types import (
    FailureDomain,
    JobId,
    Priority,
    ServiceName,
    Tenant,
    WorkerId,
    WorkKind,
)

FUZZING = settings(derandomize=True, database=None, deadline=None, max_examples=300)
VOCABULARY = """
show jobs where and or not ( ) = < tenant sort by desc limit 5 create batch for
tasks cores 0.5 memory 2gb gang cancel job , drain worker w-1 set quota configure
"text" true explain declare domain lost 99999999999 é " @
"""
WORDS = VOCABULARY.split()


class ParseTest(unittest.TestCase):
    def test_show(self) -> None:
        text = (
            "SHOW jobs WHERE tenant = iris and (state != queued or not (tasks > 3))"
            " sort by tasks desc, name limit 5"
        )
        where = AllOf(
            conditions=(
                Comparison(column="tenant", comparator=Comparator.EQUAL, value="iris"),
                AnyOf(
                    conditions=(
                        Comparison(
                            column="state",
                            comparator=Comparator.UNEQUAL,
                            value="queued",
                        ),
                        Negation(
                            condition=Comparison(
                                column="tasks", comparator=Comparator.GREATER, value=3
                            )
                        ),
                    )
                ),
            )
        )
        expected = Show(
            subject=Subject.JOBS,
            where=where,
            sort=(SortKey("tasks", True), SortKey("name", False)),
            limit=5,
        )
        self.assertEqual(parse(text).unwrap(), expected)

    def test_create(self) -> None:
        text = (
            "create batch weekly-1 for tenant iris tasks 20 cores 0.5 memory 2gb gang"
            ' urgent kind render runtime 10min accelerators 1 payload "series 7"'
        )
        expected = CreateJob(
            kind=WorkKind.BATCH,
            name="weekly-1",
            tenant=Tenant("iris"),
            tasks=20,
            cores=0.5,
            memory_mb=2048,
            accelerators=1,
            gang=True,
            priority=Priority.URGENT,
            task_kind="render",
            runtime=timedelta(minutes=10),
            payload="series 7",
        )
        self.assertEqual(parse(text).unwrap(), expected)

    def test_create_with_defaults(self) -> None:
        text = "create service b for tenant t cores 1 memory 512mb service board"
        created = parse(text).unwrap()
        assert isinstance(created, CreateJob)
        self.assertEqual(created.service, ServiceName("board"))
        self.assertEqual((created.tasks, created.task_kind), (1, "b"))
        self.assertEqual(created.priority, Priority.NORMAL)

    def test_every_other_statement(self) -> None:
        worker = WorkerId("w-1")
        expected: dict[str, Statement] = {
            "explain task 12-weekly/3": Explain(
                kind=ExplainedKind.TASK, identifier="12-weekly/3"
            ),
            "cancel job 1-a, 2-b, 1-a": CancelJobs(jobs=(JobId("1-a"), JobId("2-b"))),
            "cancel jobs where tenant = iris": CancelTenantJobs(tenant=Tenant("iris")),
            "drain server 10.0.0.1:80": Drain(
                target=TargetKind.SERVER, name="10.0.0.1:80"
            ),
            'undrain instance "a1"': Undrain(target=TargetKind.INSTANCE, name="a1"),
            "quarantine worker w-1": QuarantineWorker(worker=worker),
            "release worker w-1": ReleaseWorker(worker=worker),
            "set quota for tenant t cores 5 memory 3gb": SetQuota(
                tenant=Tenant("t"), cores=5.0, memory_mb=3072
            ),
            "remove quota for tenant t": RemoveQuota(tenant=Tenant("t")),
            "configure logging.level = debug, a.b = 0.5, c = true": Configure(
                assignments=(
                    Assignment("logging.level", "debug"),
                    Assignment("a.b", 0.5),
                    Assignment("c", True),
                )
            ),
            "declare domain d lost": DeclareDomainLost(domain=FailureDomain("d")),
            "declare domain d restored": DeclareDomainRestored(
                domain=FailureDomain("d")
            ),
        }
        for text, statement in expected.items():
            self.assertEqual(parse(text).unwrap(), statement, text)

    def test_keywords_may_be_names(self) -> None:
        text = "create batch batch for tenant tenant cores 1 memory 1gb kind job"
        created = parse(text).unwrap()
        assert isinstance(created, CreateJob)
        self.assertEqual((created.name, created.tenant), ("batch", "tenant"))


class ProblemTest(unittest.TestCase):
    def find_problem(self, text: str) -> SyntaxProblem:
        return parse(text).failure()

    def test_a_misspelled_keyword_gets_a_position_and_a_suggestion(self) -> None:
        problem = self.find_problem("show taks where a = 1")
        self.assertEqual(problem.position, len("show "))
        self.assertEqual(problem.nearest, "tasks")
        self.assertIn("\n  show taks where a = 1\n       ^\n", problem.format())

    def test_expected_words_are_readable(self) -> None:
        self.assertEqual(self.find_problem("explain task").expected[0], "a name")
        self.assertEqual(self.find_problem("cancel jobs where x").expected, ("tenant",))
        self.assertIn("ends early", self.find_problem("  ").message)

    def test_invalid_values_are_reported_with_their_position(self) -> None:
        create = "create batch a for tenant t cores 1 memory 1gb"
        for text, location, message in (
            (f"{create} tasks 0", "0", "whole number from 1"),
            (f"{create} tasks 1.5", "1.5", "whole number"),
            (f"{create} tasks 99999", "99999", "whole number"),
            (f"{create} runtime 900h", "900", "duration"),
            (f"{create} cores 2", "cores 2", "given twice"),
            (f"{create} urgent bulk", "batch", "not both"),
            ("create batch A for tenant t cores 1 memory 1gb", "A", "small letters"),
            ("create batch a for tenant t cores 1", "batch", "cores and memory"),
            ("create batch a for tenant t cores 0 memory 1gb", "0", "above 0"),
            ("create batch a for tenant t cores 1 memory 99999gb", "99999", "size"),
            ("configure a = 1, a = 2", "a = 2", "given twice"),
            ("configure a > 1", ">", "set with ="),
            ("show jobs limit 0", "0", "whole number"),
            ('drain worker "a b"', '"a b"', "a name has"),
            ("cancel jobs where tenant > x", ">", "only tenant = NAME"),
        ):
            problem = self.find_problem(text)
            self.assertIn(message, problem.message, text)
            self.assertEqual(problem.position, text.rindex(location), text)

    def test_long_and_deep_texts_are_refused(self) -> None:
        deep = "show jobs where " + "(" * 200 + "a = 1" + ")" * 200
        self.assertIn("parentheses", self.find_problem(deep).message)
        self.assertIn("longer", self.find_problem("show " * 5000).message)


class FuzzingTest(unittest.TestCase):
    def check(self, text: str) -> None:
        outcome: Result[Statement, SyntaxProblem] = parse(text)
        if isinstance(outcome, Failure):
            problem = outcome.failure()
            self.assertLessEqual(problem.position, len(text))
            self.assertTrue(problem.format())

    @FUZZING
    @given(st.text(max_size=80))
    def test_any_text_gives_a_statement_or_a_problem(self, text: str) -> None:
        self.check(text)

    @FUZZING
    @given(st.lists(st.sampled_from(WORDS), max_size=16))
    def test_any_words_give_a_statement_or_a_problem(self, words: list[str]) -> None:
        self.check(" ".join(words))
