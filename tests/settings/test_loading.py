"""Tests of reading a file of settings."""

from __future__ import annotations

import tempfile
import unittest
from datetime import timedelta
from pathlib import Path

from returns.result import Failure

from rhubarbfield.settings import (
    LogLevel,
    PlacementProfile,
    load_settings,
    parse_settings,
)
from tests.settings.samples import (
    CONSORTIUM,
    LENDING,
    find_problems,
    make_settings,
    read_changed,
)


def find_line(text: str, wanted: str) -> int:
    lines = text.splitlines()
    return 1 + next(place for place, line in enumerate(lines) if wanted in line)


class LoadSettingsTest(unittest.TestCase):
    def test_the_examples_are_good(self) -> None:
        lending = load_settings(LENDING).unwrap()
        consortium = load_settings(CONSORTIUM).unwrap()
        self.assertEqual(lending.placement.profile, PlacementProfile.LENDING)
        self.assertEqual(consortium.placement.profile, PlacementProfile.CONSORTIUM)
        self.assertEqual(lending.timing.worker_lease, timedelta(seconds=10))
        self.assertEqual(lending.logging.level, LogLevel.INFO)

    def test_the_weights_favour_what_each_deployment_weighs_most(self) -> None:
        lending = load_settings(LENDING).unwrap().placement.effective_weights
        consortium = load_settings(CONSORTIUM).unwrap().placement.effective_weights
        self.assertGreater(lending.tail_latency, lending.throughput)
        self.assertGreater(consortium.evictions, consortium.tail_latency)

    def test_a_missing_or_binary_file_is_a_typed_error(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            binary = Path(folder) / "binary.yaml"
            binary.write_bytes(b"\xff\xfe\x00")
            for path in (Path(folder) / "none.yaml", Path(folder), binary):
                errors = load_settings(path).failure()
                self.assertIn("cannot be read", errors.format())

    def test_all_errors_come_at_once_each_with_its_line(self) -> None:
        changes = (
            ("callers_port", "caller_port"),
            ("heartbeat_seconds: 0.5", "heartbeat_seconds: 9999"),
            ("name: a2", "name: A_2"),
            ("profile: lending", "profile: fast"),
            ("level: info", "level:"),
            ("longest_queue_requests: 128", "longest_queue_requests: 1.5"),
        )
        text = read_changed(*changes)
        problems = find_problems(*changes)
        expected = {
            "addresses.callers_port": "is required",
            "addresses.caller_port": "did you mean callers_port?",
            "timing.heartbeat_seconds": "at most 30 seconds",
            "fleet.instances[1].name": "has to match",
            "placement.profile": "'lending' or 'consortium'",
            "logging.level": "has to be one of",
            "routing.longest_queue_requests": "whole number",
        }
        self.assertEqual(set(problems), set(expected))
        for path, allowed in expected.items():
            self.assertIn(allowed, problems[path].allowed)
        heartbeat = problems["timing.heartbeat_seconds"]
        self.assertEqual(heartbeat.seen, "9999")
        self.assertEqual(heartbeat.line, find_line(text, "heartbeat_seconds"))
        self.assertEqual(problems["placement.profile"].seen, "fast")

    def test_what_hides_what_is_in_force_is_refused(self) -> None:
        level = "level: info"
        for change, wanted in (
            ("level: info\n  level: debug", "stands already in line"),
            ("level: &x info", "anchors and aliases"),
            ("level: !!str info", "tags are not allowed"),
            (f"level: {'[' * 40}{']' * 40}", "levels of nesting"),
            ("level: [info", "not YAML"),
            ("? [a]\n  : info", "a key has to be a plain word"),
        ):
            errors = parse_settings(read_changed((level, change)), "x").failure()
            self.assertIn(wanted, errors.format())

    def test_no_text_is_no_settings(self) -> None:
        for text in ("", "~", "[]", "just words", "x" * 1_000_001, "\x00", "'"):
            self.assertIsInstance(parse_settings(text, "x"), Failure)

    def test_names_that_look_like_other_types_stay_names(self) -> None:
        changes = (("coimbra", "on"), ("name: b1", "name: 007"), ("b1", "007"))
        settings = make_settings(*changes)
        self.assertEqual(settings.instance.failure_domain, "on")
        self.assertIsNotNone(settings.fleet.find_instance("007"))


class ConsistencyTest(unittest.TestCase):
    def assert_problem(self, old: str, new: str, path: str, allowed: str) -> None:
        problems = find_problems((old, new))
        self.assertIn(path, problems)
        self.assertIn(allowed, problems[path].allowed)

    def test_voters_are_odd_known_and_named_once(self) -> None:
        voters = "fleet_voters: [a1, b1, c1]"
        path = "fleet.fleet_voters"
        self.assert_problem(voters, "fleet_voters: [a1, b1]", path, "an odd number")
        self.assert_problem(voters, "fleet_voters: []", path, "an odd number")
        self.assert_problem(
            voters, "fleet_voters: [a1, b1, b1]", f"{path}[2]", "named twice"
        )
        self.assert_problem(
            voters, "fleet_voters: [a1, b1, x9]", f"{path}[2]", "fleet.instances"
        )

    def test_voters_of_a_domain_stand_in_it_and_in_its_region(self) -> None:
        path = "fleet.domains.tomar.voters"
        new = "tomar: {voters: [a1, a2, b1]}"
        self.assert_problem(
            "tomar: {voters: [c1, c2, a2]}", new, path, "in tomar itself"
        )
        problems = find_problems(
            (
                "failure_domain: coimbra, region: portugal",
                "failure_domain: coimbra, region: spain",
            ),
            ("  region: portugal\n", "  region: spain\n"),
        )
        self.assertIn("region portugal", problems[f"{path}[2]"].allowed)

    def test_domains_and_instances_agree(self) -> None:
        path = "fleet.domains.lisbon"
        self.assert_problem("tomar: {voters", "lisbon: {voters", path, "no instance")
        self.assert_problem(
            "tomar: {voters", "lisbon: {voters", "fleet.domains", "tomar is missing"
        )
        self.assert_problem(
            "name: a1, failure_domain: coimbra",
            "name: a1, failure_domain: tomar",
            "instance.failure_domain",
            "fleet.instances says tomar",
        )
        self.assert_problem(
            "{name: a2, failure_domain: coimbra, region: portugal",
            "{name: a2, failure_domain: coimbra, region: spain",
            "fleet.instances[1].region",
            "is in region portugal",
        )

    def test_addresses_are_taken_once(self) -> None:
        path = "fleet.instances[1].operators_port"
        old = "workers_port: 7114, operators_port: 7115"
        new = "workers_port: 7114, operators_port: 7105"
        self.assert_problem(old, new, path, "a1 operators_port has this address")
        old = "callers_port: 7100"
        path = "addresses.announcements_port"
        self.assert_problem(old, "callers_port: 7101", path, "callers_port has this")

    def test_leases_outlast_what_renews_them(self) -> None:
        old = "heartbeat_seconds: 0.5"
        path = "timing.leader_lease_seconds"
        self.assert_problem(old, "leader_lease_seconds: 1.5", path, "drift included")
        new = "heartbeat_seconds: 2"
        path = "timing.backend_server_lease_seconds"
        self.assert_problem(old, new, path, "2 heartbeats at least")
        path = "timing.readiness_off_seconds"
        new = "readiness_off_seconds: 90"
        self.assert_problem(old, new, path, "at most longest_stop_seconds")
