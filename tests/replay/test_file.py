"""Tests of trace files: any content is a trace or a problem with its line."""

from __future__ import annotations

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from rhubarbfield.replay import (
    Trace,
    TraceProblem,
    generate_trace,
    load_trace,
    parse_trace,
    write_trace,
)

FLEET = b'{"type":"fleet","name":"x","domains":{"north":["a1"]}}'
ASK = b'{"type":"Ask","at":1,"entry":"a1"}'
EVENTS = (
    ASK,
    b'{"type":"Kill","at":2,"process":"controller a1"}',
    b'{"type":"Cut","at":3,"sources":["a1"],"targets":["north"]}',
)


def find_problem(*lines: bytes) -> TraceProblem:
    found = parse_trace(b"\n".join(lines), "t")
    assert isinstance(found, Failure), found
    return found.failure()


class ParsingTest(unittest.TestCase):
    def test_a_written_trace_reads_back(self) -> None:
        trace = generate_trace(3, 1.0)
        with TemporaryDirectory() as folder:
            write_trace(Path(folder) / "t", trace)
            self.assertEqual(load_trace(Path(folder) / "t"), Success(trace))

    def test_a_problem_names_its_line(self) -> None:
        for line, lines in (
            (1, (b"{", ASK)),
            (1, (FLEET.replace(b'["a1"]', b'["a1","a1"]'),)),
            (1, (FLEET.replace(b'["a1"]', b"[]"),)),
            (2, (FLEET, b"", ASK)),
            (2, (FLEET, b"\xff\xfe")),
            (2, (FLEET, b"[" * 100_000)),
            (2, (FLEET, ASK.replace(b"a1", b"z9"))),
            (2, (FLEET, ASK.replace(b"1,", b"1e300,"))),
            (2, (FLEET, b'{"type":"Kill","at":1,"process":"a1"}')),
            (2, (FLEET, b'{"type":"Leave","at":1,"server":"s-south-0"}')),
            (3, (FLEET, ASK, ASK.replace(b"1,", b"0.5,"))),
        ):
            with self.subTest(line=line, lines=lines[-1][:60]):
                self.assertEqual(find_problem(*lines).line, line)

    def test_a_file_that_cannot_be_read_is_a_problem(self) -> None:
        for name in ("/nowhere/t", "a\0b"):
            self.assertIsInstance(load_trace(name), Failure)

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.binary(max_size=200), st.booleans())
    def test_any_bytes_are_a_trace_or_a_problem(
        self, data: bytes, with_fleet: bool
    ) -> None:
        self.assert_trace_or_problem(FLEET + b"\n" + data if with_fleet else data)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.sampled_from(EVENTS),
        st.integers(0, 60),
        st.integers(0, 8),
        st.binary(max_size=4),
    )
    def test_a_damaged_event_is_a_trace_or_a_problem(
        self, event: bytes, position: int, removed: int, inserted: bytes
    ) -> None:
        damaged = event[:position] + inserted + event[position + removed :]
        self.assert_trace_or_problem(FLEET + b"\n" + damaged)

    def assert_trace_or_problem(self, data: bytes) -> None:
        match parse_trace(data, "t"):
            case Success(trace):
                self.assertIsInstance(trace, Trace)
            case Failure(problem):
                self.assertLessEqual(problem.line, len(data.splitlines()))
                self.assertTrue(problem.format().startswith("t"))
