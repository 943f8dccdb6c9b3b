"""The traces that are shipped come out as stated."""

from __future__ import annotations

import logging
import unittest
from io import StringIO
from pathlib import Path

from rhubarbfield.replay import replay_traces

TRACES = Path(__file__).resolve().parents[2] / "examples" / "traces"


class ShippedTracesTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_every_shipped_trace_comes_out_as_stated(self) -> None:
        files = sorted(TRACES.glob("*.jsonl"))
        self.assertGreaterEqual(len(files), 12)
        for file in files:
            with self.subTest(trace=file.name):
                output = StringIO()
                code = replay_traces([str(file)], output)
                self.assertEqual(code, 0, output.getvalue())
