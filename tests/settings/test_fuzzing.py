"""Fuzzing: any text gives settings or typed errors, never an exception."""

from __future__ import annotations

import unittest

import yaml
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result

from rhubarbfield.settings import Settings, SettingsErrors, parse_settings
from tests.settings.samples import LENDING

FUZZING = settings(derandomize=True, database=None, deadline=None, max_examples=100)
EXAMPLE = LENDING.read_text(encoding="utf-8")

scalars = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.dates()
    | st.text(max_size=12)
)
documents = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["fleet", "timing", "instances", "voters"]) | scalars,
            inner,
            max_size=4,
        )
    ),
    max_leaves=20,
)


class FuzzingTest(unittest.TestCase):
    def check(self, text: str) -> None:
        outcome: Result[Settings, SettingsErrors] = parse_settings(text, "fuzz")
        if isinstance(outcome, Failure):
            errors = outcome.failure()
            self.assertTrue(errors.problems)
            self.assertNotIn("Traceback", errors.format())

    @FUZZING
    @given(st.text(max_size=200))
    def test_any_text(self, text: str) -> None:
        self.check(text)

    @FUZZING
    @given(documents)
    def test_any_document(self, document: object) -> None:
        self.check(yaml.dump(document))

    @FUZZING
    @given(
        st.integers(0, len(EXAMPLE) - 1),
        st.integers(0, 30),
        st.text(max_size=10) | st.sampled_from(["\t", "- ", ": ", "{", "&a ", "\n"]),
    )
    def test_any_edit_of_the_example(self, start: int, size: int, new: str) -> None:
        self.check(EXAMPLE[:start] + new + EXAMPLE[start + size :])

    @FUZZING
    @given(st.sampled_from(list(yaml.safe_load(EXAMPLE)["timing"].keys())), scalars)
    def test_any_value_of_a_known_key(self, key: str, value: object) -> None:
        document = yaml.safe_load(EXAMPLE)
        document["timing"][key] = value
        document["fleet"]["fleet_voters"] = [value]
        document["fleet"]["domains"] = {str(value): {"voters": [value]}}
        self.check(yaml.dump(document))
