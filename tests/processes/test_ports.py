"""Tests of the ports that fleets of processes take."""

from __future__ import annotations

import socket
import subprocess
import sys
import unittest

from tests.processes.fleet import FIRST_PORT, LAST_PORT, PORT_BLOCK_SIZE, PortBlock

# Takes blocks as a process with the given id, until its input ends.
HOLDER = """
import os, sys
from tests.processes.fleet import PortBlock

pid = int(sys.argv[1])
os.getpid = lambda: pid
with PortBlock() as first_port:
    print(first_port, flush=True)
    sys.stdin.read()
"""


class PortBlockTest(unittest.TestCase):
    def start_holder(self, pid: int) -> subprocess.Popen[str]:
        holder = subprocess.Popen(
            [sys.executable, "-c", HOLDER, str(pid)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(holder.communicate)
        return holder

    def read_port(self, holder: subprocess.Popen[str]) -> int:
        assert holder.stdout is not None
        return int(holder.stdout.readline())

    def test_runs_at_once_do_not_share_ports(self) -> None:
        for pid in (7, 119):  # the last block is followed by the first
            with self.subTest(pid=pid):
                holders = [self.start_holder(pid) for _ in range(3)]
                ports = sorted(map(self.read_port, holders))
                self.assertEqual(len(set(ports)), 3)
                for first in ports:
                    self.assertLessEqual(first + PORT_BLOCK_SIZE, LAST_PORT)

    def test_a_block_is_free_again_once_its_run_was_killed(self) -> None:
        holder = self.start_holder(50)
        first = self.read_port(holder)
        holder.kill()
        holder.wait()
        pid = (first - FIRST_PORT) // PORT_BLOCK_SIZE
        self.assertEqual(self.read_port(self.start_holder(pid)), first)

    def test_a_block_with_a_port_in_use_is_left_out(self) -> None:
        with PortBlock() as first:
            pass
        with socket.socket() as server:
            server.bind(("127.0.0.1", first + PORT_BLOCK_SIZE - 1))
            server.listen()
            with PortBlock() as another:
                self.assertNotEqual(another, first)


if __name__ == "__main__":
    unittest.main()
