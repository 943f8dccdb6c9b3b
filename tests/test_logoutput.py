"""Tests of the rate-limited log output."""

from __future__ import annotations

import json
import logging
import math
import os
import threading
import time
import unittest
from collections import Counter

from rhubarbfield.logoutput import BURST_SECONDS, BoundedLogHandler, LogBudget
from rhubarbfield.logs import get_logger, log_event

LINES = 20_000  # far more than a pipe buffers
USUAL_LINES_PER_SECOND = 50
FULL_PIPE_SECONDS = 0.3  # the thread has filled the pipe by then
READ_BYTES = 1 << 16
MAX_SECONDS_PER_LINE = 0.001  # writing a line takes a twentieth of this


class LogOutputTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.open_ends = {self.reader, self.writer}
        self.addCleanup(lambda: [os.close(each) for each in self.open_ends])
        self.received = bytearray()
        self.now = 100.0
        self.logger = get_logger("logoutput-test")
        self.logger.propagate = False
        self.logger.setLevel(logging.INFO)

    def close_end(self, end: int) -> None:
        self.open_ends.remove(end)
        os.close(end)

    def read_all(self) -> None:
        while part := os.read(self.reader, READ_BYTES):
            self.received += part

    def start_reading(self) -> threading.Thread:
        thread = threading.Thread(target=self.read_all)
        thread.start()
        return thread

    def open(self, **budget: float) -> BoundedLogHandler:
        output = BoundedLogHandler(
            self.writer,
            LogBudget(**budget),  # type: ignore[arg-type]
            lambda: self.now,
        )
        self.logger.handlers[:] = [output]
        return output

    def finish(
        self, output: BoundedLogHandler, reading: threading.Thread
    ) -> list[dict[str, object]]:
        output.close()
        self.close_end(self.writer)
        reading.join()
        return [json.loads(line) for line in self.received.splitlines()]

    def test_lines_come_in_order(self) -> None:
        output, reading = self.open(), self.start_reading()
        for number in range(100):
            log_event(self.logger, logging.INFO, "run-placed", number=number)
        events = self.finish(output, reading)
        self.assertEqual([event["number"] for event in events], list(range(100)))

    def test_an_unread_pipe_drops_lines_without_blocking(self) -> None:
        output = self.open(lines_per_second=1e9, queued_lines=1000)
        started_at = time.monotonic()
        for _ in range(LINES):
            log_event(self.logger, logging.INFO, "run-placed", task="t" * 50)
        self.assertLess((time.monotonic() - started_at) / LINES, MAX_SECONDS_PER_LINE)
        events = self.finish(output, self.start_reading())
        names = Counter(str(event["event"]) for event in events)
        reports = [event for event in events if event["event"] == "lines-left-out"]
        self.assertGreater(len(reports), 0)
        dropped = sum(int(str(each["total"])) for each in reports)
        self.assertEqual(dropped + names["run-placed"], LINES)

    def test_a_burst_of_twenty_times_the_usual_load_is_limited(self) -> None:
        output = self.open(lines_per_second=2 * USUAL_LINES_PER_SECOND)
        reading = self.start_reading()
        seconds = 10
        for _ in range(seconds * 20 * USUAL_LINES_PER_SECOND):
            self.now += 1 / (20 * USUAL_LINES_PER_SECOND)
            log_event(self.logger, logging.INFO, "run-placed")
        events = self.finish(output, reading)
        written = sum(event["event"] == "run-placed" for event in events)
        limit = (seconds + BURST_SECONDS) * 2 * USUAL_LINES_PER_SECOND
        self.assertLessEqual(written, limit)
        self.assertGreater(written, limit * 0.9)

    def test_warnings_are_kept_when_other_lines_are_dropped(self) -> None:
        output, reading = self.open(lines_per_second=10), self.start_reading()
        for number in range(1000):
            log_event(self.logger, logging.INFO, "request-answered", number=number)
        for number in range(5):
            log_event(self.logger, logging.WARNING, "request-answered", number=number)
        events = self.finish(output, reading)
        kept = [e for e in events if e["level"] == "warning" and "number" in e]
        self.assertEqual([event["number"] for event in kept], [0, 1, 2, 3, 4])
        dropped = [event for event in events if event["event"] == "lines-left-out"]
        total = sum(int(str(each["request-answered"])) for each in dropped)
        self.assertEqual(total, 1000 - 10 * BURST_SECONDS)

    def test_a_full_pipe_that_does_not_block_loses_no_later_lines(self) -> None:
        os.set_blocking(self.writer, False)
        output = self.open(lines_per_second=math.inf, queued_lines=LINES)
        for number in range(LINES // 4):
            log_event(self.logger, logging.INFO, "line", number=number)
        time.sleep(FULL_PIPE_SECONDS)
        reading = self.start_reading()
        log_event(self.logger, logging.INFO, "last")
        lines = self.finish(output, reading)
        self.assertEqual(lines[-1]["event"], "last")

    def test_a_closed_reader_does_not_stop_the_program(self) -> None:
        output = self.open()
        self.close_end(self.reader)
        for _ in range(LINES):
            log_event(self.logger, logging.INFO, "run-placed")
        output.close()


if __name__ == "__main__":
    unittest.main()
