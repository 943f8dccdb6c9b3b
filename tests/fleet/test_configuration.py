"""Tests that configuration is checked and never reverts to an older version."""

from __future__ import annotations

import random
import unittest
from datetime import timedelta

from rhubarbfield.exceptions import BrokenInvariantError
from rhubarbfield.fleet import (
    Configuration,
    ConfigurationInForce,
    check_configuration,
    list_configurable_keys,
    overlay_configuration,
)
from rhubarbfield.language import Configure, Value, parse
from rhubarbfield.settings import LogLevel
from rhubarbfield.types import ConfigurationVersion
from tests.fleet.fleets import FleetLog
from tests.settings.samples import make_settings


def configure(version: int, **values: Value) -> Configuration:
    named = {f"routing.{name}": value for name, value in values.items()}
    return Configuration(version=ConfigurationVersion(version), values=named)


class CheckConfigurationTest(unittest.TestCase):
    def check(self, text: str) -> list[str]:
        statement = parse(f"configure {text}").unwrap()
        assert isinstance(statement, Configure)
        outcome = check_configuration(statement)
        problems = outcome.swap().value_or(())
        return [problem.format() for problem in problems]

    def test_good_values(self) -> None:
        good = (
            "routing.retry_budget_fraction = 0.2, placement.weights.evictions = 4,"
            " logging.level = debug, routing.slow_start_seconds = 2.5"
        )
        self.assertEqual(self.check(good), [])

    def test_every_wrong_value_is_named_with_what_is_allowed(self) -> None:
        problems = self.check(
            "routing.retry_budget_fracton = 0.2, routing.slow_start_seconds = 700,"
            " logging.level = loud, timing.worker_lease_seconds = 3"
        )
        wanted = ("did you mean routing.retry", "at most 10 min", "'debug'", "can't be")
        for problem, part in zip(problems, wanted, strict=True):
            self.assertIn(part, problem)

    def test_every_listed_key_can_be_read_back(self) -> None:
        self.assertIn("placement.weights.tail_latency", list_configurable_keys())
        self.assertIn("routing.slow_start_seconds", list_configurable_keys())


class OverlayTest(unittest.TestCase):
    def test_configured_values_override_the_file(self) -> None:
        values: dict[str, Value] = {
            "routing.slow_start_seconds": 3,
            "placement.weights.throughput": 5,
            "logging.level": "error",
        }
        settings = overlay_configuration(
            make_settings(),
            Configuration(version=ConfigurationVersion(1), values=values),
        )
        self.assertEqual(settings.routing.slow_start, timedelta(seconds=3))
        self.assertEqual(settings.routing.default_request, timedelta(seconds=2))
        self.assertEqual(settings.placement.effective_weights.throughput, 5)
        self.assertEqual(settings.placement.effective_weights.tail_latency, 6)
        self.assertEqual(settings.logging.level, LogLevel.ERROR)

    def test_the_default_deadline_is_clamped_to_the_longest(self) -> None:
        configuration = configure(1, longest_request_seconds=1)
        routing = overlay_configuration(make_settings(), configuration).routing
        self.assertEqual(routing.default_request, timedelta(seconds=1))


class InForceTest(unittest.TestCase):
    def test_an_older_version_is_never_put_in_force(self) -> None:
        versions = [configure(number) for number in range(1, 9)] * 3
        random.Random(4).shuffle(versions)
        in_force = ConfigurationInForce(make_settings())
        highest = 0
        for one in versions:
            changed = in_force.offer(one)
            self.assertEqual(changed, one.version > highest)
            highest = max(highest, one.version)
            self.assertEqual(in_force.configuration.version, highest)

    def test_two_configurations_under_one_version_stop_the_process(self) -> None:
        in_force = ConfigurationInForce(make_settings())
        in_force.offer(configure(1, slow_start_seconds=1))
        with self.assertRaises(BrokenInvariantError):
            in_force.offer(configure(1, slow_start_seconds=2))

    def test_a_reload_of_the_file_keeps_what_is_configured(self) -> None:
        in_force = ConfigurationInForce(make_settings())
        in_force.offer(configure(1, slow_start_seconds=1))
        in_force.reload(make_settings(("level: info", "level: debug")))
        self.assertEqual(in_force.settings.routing.slow_start, timedelta(seconds=1))
        self.assertEqual(in_force.settings.logging.level, LogLevel.DEBUG)

    def test_versions_grow_by_one_and_survive_a_snapshot(self) -> None:
        log = FleetLog()
        for number in range(1, 5):
            text = f"configure routing.slow_start_seconds = {number}"
            self.assertIn(f"configuration {number}", log.decide(number, text).answer)
            log.decide(number, text)
            log = log.restart()
        self.assertEqual(log.state.configuration.version, 4)
        values = log.state.configuration.values
        self.assertEqual(values, {"routing.slow_start_seconds": 4})
        log.decide(9, "configure routing.slow_start_seconds = default")
        self.assertEqual(log.state.configuration.values, {})
        self.assertEqual(log.state.configuration.version, 5)
