"""Tests of merging the log lines of several processes."""

from __future__ import annotations

import io
import json
import tempfile
import unittest
from datetime import UTC, datetime, timedelta
from pathlib import Path

from rhubarbfield.cli import run
from rhubarbfield.logtimeline import format_timeline, read_lines

START = datetime(2026, 12, 4, tzinfo=UTC)
JOB = "00000000000000a1"


def make_line(seconds: float, event: str, **ids: object) -> str:
    at = (START + timedelta(seconds=seconds)).isoformat(timespec="milliseconds")
    return json.dumps({"at": at, "level": "info", "area": "a", "event": event, **ids})


CONTROLLER = [
    make_line(0.1, "leading-started", term=3),
    make_line(10.0, "job-accepted", job=JOB, queue="q"),
    make_line(10.0, "job-accepted", job="other", queue="q"),
    make_line(10.1, "run-placed", task=f"{JOB}.0.0.0", run=1, worker="w1"),
    make_line(11.0, "worker-silent", worker="w1"),
    make_line(11.0, "worker-silent", worker="w2"),
    "not json at all {",
    make_line(19.0, "lease-lapsed", worker="w1"),
    make_line(19.1, "run-ended", task=f"{JOB}.0.0.0", run=1, worker="w1", end="lost"),
]
# The entry's clock is 4 s behind.
ENTRY = [make_line(6.02, "request-answered", path=f"/p/{JOB}", outcome="accepted")]


class LogTimelineTest(unittest.TestCase):
    def list_events(self, wanted: str) -> list[str]:
        lines = [*read_lines("entry", ENTRY), *read_lines("controller", CONTROLLER)]
        return [line.split()[3] for line in format_timeline(wanted, lines)]

    def test_lines_of_a_job_and_of_its_workers_are_ordered(self) -> None:
        self.assertEqual(
            self.list_events(JOB),
            [
                "job-accepted",
                "request-answered",
                "run-placed",
                "worker-silent",
                "lease-lapsed",
                "run-ended",
            ],
        )

    def test_a_prefix_of_an_id_does_not_match(self) -> None:
        self.assertEqual(self.list_events(JOB[:-1]), [])

    def test_prefix_of_a_collector_names_the_process(self) -> None:
        lines = [f"  1.5000 core-1 {CONTROLLER[1]}", CONTROLLER[2]]
        processes = [line.process for line in read_lines("all.log", lines)]
        self.assertEqual(processes, ["core-1", "all.log"])

    def test_command_prints_the_timeline(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for name, lines in (("entry", ENTRY), ("controller", CONTROLLER)):
                path = Path(folder) / f"{name}.log"
                path.write_text("\n".join(lines), encoding="utf-8")
                paths.append(str(path))
            output, errors = io.StringIO(), io.StringIO()
            code = run(["explain-log", JOB, *paths], output, errors)
            self.assertEqual((code, errors.getvalue()), (0, ""))
            self.assertEqual(len(output.getvalue().splitlines()), 6)
            code = run(["explain-log", "nobody", *paths], output, errors)
            self.assertEqual(code, 1)
            self.assertIn("no line in 2 files mentions 'nobody'", errors.getvalue())


if __name__ == "__main__":
    unittest.main()
