"""Tests of programs that are started without standard streams."""

from __future__ import annotations

import subprocess
import sys
import unittest

TIMEOUT_SECONDS = 30.0
RUN = 'exec "$@" <&- >&- 2>&-'


def run_without_streams(*arguments: str) -> int:
    """Run Python with its standard streams closed; return the exit code."""
    command = ["sh", "-c", RUN, "sh", sys.executable, *arguments]
    return subprocess.run(command, check=False, timeout=TIMEOUT_SECONDS).returncode


class StreamsTest(unittest.TestCase):
    def test_missing_streams_do_not_change_the_exit_code(self) -> None:
        program = ("-m", "rhubarbfield")
        self.assertEqual(run_without_streams(*program, "version"), 0)
        for name in ("job-entry", "job-controller", "entry", "controller"):
            code = run_without_streams(*program, name, "--settings", "/none")
            self.assertEqual(code, 2, name)

    def test_no_file_or_socket_takes_the_place_of_a_missing_stream(self) -> None:
        code = "import os, sys; sys.argv[1:] = ['version']; "
        code += "import rhubarbfield.__main__ as m\n"
        code += "try:\n m.main()\nfinally:\n os._exit(os.pipe()[0])"
        self.assertGreater(run_without_streams("-c", code), 2)


if __name__ == "__main__":
    unittest.main()
