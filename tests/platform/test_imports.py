"""Tests of what a process of each program imports.

Hundreds of processes import the program at once, and again after each restart.
"""

from __future__ import annotations

import subprocess
import sys
import unittest

# Templates, a debugger, a console, and other HTTP stacks than h11.
UNUSED_LIBRARIES = {
    "quart",
    "flask",
    "jinja2",
    "werkzeug",
    "hypercorn",
    "wsproto",
    "httpx",
    "httpcore",
    "pydantic",
    "lark",
    "pdb",
    "code",
    "unittest",
}
# Parts that only controllers run.
CONTROLLER_PARTS = {
    "rhubarbfield.httpclient",
    "rhubarbfield.replication",
    "rhubarbfield.storage",
    "rhubarbfield.groups",
    "rhubarbfield.placement",
    "rhubarbfield.scheduling.state",
    "rhubarbfield.scheduling.leader",
}


def list_modules(module: str) -> set[str]:
    """Return the modules in a process that runs the command line and ``module``."""
    code = (
        f"import rhubarbfield.cli.program as p; p._register_subcommands(); "
        f"import {module}, sys; print(*sys.modules)"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return set(result.stdout.split())


class ImportsTest(unittest.TestCase):
    def test_an_entry_imports_only_what_it_runs(self) -> None:
        modules = list_modules("rhubarbfield.platform.entry")
        self.assertEqual(modules & (UNUSED_LIBRARIES | CONTROLLER_PARTS), set())

    def test_a_controller_imports_no_library_that_it_does_not_use(self) -> None:
        modules = list_modules("rhubarbfield.platform.controller")
        self.assertEqual(modules & UNUSED_LIBRARIES, set())


if __name__ == "__main__":
    unittest.main()
