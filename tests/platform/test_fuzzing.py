"""Fuzzing: any message is used or refused, and what is used can be worked with."""

from __future__ import annotations

import copy
import json
import unittest
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from rhubarbfield.clock import ManualClock
from rhubarbfield.platform.jobwire import decode_job
from rhubarbfield.platform.wire import decode_configuration, decode_heartbeat
from rhubarbfield.scheduling.admission import Admission
from rhubarbfield.scheduling.heartbeats import Heartbeat
from rhubarbfield.scheduling.leases import WorkerLease
from rhubarbfield.scheduling.model import JobSubmission, QueueConfiguration
from rhubarbfield.scheduling.occurrences import choose_due
from rhubarbfield.scheduling.ordering import measure_submission, rank_job
from rhubarbfield.scheduling.ranges import MAX_INTEGER, MAX_WORKER_MS
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.state import Job, SchedulingState, Worker
from rhubarbfield.scheduling.worker_kinds import WorkerKinds
from rhubarbfield.types import JobId, Term
from tests.platform.test_wire import CONFIGURATION, HEARTBEAT, ROUTE
from tests.scheduling.deployments import CONFIGURATION as ORDINARY_CONFIGURATION
from tests.scheduling.deployments import QUEUE

FUZZING = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=400,
    suppress_health_check=[HealthCheck.too_slow],
)
HOUR = timedelta(hours=1)
FULL_JOB = {
    "Spec": "x",
    "Steps": [
        {
            "Count": 2,
            "Cpu": 500,
            "MemMb": 64,
            "Gpu": 1,
            "EstimatedMs": 900,
            "AntiAffinity": 1,
            "TargetMs": 5,
            "MayMiss": 1,
        },
        {"Count": 1, "Cpu": 500, "EstimatedMs": 900, "StartAfter": [0]},
    ],
    "RepeatCount": 2,
    "StartAtMs": 1,
    "IntervalMs": 1,
}
FULL_ROUTE = {**ROUTE, "TargetLatencyMs": 250, "Priority": 0, "Advice": {"ValidMs": 1}}
FULL_CONFIGURATION = {**CONFIGURATION, "Routes": [FULL_ROUTE]}
FULL_HEARTBEAT = {**HEARTBEAT, "RemainingMs": 1, "ColdRemainingMs": 0, "Version": "v"}
LONGEST_MS = 86_399_999_999_999_999  # of a duration
MAGNITUDES = [0, 1, 4096, 2**31, 2**53, 2**62, MAX_INTEGER, 2**64 - 1]
MAGNITUDES += [MAX_WORKER_MS, LONGEST_MS, 10**18, 10**20, 10**400]
EDGES = [
    sign * (edge + more) for edge in MAGNITUDES for sign in (1, -1) for more in (0, 1)
]
NESTED = "nested"  # stands for arrays within arrays, deeper than any decoder follows
NESTING = 50_000
DIGITS = "digits"  # stands for a number with more digits than Python reads
LONG = "9" * 5000

numbers = (
    st.sampled_from(EDGES)
    | st.integers()
    | st.floats()
    | st.sampled_from([1e18, 1e300, -0.5])
)
values = st.recursive(
    numbers
    | st.none()
    | st.booleans()
    | st.text(max_size=5)
    | st.sampled_from([NESTED, DIGITS]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=4,
)


def list_places(content: Any) -> Iterator[tuple[Any, Any]]:
    """Yield each container in a document, with each of its keys or indexes."""
    items = content.items() if isinstance(content, dict) else enumerate(content)
    for key, value in list(items):
        yield content, key
        if isinstance(value, dict | list):
            yield from list_places(value)


def list_edges(document: dict[str, Any]) -> Iterator[bytes]:
    """Yield a document with each of its numbers set to each edge."""
    edited = copy.deepcopy(document)
    for container, key in list_places(edited):
        original = container[key]
        if isinstance(original, int | float):
            for edge in EDGES:
                container[key] = edge
                yield json.dumps(edited).encode()
            container[key] = original


@st.composite
def edit(draw: st.DrawFn, document: dict[str, Any]) -> bytes:
    """Return a document with some values replaced, removed or added."""
    edited = copy.deepcopy(document)
    for _ in range(draw(st.integers(1, 4))):
        places = list(list_places(edited))
        if not places:
            break
        container, key = draw(st.sampled_from(places))
        match draw(st.sampled_from(["number", "number", "value", "remove", "add"])):
            case "number":
                container[key] = draw(numbers)
            case "value":
                container[key] = draw(values)
            case "remove":
                del container[key]
            case "add" if isinstance(container, dict):
                container[draw(st.text(max_size=5))] = draw(values)
    nested = "[" * NESTING + "]" * NESTING
    text = json.dumps(edited).replace(f'"{NESTED}"', nested)
    return text.replace(f'"{DIGITS}"', LONG).encode()


class FuzzingTest(unittest.TestCase):
    def read(self, result: Result[Any, str], kind: Any) -> Any:
        """Return what was decoded, if anything; it can be stored and sent."""
        if isinstance(result, Failure):
            self.assertTrue(result.failure())
            return None
        self.assertIsInstance(result, Success)
        content = result.unwrap()
        encoded = msgspec.msgpack.encode(content)
        self.assertEqual(msgspec.msgpack.decode(encoded, type=kind), content)
        return content

    def test_each_number_at_each_edge(self) -> None:
        for document, check in (
            (FULL_JOB, self.check_job),
            (FULL_CONFIGURATION, self.check_configuration),
            (FULL_HEARTBEAT, self.check_heartbeat),
        ):
            for body in list_edges(document):
                check(body)

    @FUZZING
    @given(edit(FULL_JOB))
    def test_jobs(self, body: bytes) -> None:
        self.check_job(body)

    @FUZZING
    @given(edit(FULL_CONFIGURATION))
    def test_configurations(self, body: bytes) -> None:
        self.check_configuration(body)

    @FUZZING
    @given(edit(FULL_HEARTBEAT))
    def test_heartbeats(self, body: bytes) -> None:
        self.check_heartbeat(body)

    def check_job(self, body: bytes) -> None:
        submission = self.read(decode_job(body), JobSubmission)
        if submission is None:
            return
        clock = ManualClock(HOUR)
        state = SchedulingState(configuration=ORDINARY_CONFIGURATION)
        worker = decode_heartbeat("w", json.dumps(HEARTBEAT).encode()).unwrap().report
        state.workers[worker.worker] = Worker(
            worker=worker.worker,
            machine=worker.machine,
            service=QUEUE.service,
            address=worker.address,
            zone=worker.zone,
            capacity=worker.capacity,
        )
        job = Job(job=JobId("j"), queue=QUEUE.name, order=1, submission=submission)
        kinds = WorkerKinds(state.workers.values())
        due = choose_due(
            [job], 1e12, lambda each: kinds.list_possible(each.job, each.submission)
        )
        for _, number in due:
            job.open_occurrence(number)
        state.jobs[job.job], state.accepted = job, 1
        admission = Admission(clock)
        admission.begin(JobId("k"), QUEUE, submission, Term(1))
        for name in ("k", "l"):
            admission.decide(JobId(name), QUEUE, submission, state=state, term=Term(1))
        rank_job(measure_submission(submission), QUEUE, HOUR, 1.0)

    def check_configuration(self, body: bytes) -> None:
        configuration = self.read(decode_configuration(body), QueueConfiguration)
        job = decode_job(json.dumps(FULL_JOB).encode()).unwrap()
        for queue in () if configuration is None else configuration.queues:
            rank_job(measure_submission(job), queue, HOUR, 1.0)

    def check_heartbeat(self, body: bytes) -> None:
        heartbeat = self.read(decode_heartbeat("i", body), Heartbeat)
        if heartbeat is None or heartbeat.clock is None:
            return
        clock = ManualClock(HOUR)
        lease = WorkerLease(clock, SchedulingSettings())
        for _ in range(2):
            lease.update_reported_clock(heartbeat.clock, timedelta())
            lease.extend(clock.monotonic())
            clock.advance(HOUR)


if __name__ == "__main__":
    unittest.main()
