"""A complete fleet in one process, driven by the clock of the trio loop."""

from __future__ import annotations

import random
from datetime import timedelta
from functools import partial
from typing import Any

import msgspec
import trio
import yaml
from returns.result import Success

from rhubarbfield.clock import VirtualClock
from rhubarbfield.controller.daemon import Controller
from rhubarbfield.entry.daemon import Entry
from rhubarbfield.entry.options import make_routing_settings
from rhubarbfield.peering import Encoding, dial
from rhubarbfield.protocol.workers import BACKEND_SERVER_STREAM, WORKER_STREAM
from rhubarbfield.replay.events import TracedFleet
from rhubarbfield.replay.processes import Process
from rhubarbfield.routing import LiveSettings
from rhubarbfield.settings import Settings, parse_settings
from rhubarbfield.storage import LogStore, MemoryStore
from rhubarbfield.testing.announcer import Announcer
from rhubarbfield.testing.attempts import TaskBehaviour, make_seeded_task_model
from rhubarbfield.testing.fleet import FleetPlan, describe_fleet
from rhubarbfield.testing.memory_transport import MemoryTransport, SimulatedNetwork
from rhubarbfield.testing.observer import Observer
from rhubarbfield.testing.simulated_servers import SimulatedBackends, SimulatedServer
from rhubarbfield.testing.worker import StandInWorker, WorkerProfile
from rhubarbfield.types import (
    BackendServerId,
    FailureDomain,
    GroupId,
    Incarnation,
    RackName,
    ServiceName,
    WorkerId,
)
from rhubarbfield.workers import Resources, StartAttempt

SERVICE = ServiceName("board")
SLOTS_PER_SERVER = 4
CORES_PER_WORKER = 16.0
MEMORY_MB_PER_WORKER = 32_000
MAX_TASK_RUN_TIME = timedelta(seconds=40)
RANDOM_BITS = 64


class MemoryFleet:
    """Controllers, entries, workers and backend servers in one process.

    Parameters
    ----------
    traced
        Description of the fleet.
    nursery
        Nursery that runs all processes.

    Attributes
    ----------
    network
        The simulated network between all hosts.
    observer
        Record of the attempts that the workers ran, kept independently of the
        controllers.
    controllers, entries
        Running controllers and entries by instance.
    servers
        Backend servers by address.
    workers
        Running workers by name.
    announcers
        Announcement clients of the backend servers, by server.
    processes
        Running processes by name, such as ``controller a1``.
    hosts
        Network addresses by instance, worker, backend server or failure
        domain.
    """

    def __init__(self, traced: TracedFleet, nursery: trio.Nursery) -> None:
        self._traced = traced
        self._nursery = nursery
        self._rng = random.Random(traced.seed)
        self._clock = VirtualClock()
        self.network = SimulatedNetwork(self._make_rng("network"))
        self.observer = Observer()
        self.controllers: dict[str, Controller] = {}
        self.entries: dict[str, Entry] = {}
        self.servers: dict[str, SimulatedServer] = {}
        self.workers: dict[str, StandInWorker] = {}
        self._failing: set[str] = set()
        self.announcers: dict[str, Announcer] = {}
        self.processes: dict[str, Process] = {}
        self.hosts: dict[str, tuple[str, ...]] = {}
        self._stores: dict[tuple[str, GroupId], MemoryStore] = {}
        self._settings = self._make_settings()
        self._task_model = make_seeded_task_model(
            traced.seed, longest=MAX_TASK_RUN_TIME, failing=traced.failing
        )

    async def start(self) -> None:
        """Start all processes and backend servers."""
        for name in self._settings:
            await self.start_process(f"controller {name}")
        for name in self._settings:
            await self.start_process(f"entry {name}")
        for domain in self._traced.domains:
            for number in range(self._traced.workers_each):
                await self.start_process(f"worker w-{domain}-{number}")
            for number in range(self._traced.servers_each):
                await self._start_server(domain, f"s-{domain}-{number}")

    async def start_process(self, process: str) -> None:
        """Start a controller, an entry or a worker unless it is running."""
        kind, _, name = process.partition(" ")
        if process in self.processes:
            return
        started = Process(process)
        self.processes[process] = started
        run = {
            "controller": self._run_controller,
            "entry": self._run_entry,
            "worker": self._run_worker,
        }[kind]
        await self._nursery.start(started.run, partial(run, name))

    async def kill_process(self, process: str) -> None:
        """Kill a process without a shutdown, which ends its connections."""
        running = self.processes.pop(process, None)
        if running is None:
            return
        await running.kill()
        kind, _, name = process.partition(" ")
        if kind == "worker":
            self.network.disconnect_host(name)

    async def lose_disk(self, instance: str) -> None:
        """Kill a controller and delete its stored data."""
        await self.kill_process(f"controller {instance}")
        self._stores = {
            key: store for key, store in self._stores.items() if key[0] != instance
        }

    def set_failing(self, worker: str, fails: bool) -> None:
        """Set whether a worker fails every task that it starts."""
        if fails:
            self._failing.add(worker)
        else:
            self._failing.discard(worker)
        if worker in self.workers:
            self.workers[worker].workload.fails_everything = fails

    @property
    def has_active_faults(self) -> bool:
        """Whether a controller or an entry is down, or the network is faulty.

        The network is faulty while connections are cut or slow.
        """
        instances = sum(len(names) for names in self._traced.domains.values())
        running = len(self.controllers) + len(self.entries)
        return running < 2 * instances or self.network.is_disturbed

    def expand(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """Return the addresses of the named hosts and failure domains."""
        return tuple(host for name in names for host in self.hosts[name])

    def _make_rng(self, label: str) -> random.Random:
        return random.Random(f"{self._traced.seed}/{label}")

    def _make_settings(self) -> dict[str, Settings]:
        plan = FleetPlan(domains=self._traced.domains, diskless=self._traced.diskless)
        settings: dict[str, Settings] = {}
        for number, (name, described) in enumerate(describe_fleet(plan).items()):
            host = f"127.0.1.{number + 1}"
            self.hosts[name] = (host,)
            settings[name] = _read_settings(described, name)
        self._assign_hosts(settings)
        for domain, names in self._traced.domains.items():
            workers = [f"w-{domain}-{n}" for n in range(self._traced.workers_each)]
            servers = [f"s-{domain}-{n}" for n in range(self._traced.servers_each)]
            for name in (*workers, *servers):
                self.hosts[name] = (name,)
            hosts = tuple(host for name in names for host in self.hosts[name])
            self.hosts[domain] = (*hosts, *workers, *servers)
        return settings

    def _assign_hosts(self, settings: dict[str, Settings]) -> None:
        """Give each instance its own address, so that it can be cut off."""
        instances = tuple(
            one.model_copy(update={"host": self.hosts[one.name][0]})
            for one in next(iter(settings.values())).fleet.instances
        )
        for name, one in settings.items():
            fleet = one.fleet.model_copy(update={"instances": instances})
            host = self.hosts[name][0]
            addresses = one.addresses.model_copy(update={"host": host})
            settings[name] = one.model_copy(
                update={"fleet": fleet, "addresses": addresses}
            )

    def _open_store(self, instance: str, group: GroupId) -> LogStore:
        if instance in self._traced.diskless:
            return MemoryStore()
        return self._stores.setdefault((instance, group), MemoryStore())

    async def _run_controller(
        self, name: str, task_status: trio.TaskStatus[None]
    ) -> None:
        controller = Controller(
            self._settings[name],
            transport=MemoryTransport(self.network, self.hosts[name][0]),
            open_store=partial(self._open_store, name),
            clock=self._clock,
            rng=self._new_rng(),
        )
        self.controllers[name] = controller
        try:
            await controller.run(task_status=task_status)
        finally:
            del self.controllers[name]

    async def _run_entry(self, name: str, task_status: trio.TaskStatus[None]) -> None:
        settings = self._settings[name]
        host = self.hosts[name][0]
        entry = Entry(
            settings,
            transport=MemoryTransport(self.network, host),
            backend=SimulatedBackends(self.network, host, self.servers, self._clock),
            limits=LiveSettings(make_routing_settings(settings)),
            clock=self._clock,
            rng=self._new_rng(),
        )
        self.entries[name] = entry
        try:
            await entry.run(task_status=task_status)
        finally:
            del self.entries[name]

    async def _run_worker(self, name: str, task_status: trio.TaskStatus[None]) -> None:
        domain = name.split("-")[1]
        worker = StandInWorker(
            WorkerProfile(
                worker=WorkerId(name),
                rack=RackName(f"rack-{domain}"),
                domain=FailureDomain(domain),
                capacity=Resources(
                    cores=CORES_PER_WORKER, memory_mb=MEMORY_MB_PER_WORKER
                ),
            ),
            incarnation=Incarnation(f"{self._rng.getrandbits(RANDOM_BITS):x}"),
            connect=self._make_connect(name, WORKER_STREAM),
            addresses=self._list_addresses(domain, "workers_port"),
            clock=self._clock,
            rng=self._new_rng(),
            task_model=self._make_task_behaviour,
            observer=self.observer,
        )
        worker.workload.fails_everything = name in self._failing
        self.workers[name] = worker
        task_status.started()
        try:
            await worker.run()
        finally:
            worker.kill()
            del self.workers[name]

    def _make_task_behaviour(self, order: StartAttempt) -> TaskBehaviour:
        behaviour = self._task_model(order)
        factor = self._traced.size_factor
        return msgspec.structs.replace(
            behaviour,
            cores=behaviour.cores * factor,
            memory_mb=int(behaviour.memory_mb * factor),
        )

    async def _start_server(self, domain: str, name: str) -> None:
        server = SimulatedServer(
            BackendServerId(name),
            service=SERVICE,
            host=name,
            slots=SLOTS_PER_SERVER,
            nursery=self._nursery,
            rng=self._new_rng(),
            mean_run_time=timedelta(seconds=self._traced.mean_run_seconds),
        )
        self.servers[name] = server
        announcer = Announcer(
            server,
            connect=self._make_connect(name, BACKEND_SERVER_STREAM),
            addresses=self._list_addresses(domain, "announcements_port"),
            clock=self._clock,
            rng=self._new_rng(),
        )
        self.announcers[name] = announcer
        self._nursery.start_soon(announcer.run)

    def _make_connect(self, host: str, method: Any) -> Any:
        transport = MemoryTransport(self.network, host)
        return partial(dial, transport, method=method, encoding=Encoding.JSON)

    def _list_addresses(self, domain: str, port: str) -> list[str]:
        return [
            f"{self._settings[name].addresses.host}:"
            f"{getattr(self._settings[name].addresses, port)}"
            for name in self._traced.domains[domain]
        ]

    def _new_rng(self) -> random.Random:
        return random.Random(self._rng.getrandbits(RANDOM_BITS))


def _read_settings(described: dict[str, Any], name: str) -> Settings:
    parsed = parse_settings(yaml.safe_dump(described), name)
    assert isinstance(parsed, Success), parsed
    return parsed.unwrap()
