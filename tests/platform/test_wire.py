"""Tests of decoding the platform's messages."""

from __future__ import annotations

import json
import unittest
from datetime import timedelta

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from rhubarbfield.platform.jobwire import MAX_JOB_TASKS, MAX_TASKS, decode_job
from rhubarbfield.platform.runners import _read_view
from rhubarbfield.platform.wire import (
    WireView,
    decode_configuration,
    decode_heartbeat,
)
from rhubarbfield.scheduling.model import Demand, JobSubmission, QueueConfiguration
from rhubarbfield.scheduling.ranges import (
    MAX_INTEGER,
    MAX_LATENCY_GOAL_MS,
    MAX_SLOWDOWN,
)
from rhubarbfield.scheduling.state import RunEnd

HEARTBEAT = {
    "Service": "s",
    "Address": "10.0.0.1:80",
    "Zone": "z",
    "Slots": 8,
    "State": "ready",
    "Capacity": {"Cpu": 16000, "MemMb": 32768, "Gpu": 0},
    "Labels": ["a", "r1-3"],
    "ClockMs": 482113,
    "Sequence": 4,
    "Machine": "m-1",
}
ROUTE = {
    "Name": "r",
    "Hostname": "h.example",
    "PathPrefix": "/p/",
    "TimeoutMs": 3000,
    "Service": "s",
    "MaxAttempts": 3,
    "Stretch": 1.5,
}
CONFIGURATION = {
    "Version": 7,
    "Routes": [ROUTE],
    "Services": [{"Name": "s", "EnforcesCapacity": True}],
    "Limits": {"MaxBodyBytes": 262144},
}
STEP_NUMBERS = (
    "Cpu",
    "MemMb",
    "Gpu",
    "EstimatedMs",
    "AntiAffinity",
    "TargetMs",
    "MayMiss",
)
TOO_LARGE = 10**20  # more than 64 bits
LONGEST_MS = 86_399_999_999_999_999  # of a duration
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def encode(content: object) -> bytes:
    return json.dumps(content).encode()


def make_job(step: dict[str, int], **fields: object) -> bytes:
    return encode({"Spec": "x", "Steps": [{"Count": 1, **step}], **fields})


class JobTest(unittest.TestCase):
    def test_omitted_fields_are_zero(self) -> None:
        body = b'{"Spec":"x","Steps":[{"Count":4,"Cpu":500,"MemMb":256}]}'
        job = decode_job(body).unwrap()
        self.assertEqual(job.steps[0].tasks, 4)
        self.assertEqual(job.steps[0].demand, Demand(500, 256, 0))
        self.assertIsNone(job.recurrence)

    def test_invalid_jobs_are_refused_with_a_reason(self) -> None:
        for body in (
            b"",
            b"{",
            b"[]",
            b'{"Spec":"x"}',
            b'{"Spec":"x","Steps":[]}',
            b'{"Spec":1,"Steps":[{"Count":1}]}',
            b'{"Spec":"x","Steps":[{"Count":-1}]}',
            b'{"Spec":"x","Steps":[{"Count":1,"StartAfter":[0]}]}',
            b'{"Spec":"\xff","Steps":[{"Count":1}]}',
            encode({"Spec": "x" * 4001, "Steps": [{"Count": 1}]}),
        ):
            with self.subTest(body=body[:40]):
                refused = decode_job(body)
                self.assertIsInstance(refused, Failure)
                self.assertTrue(refused.failure())

    def test_job_with_more_tasks_than_a_replica_creates_at_once_is_refused(
        self,
    ) -> None:
        """A million tasks held the loop of each replica for longer than a lease."""
        wide = {"Count": MAX_TASKS}
        most = MAX_JOB_TASKS // MAX_TASKS
        decode_job(encode({"Spec": "x", "Steps": [wide] * most})).unwrap()
        refused = decode_job(encode({"Spec": "x", "Steps": [wide] * (most + 1)}))
        self.assertIn(str(MAX_JOB_TASKS), refused.failure())

    def test_numbers_of_a_job_that_a_controller_cannot_be_sent_are_refused(
        self,
    ) -> None:
        """A processor demand of 65 bits ended each entry that received it."""
        for name in STEP_NUMBERS:
            for number in (TOO_LARGE, -TOO_LARGE, MAX_INTEGER + 1):
                reason = decode_job(make_job({name: number})).failure()
                self.assertIn(f"$.Steps[0].{name}`", reason)
                self.assertRegex(reason, r"[<>]= -?\d+")
        for name in ("RepeatCount", "StartAtMs", "IntervalMs"):
            for number in (TOO_LARGE, -TOO_LARGE):
                reason = decode_job(make_job({}, **{name: number})).failure()
                self.assertIn(f"$.{name}`", reason)
                self.assertRegex(reason, r"[<>]= -?\d+")

    def test_largest_numbers_of_a_job_can_be_sent_to_a_controller(self) -> None:
        step = {name: MAX_INTEGER for name in STEP_NUMBERS}
        largest = make_job(
            {**step, "Count": MAX_TASKS},
            RepeatCount=MAX_INTEGER,
            StartAtMs=MAX_INTEGER,
            IntervalMs=MAX_INTEGER,
        )
        job = decode_job(largest).unwrap()
        encoded = msgspec.msgpack.encode(job)
        self.assertEqual(msgspec.msgpack.decode(encoded, type=JobSubmission), job)

    def test_job_that_nests_too_deeply_is_refused(self) -> None:
        nested = b"[" * 100_000 + b"]" * 100_000
        body = b'{"Spec":"x","Steps":[{"Count":1}],"More":' + nested + b"}"
        self.assertIn("recursion", decode_job(body).failure())

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(JSON)
    def test_decoders_never_raise(self, content: object) -> None:
        for decode in (decode_job, decode_configuration):
            self.assertIsInstance(decode(encode(content)), Success | Failure)
        self.assertIsInstance(decode_heartbeat("i", encode(content)), Failure)


class ConfigurationTest(unittest.TestCase):
    def refuse(self, **changes: object) -> str:
        return decode_configuration(encode({**CONFIGURATION, **changes})).failure()

    def test_queues_are_decoded(self) -> None:
        configuration = decode_configuration(encode(CONFIGURATION)).unwrap()
        queue = configuration.queues[0]
        self.assertEqual((queue.name, queue.max_attempts), ("r", 3))
        self.assertTrue(configuration.services[0].workers_guard_capacity)

    def test_document_does_not_depend_on_field_order(self) -> None:
        reordered = dict(reversed(list(CONFIGURATION.items())))
        self.assertEqual(
            decode_configuration(encode(CONFIGURATION)).unwrap().document,
            decode_configuration(encode(reordered)).unwrap().document,
        )

    def test_invalid_configurations_are_refused(self) -> None:
        self.assertIn("unknown service", self.refuse(Services=[]))
        self.assertIn("share host", self.refuse(Routes=[ROUTE, ROUTE]))
        self.assertIn("TimeoutMs", self.refuse(Routes=[{**ROUTE, "TimeoutMs": 0}]))
        self.assertIn("Version", self.refuse(Version="seven"))
        whole = encode(CONFIGURATION)
        self.assertIsInstance(decode_configuration(whole[:-9]), Failure)

    def test_numbers_of_a_configuration_that_are_out_of_range_are_refused(
        self,
    ) -> None:
        """A goal that is no valid duration was taken, and submissions got 504."""
        for name, number in (
            ("Stretch", 10**18),
            ("Stretch", -1),
            ("TargetLatencyMs", 2**62),
            ("TargetLatencyMs", -1),
            ("TimeoutMs", TOO_LARGE),
            ("Priority", TOO_LARGE),
            ("Priority", -TOO_LARGE),
            ("MaxAttempts", TOO_LARGE),
        ):
            reason = self.refuse(Routes=[{**ROUTE, name: number}])
            self.assertIn(f"$.Routes[0].{name}`", reason)
            self.assertRegex(reason, r"[<>]= -?\d+")
        self.assertIn("$.Version`", self.refuse(Version=TOO_LARGE))

    def test_largest_numbers_of_a_configuration_can_be_stored(self) -> None:
        route = {
            **ROUTE,
            "Stretch": MAX_SLOWDOWN,
            "TargetLatencyMs": MAX_LATENCY_GOAL_MS,
            "TimeoutMs": MAX_INTEGER,
            "Priority": -MAX_INTEGER,
            "MaxAttempts": MAX_INTEGER,
        }
        content = {**CONFIGURATION, "Version": MAX_INTEGER, "Routes": [route]}
        decoded = decode_configuration(encode(content)).unwrap()
        stored = msgspec.msgpack.encode(decoded)
        self.assertEqual(
            msgspec.msgpack.decode(stored, type=QueueConfiguration), decoded
        )

    def test_numbers_that_are_not_used_are_read_back_whatever_their_size(self) -> None:
        content = {**CONFIGURATION, "Limits": {"MaxBodyBytes": TOO_LARGE}}
        document = decode_configuration(encode(content)).unwrap().document
        self.assertEqual(json.loads(document), content)

    def test_configuration_that_nests_too_deeply_is_refused(self) -> None:
        nested = b"[" * 100_000 + b"]" * 100_000
        body = encode(CONFIGURATION)[:-1] + b', "More":' + nested + b"}"
        refused = decode_configuration(body)
        self.assertIn("recursion", refused.failure())


class HeartbeatTest(unittest.TestCase):
    def test_heartbeat_is_decoded(self) -> None:
        heartbeat = decode_heartbeat("i-1", encode(HEARTBEAT)).unwrap()
        self.assertEqual(heartbeat.report.worker, "i-1")
        self.assertEqual(heartbeat.report.labels, ("a", "r1-3"))
        self.assertEqual(heartbeat.clock, timedelta(milliseconds=482113))
        self.assertFalse(heartbeat.report.draining)

    def test_invalid_heartbeats_are_refused(self) -> None:
        for changes in (
            {"State": "resting"},
            {"Sequence": None},
            {"Capacity": 3},
            {"Address": "nowhere"},
            {"Labels": "a"},
        ):
            with self.subTest(changes=changes):
                body = encode({**HEARTBEAT, **changes})
                self.assertIsInstance(decode_heartbeat("i-1", body), Failure)
        missing = {name: HEARTBEAT[name] for name in HEARTBEAT if name != "Service"}
        self.assertIsInstance(decode_heartbeat("i-1", encode(missing)), Failure)

    def test_numbers_of_a_heartbeat_that_are_out_of_range_are_refused(self) -> None:
        for changes in (
            {"ClockMs": LONGEST_MS},
            {"ClockMs": -LONGEST_MS},
            {"RemainingMs": LONGEST_MS},
            {"Sequence": TOO_LARGE},
            {"Slots": TOO_LARGE},
            {"Capacity": {"Cpu": TOO_LARGE, "MemMb": 1}},
            {"Capacity": {"Cpu": 1, "MemMb": TOO_LARGE}},
            {"Capacity": {"Cpu": 1, "MemMb": 1, "Gpu": -1}},
        ):
            body = encode({**HEARTBEAT, **changes})
            reason = decode_heartbeat("i-1", body).failure()
            self.assertIn(f"$.{next(iter(changes))}", reason)
            self.assertRegex(reason, r"[<>]= -?\d+")

    def test_heartbeat_that_nests_too_deeply_is_refused(self) -> None:
        nested = b"[" * 100_000 + b"]" * 100_000
        body = encode(HEARTBEAT)[:-1] + b', "More":' + nested + b"}"
        self.assertIn("recursion", decode_heartbeat("i-1", body).failure())


class ViewTest(unittest.TestCase):
    def test_rows_are_decoded(self) -> None:
        body = (
            b'{"ClockMs":5,"ActiveRuns":[["j.0.0.1",2,"c",41,17]],'
            b'"EndedRuns":[[58,"j.0.0.2",1,"done",""]]}'
        )
        view = msgspec.json.decode(body, type=WireView).to_view()
        self.assertEqual((view.active[0].task, view.active[0].measure), ("j.0.0.1", 17))
        self.assertEqual((view.ends[0].number, view.ends[0].end), (58, RunEnd.DONE))

    def test_measures_that_cannot_be_are_left_out(self) -> None:
        """A negative tail latency ended the process of the leader."""
        for measure in (-1, "nan", "inf", None):
            row = ("t.0.0.0", 1, "", 100, measure)
            view = WireView(clock_ms=1, active_runs=(row,)).to_view()
            self.assertIsNone(view.active[0].measure, measure)

    def test_a_view_with_a_clock_that_is_too_large_is_unreadable(self) -> None:
        content = msgspec.json.encode({"ClockMs": 2**63})
        self.assertIsInstance(_read_view(content), Failure)

    def test_heartbeats_that_cannot_be_used_are_refused(self) -> None:
        for changes in (
            {"Address": "10.0.0.1:99999"},
            {"Address": "10.0.0.1:0"},
            {"ClockMs": 2**62},
            {"RemainingMs": 2**62},
        ):
            body = msgspec.json.encode({**HEARTBEAT, **changes})
            self.assertIsInstance(decode_heartbeat("i", body), Failure, changes)

    def test_numbers_that_cannot_be_stored_make_a_view_unreadable(self) -> None:
        for content in (
            {"ClockMs": LONGEST_MS},
            {"ClockMs": 1, "ActiveRuns": [["j.0.0.0", TOO_LARGE, "", 1]]},
            {"ClockMs": 1, "ActiveRuns": [["j.0.0.0", 1, "", "nan"]]},
            {"ClockMs": 1, "EndedRuns": [[TOO_LARGE, "j.0.0.0", 1, "done", ""]]},
            {"ClockMs": 1, "EndedRuns": [[1, "j.0.0.0", -1, "done", ""]]},
        ):
            self.assertIsInstance(_read_view(encode(content)), Failure, content)

    def test_unknown_ends_are_invalid(self) -> None:
        body = b'{"ClockMs":5,"EndedRuns":[[58,"j.0.0.2",1,"vanished",""]]}'
        with self.assertRaises(ValueError):
            msgspec.json.decode(body, type=WireView).to_view()


if __name__ == "__main__":
    unittest.main()
