"""First starts of a whole deployment as processes, with trouble in each of them.

``python -m tests.platform.starts --seeds 50`` starts that many deployments and prints
what went wrong. A seed decides what happens when; how far a process has got by then
depends on the machine.
"""

from __future__ import annotations

import logging
import random
import signal
import socket
import sys
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import trio
import trio.testing
from absl import app, flags

from tests.platform.programs import Deployment, pick_network

# Traffic starts 12 s after the machines do, and is served 12 s after a disturbance.
RECOVERY_SECONDS = 12.0
SIGNALS = (signal.SIGHUP, signal.SIGHUP, signal.SIGKILL, signal.SIGTERM)


class FirstStart:
    """One start of a deployment with empty disks.

    Parameters
    ----------
    deployment
        The deployment; nothing of it runs yet.
    rng
        Source of what happens when.
    """

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self.deployment = deployment
        self.random = rng
        self.network = deployment.network
        self.absent: set[str] = set()

    async def run(self, troubles: Sequence[str]) -> list[str]:
        """Start everything amid ``troubles``; return what went wrong."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.deployment.watch)
            async with trio.open_nursery() as disturbances:
                for name in troubles:
                    await disturbances.start(_run_trouble, TROUBLES[name], self)
                for host in self.random.sample(
                    hosts := self.network.list_hosts(), len(hosts)
                ):
                    if host not in self.absent:
                        self.deployment.start(host, may_form_group=True)
            with trio.move_on_after(RECOVERY_SECONDS) as scope:
                await self.deployment.wait_ready()
            nursery.cancel_scope.cancel()
        faults = [
            f"{end.host} ended with {end.code}: {end.error}"
            for end in self.deployment.ends
        ]
        if scope.cancelled_caught:
            faults.append(f"not ready {RECOVERY_SECONDS} s after the last disturbance")
        return faults

    async def pause(self, most: float) -> None:
        """Sleep up to ``most`` seconds."""
        await trio.sleep(self.random.uniform(0, most))


Trouble = Callable[[FirstStart], Awaitable[None]]
TROUBLES: dict[str, Trouble] = {}


def trouble(name: str) -> Callable[[Trouble], Trouble]:
    """Register the decorated function as something that happens during a start.

    It prepares what has to be there before the first process, up to its first wait.
    """

    def register(run: Trouble) -> Trouble:
        TROUBLES[name] = run
        return run

    return register


async def _run_trouble(
    run: Trouble, start: FirstStart, task_status: trio.TaskStatus[None]
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run, start)
        await trio.testing.wait_all_tasks_blocked()
        task_status.started()


@trouble("signals")
async def send_signals(start: FirstStart) -> None:
    """Send signals to processes, one after another."""
    for _ in range(start.random.randint(1, 6)):
        await start.pause(0.6)
        host = start.random.choice(start.network.list_hosts())
        start.deployment.signal(host, start.random.choice(SIGNALS))


@trouble("hangups")
async def send_hangups(start: FirstStart) -> None:
    """Tell each process that its settings have changed, at any moment of its start."""
    for host in start.random.sample(hosts := start.network.list_hosts(), len(hosts)):
        await start.pause(0.25)
        start.deployment.signal(host, signal.SIGHUP)


@trouble("kills")
async def kill_controllers(start: FirstStart) -> None:
    """Kill controllers, one of them twice."""
    controllers = start.network.list_controllers()
    for host in start.random.choices(controllers, k=3):
        await start.pause(1.0)
        start.deployment.signal(host, signal.SIGKILL)


@trouble("ports")
async def occupy_ports(start: FirstStart) -> None:
    """Listen at ports of the deployment before its processes do, for some seconds."""
    network = start.network
    ports = (network.peer_port, network.metrics_port)
    controller_ports = (*ports, network.control_port)
    entry_ports = (*ports, network.callers_port, network.ready_port)
    addresses = [(h, p) for h in network.list_controllers() for p in controller_ports]
    addresses += [(h, p) for h in network.list_entries() for p in entry_ports]
    occupied = [
        socket.create_server(address)
        for address in start.random.sample(addresses, start.random.randint(1, 4))
    ]
    try:
        await trio.sleep(start.random.uniform(0.5, 4))
    finally:
        for each in occupied:
            each.close()


@trouble("late")
async def start_controller_late(start: FirstStart) -> None:
    """Start a controller some seconds after the others."""
    host = start.random.choice(start.network.list_controllers())
    start.absent.add(host)
    await trio.sleep(start.random.uniform(1, 6))
    start.deployment.start(host, may_form_group=True)


@trouble("lost")
async def lose_controller(start: FirstStart) -> None:
    """Never start one controller; one of three may be lost."""
    start.absent.add(start.random.choice(start.network.list_controllers()))


@trouble("freezes")
async def freeze_processes(start: FirstStart) -> None:
    """Stop processes for a while and let them go on, one after another."""
    for host in start.random.sample(start.network.list_hosts(), 2):
        await start.pause(1.0)
        start.deployment.signal(host, signal.SIGSTOP)
        await start.pause(3.0)
        start.deployment.signal(host, signal.SIGCONT)


@trouble("settings")
async def cut_settings(start: FirstStart) -> None:
    """Write a settings file only in part at first, and whole within a second."""
    for host in start.random.sample(start.network.list_hosts(), 2):
        await start.pause(0.5)
        await start.deployment.rewrite_settings_slowly(host, start.random)


def pick_troubles(rng: random.Random) -> list[str]:
    """Return the troubles of one start; no more is lost than may be lost at once."""
    troubles = rng.sample(sorted(TROUBLES), rng.choice((1, 1, 2, 3)))
    if "lost" in troubles:
        troubles = [name for name in troubles if name in ("lost", "hangups")]
    return troubles


async def run_start(seed: int, troubles: Sequence[str]) -> list[str]:
    """Start a deployment amid troubles; return what went wrong."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), pick_network(seed))
        try:
            return await FirstStart(deployment, random.Random(seed)).run(troubles)
        finally:
            deployment.stop()


def main(_: list[str]) -> None:
    """Run the starts of the seeds that the flags name."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    first, count = flags.FLAGS.first, flags.FLAGS.seeds
    failed = 0
    for seed in range(first, first + count):
        troubles = pick_troubles(random.Random(seed))
        faults = trio.run(run_start, seed, troubles)
        failed += bool(faults)
        print(
            f"seed {seed} ({', '.join(troubles)}): {'; '.join(faults) or 'up'}",
            flush=True,
        )
    print(f"{count - failed} of {count} starts went well")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 50, "Number of starts.")
    flags.DEFINE_integer("first", 1, "First seed.")
    app.run(main)
