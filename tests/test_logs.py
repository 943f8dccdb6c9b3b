"""Tests of structured logs."""

from __future__ import annotations

import io
import json
import logging
import unittest
from datetime import timedelta

from rhubarbfield.logs import REDACTED, configure_logging, get_logger, log_event
from rhubarbfield.types import JobState, TaskId


class LogsTest(unittest.TestCase):
    def setUp(self) -> None:
        root = logging.getLogger()
        own = logging.getLogger("rhubarbfield")
        handlers, levels = list(root.handlers), (root.level, own.level)
        self.addCleanup(root.handlers.__setitem__, slice(None), handlers)
        self.addCleanup(root.setLevel, levels[0])
        self.addCleanup(own.setLevel, levels[1])
        self.stream = io.StringIO()
        configure_logging("info", self.stream)
        self.logger = get_logger("placement")

    def read_events(self) -> list[dict[str, object]]:
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    def test_an_event_is_one_line_with_its_ids(self) -> None:
        log_event(
            self.logger,
            logging.INFO,
            "task-started",
            task=TaskId("1-a/3"),
            epoch=4,
            lease=timedelta(seconds=1.5),
            state=JobState.RUNNING,
            text="two\nlines",
        )
        (event,) = self.read_events()
        self.assertRegex(str(event.pop("at")), r"^\d{4}-\d\d-\d\dT.*\+00:00$")
        expected = {
            "level": "info",
            "area": "placement",
            "event": "task-started",
            "task": "1-a/3",
            "epoch": 4,
            "lease": 1.5,
            "state": "running",
            "text": "two\nlines",
        }
        self.assertEqual(event, expected)

    def test_secrets_are_redacted(self) -> None:
        log_event(
            self.logger,
            logging.ERROR,
            "refused",
            Authorization="Bearer s3cret",
            secret="s3cret",
        )
        (event,) = self.read_events()
        self.assertEqual((event["Authorization"], event["secret"]), (REDACTED,) * 2)
        self.assertNotIn("s3cret", self.stream.getvalue())

    def test_reconfiguring_changes_the_level_without_duplicate_lines(self) -> None:
        log_event(self.logger, logging.DEBUG, "unseen")
        configure_logging("debug", self.stream)
        log_event(self.logger, logging.DEBUG, "seen")
        self.assertEqual([event["event"] for event in self.read_events()], ["seen"])

    def test_an_error_and_odd_values_stay_one_line(self) -> None:
        try:
            raise ValueError("odd\n\udce9")
        except ValueError as error:
            self.logger.error("failed", exc_info=error)
        log_event(self.logger, logging.INFO, "odd", value="\udce9" + "x" * 9000)
        failed, odd = self.read_events()
        self.assertIn("ValueError", str(failed["trace"]))
        self.assertLessEqual(len(str(odd["value"])), 2_000)

    def test_library_logs_are_json_too(self) -> None:
        logging.getLogger("hypercorn.error").warning("%s %d", "port", 7)
        (event,) = self.read_events()
        self.assertEqual(event["event"], "port 7")

    def test_ids_are_read_from_the_text_of_an_event(self) -> None:
        self.logger.info("job-delegated job=%s epoch=%d secret=%s", "1-a", 3, "s3cret")
        self.logger.info("store-failed group=%s", ValueError("full"))
        self.logger.info("")
        self.logger.info("settings-refused %s", "line 3: wrong")
        delegated, failed, _, refused = self.read_events()
        self.assertEqual(refused["event"], "settings-refused")
        self.assertEqual(refused["detail"], "line 3: wrong")
        self.assertEqual(delegated["event"], "job-delegated")
        self.assertEqual((delegated["job"], delegated["epoch"]), ("1-a", 3))
        self.assertEqual(delegated["secret"], REDACTED)
        self.assertEqual(failed["group"], "full")
