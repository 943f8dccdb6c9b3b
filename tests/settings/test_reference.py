"""Tests of the settings reference."""

from __future__ import annotations

import re
import unittest

from rhubarbfield.settings import Settings
from rhubarbfield.settings.reference import format_reference
from tests.settings.samples import EXAMPLES

PAGE = EXAMPLES.parent / "docs" / "settings.md"


class FormatReferenceTest(unittest.TestCase):
    def test_the_page_matches_the_reference_table(self) -> None:
        text = PAGE.read_text(encoding="utf-8")
        found = re.search(r"<!-- keys -->\n(.*)<!-- end of keys -->", text, re.DOTALL)
        self.assertIsNotNone(found)
        assert found is not None
        self.assertEqual(found.group(1), format_reference(Settings))
