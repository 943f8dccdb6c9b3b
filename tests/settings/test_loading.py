"""Tests of loading a settings file."""

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
    return 1 + next(index for index, line in enumerate(lines) if wanted in line)


class LoadSettingsTest(unittest.TestCase):
    def test_the_examples_are_valid(self) -> None:
        lending = load_settings(LENDING).unwrap()
        consortium = load_settings(CONSORTIUM).unwrap()
        self.assertEqual(lending.placement.profile, PlacementProfile.LENDING)
        self.assertEqual(consortium.placement.profile, PlacementProfile.CONSORTIUM)
        self.assertEqual(lending.timing.worker_lease, timedelta(seconds=10))
        self.assertEqual(lending.logging.level, LogLevel.INFO)

    def test_default_weights_depend_on_the_profile(self) -> None:
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

    def test_all_errors_are_reported_with_their_lines(self) -> None:
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

    def test_ambiguous_yaml_is_refused(self) -> None:
        level = "level: info"
        for change, wanted in (
            ("level: info\n  level: debug", "is already defined in line"),
            ("level: &x info", "anchors and aliases"),
            ("level: !!str info", "tags are not allowed"),
            (f"level: {'[' * 40}{']' * 40}", "levels of nesting"),
            ("level: [info", "not YAML"),
            ("? [a]\n  : info", "a key has to be a plain word"),
        ):
            errors = parse_settings(read_changed((level, change)), "x").failure()
            self.assertIn(wanted, errors.format())

    def test_texts_without_settings_are_refused(self) -> None:
        for text in ("", "~", "[]", "just words", "x" * 1_000_001, "\x00", "'"):
            self.assertIsInstance(parse_settings(text, "x"), Failure)

    def test_names_that_look_like_other_types_stay_strings(self) -> None:
        changes = (("coimbra", "on"), ("name: b1", "name: 007"), ("b1", "007"))
        settings = make_settings(*changes)
        self.assertEqual(settings.instance.failure_domain, "on")
        self.assertIsNotNone(settings.fleet.find_instance("007"))


class ConsistencyTest(unittest.TestCase):
    def assert_problem(self, old: str, new: str, path: str, allowed: str) -> None:
        problems = find_problems((old, new))
        self.assertIn(path, problems)
        self.assertIn(allowed, problems[path].allowed)

    def test_voters_are_an_odd_number_of_distinct_instances(self) -> None:
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

    def test_a_domain_has_a_voter_inside_and_all_in_its_region(self) -> None:
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

    def test_addresses_are_unique(self) -> None:
        path = "fleet.instances[1].operators_port"
        old = "workers_port: 7114, operators_port: 7115"
        new = "workers_port: 7114, operators_port: 7105"
        self.assert_problem(old, new, path, "a1 operators_port has this address")
        old = "callers_port: 7100"
        path = "addresses.announcements_port"
        self.assert_problem(old, "callers_port: 7101", path, "callers_port has this")

    def test_timeouts_fit_the_intervals_they_depend_on(self) -> None:
        old = "heartbeat_seconds: 0.5"
        path = "timing.leader_lease_seconds"
        self.assert_problem(
            old, "leader_lease_seconds: 1.5", path, "including clock drift"
        )
        new = "heartbeat_seconds: 2"
        path = "timing.backend_server_lease_seconds"
        self.assert_problem(old, new, path, "at least 2 heartbeats")
        path = "timing.readiness_off_seconds"
        new = "readiness_off_seconds: 90"
        self.assert_problem(old, new, path, "at most longest_stop_seconds")
