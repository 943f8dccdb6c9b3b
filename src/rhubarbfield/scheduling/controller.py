"""A controller of a deployment whose workers are called."""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from pathlib import Path

import trio
from prometheus_client import Gauge
from returns.result import Failure

from rhubarbfield.clock import Clock
from rhubarbfield.groups import (
    REPLICATION_LINK,
    Packet,
    PacketSender,
    ReplicatedLog,
    StoreLostError,
    run_while_leading,
)
from rhubarbfield.peering import (
    MessageStream,
    PeerLinks,
    Transport,
    serve_calls,
    serve_link,
)
from rhubarbfield.replication import (
    GroupSettings,
    Leadership,
    Replica,
    RunBlocking,
)
from rhubarbfield.scheduling.appliers import make_scheduling_machine
from rhubarbfield.scheduling.deployment import SCHEDULING_GROUP, DeploymentSettings
from rhubarbfield.scheduling.former_queues import MAX_PENDING_BYTES
from rhubarbfield.scheduling.heartbeats import HEARTBEAT_CALL, HEARTBEAT_STREAM
from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.measuring import MeasuredCalls
from rhubarbfield.scheduling.metrics import (
    CONFIGURATION_VERSION,
    LEADING,
    OPEN_JOBS,
    WAITING_JOBS,
    WORKERS,
)
from rhubarbfield.scheduling.ports import WorkerCalls
from rhubarbfield.scheduling.reception import Reception
from rhubarbfield.scheduling.relay import WorkerRelay
from rhubarbfield.scheduling.relay_messages import RELAY_STREAM
from rhubarbfield.scheduling.relayed_calls import RelayedCalls
from rhubarbfield.scheduling.requests import JOB_CALL, JOB_STREAM
from rhubarbfield.scheduling.service import SchedulingService
from rhubarbfield.scheduling.silence_marks import MarkTimes
from rhubarbfield.scheduling.state import Job, SchedulingState
from rhubarbfield.storage import (
    MAX_COMMAND_BYTES,
    FileStore,
    LogStore,
    MemoryStore,
)
from rhubarbfield.types import InstanceName

MIB = 1024 * 1024
# The log may hold 2.5 times its bytes between two snapshots; a disk holds it two or
# three times while a file is replaced, beside two snapshots and a damaged store.
LOG_SHARE_OF_MEMORY = 1 / 32
LOG_SHARE_OF_DISK = 1 / 16
MIN_LOG_BYTES = 1 * MIB
MAX_LOG_BYTES = 8 * MIB


class SchedulingController:
    """A replica of the log, and the scheduling leader while the replica leads.

    Parameters
    ----------
    settings
        Settings of the instance.
    transport
        Transport to other instances.
    store
        Store of the log.
    calls
        Client for calls to workers.
    clock, rng
        Sources of time and randomness.
    run_blocking
        Runs blocking disk operations; by default they block the event loop.
    """

    def __init__(
        self,
        settings: DeploymentSettings,
        *,
        transport: Transport,
        store: LogStore,
        calls: WorkerCalls,
        clock: Clock,
        rng: random.Random,
        run_blocking: RunBlocking | None = None,
    ) -> None:
        self._settings = settings
        self._transport = transport
        self._calls = calls
        self._clock = clock
        self._links = PeerLinks(
            settings.name, {}, REPLICATION_LINK, transport, settings.locate
        )
        machine = make_scheduling_machine()
        self._replica = Replica(
            group=SCHEDULING_GROUP,
            name=settings.name,
            bootstrap=settings.seed_names,
            machine=machine,
            store=store,
            sender=PacketSender(self._links),
            clock=clock,
            random=rng,
            settings=make_group_settings(settings),
            may_form_group=settings.may_form_group,
            is_first_start=settings.may_form_group and bool(settings.data_folder),
            run_blocking=run_blocking,
        )
        self.log = ReplicatedLog(self._replica, machine)
        self._marks = MarkTimes(self.log, clock)
        self._leader: SchedulingLeader | None = None
        self._relay = WorkerRelay(calls, clock, lambda: self._leader is not None)
        self._register_gauges()
        self._reception = Reception(
            self.log,
            lambda: self._leader,
            transport=transport,
            clock=clock,
            locate=settings.locate,
            name=settings.name,
        )
        self.service = SchedulingService(
            self.log, self._reception, clock, has_begun=self._has_begun
        )

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._links.run)
            await nursery.start(self._run_replica)
            # Not awaited, so that a stop need not wait for a port in use.
            nursery.start_soon(self._serve_peers)
            nursery.start_soon(run_while_leading, self.log, self._lead, self._clock)
            nursery.start_soon(self._reception.run)
            task_status.started()

    async def begin_stop(self, timeout: timedelta) -> None:
        """Begin a planned stop: hand over, and neither lead nor relay again.

        A controller that is elected shortly before its process ends would leave the
        others without a leader, and views of workers without a record.

        Parameters
        ----------
        timeout
            How long it may take.
        """
        self._replica.withdraw()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.hand_over, timeout)
            nursery.start_soon(self._relay.close, timeout)

    async def hand_over(self, timeout: timedelta) -> None:
        """Hand leadership over to another controller, before a planned stop.

        Parameters
        ----------
        timeout
            How long this controller may go on leading, to record what workers list.
        """
        if self._leader is not None:
            await self._leader.finish_views(timeout)
        self.release_leadership()

    def release_leadership(self) -> None:
        """Step down at once, so that another controller is elected."""
        self._replica.release_leadership()

    def add_seeds(self, settings: DeploymentSettings) -> None:
        """Also contact the seeds of changed settings."""
        self._replica.add_contacts(settings.seed_names)

    async def _run_replica(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        result = await self._replica.run(task_status=task_status)
        if isinstance(result, Failure):
            raise StoreLostError(SCHEDULING_GROUP, result.failure())

    async def _serve_peers(self) -> None:
        await self._transport.serve(
            self._settings.host,
            self._settings.peer_port,
            streams={
                REPLICATION_LINK: self._serve_link,
                RELAY_STREAM: self._relay.serve,
                JOB_STREAM: serve_calls(self.service.answer),
                HEARTBEAT_STREAM: serve_calls(self._reception.answer),
            },
            calls={
                JOB_CALL: self.service.answer,
                HEARTBEAT_CALL: self._reception.answer,
            },
        )

    async def _serve_link(self, stream: MessageStream) -> None:
        await serve_link(stream, self._deliver)

    def _deliver(self, sender: InstanceName, packet: Packet) -> None:
        if packet.group == SCHEDULING_GROUP:
            self._replica.deliver(sender, packet.message)

    def _register_gauges(self) -> None:
        """Make gauges read the state at the time of each scrape."""
        gauges: tuple[tuple[Gauge, Callable[[SchedulingState], float]], ...] = (
            (OPEN_JOBS, lambda state: sum(j.is_open for j in state.jobs.values())),
            (WAITING_JOBS, _count_waiting),
            (WORKERS, lambda state: len(state.workers)),
            (CONFIGURATION_VERSION, _read_version),
        )
        for gauge, read in gauges:
            gauge.set_function(partial(self._read_gauge, read))
        LEADING.set_function(lambda: float(self.log.leads()))

    def _read_gauge(self, read: Callable[[SchedulingState], float]) -> float:
        return float(read(self.log.state.scheduling))

    async def _lead(self, leadership: Leadership) -> None:
        settings = self._settings.make_scheduling_settings()
        calls = RelayedCalls(
            self._calls,
            list_relays=self._list_others,
            locate=self._settings.locate,
            transport=self._transport,
            clock=self._clock,
            order_timeout=settings.order_timeout,
        )
        leader = SchedulingLeader(
            self.log,
            calls=MeasuredCalls(calls, self._clock),
            clock=self._clock,
            settings=settings,
            marks=self._marks,
            leadership=leadership,
            list_others=self._list_others,
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(calls.run)
            self._leader = leader
            try:
                await leader.run()
            finally:
                self._leader = None
            nursery.cancel_scope.cancel()

    def _has_begun(self, job: Job) -> bool:
        return job.has_begun if self._leader is None else self._leader.has_begun(job)

    def _list_others(self) -> set[InstanceName]:
        members = {member.id.name for member in self._replica.status().members}
        return members - {self._settings.name}


def _count_waiting(state: SchedulingState) -> int:
    return sum(job.is_open and not job.has_begun for job in state.jobs.values())


def _read_version(state: SchedulingState) -> int:
    return 0 if state.configuration is None else state.configuration.version


def _find_log_bytes(settings: DeploymentSettings) -> int:
    """Return the bytes of the log between two snapshots, by the instance's limits."""
    shares = (
        (settings.memory_mb, LOG_SHARE_OF_MEMORY),
        (settings.disk_mb, LOG_SHARE_OF_DISK),
    )
    limits = [int(limit * share * MIB) for limit, share in shares if limit]
    return max(min((MAX_LOG_BYTES, *limits)), MIN_LOG_BYTES)


def open_log_store(settings: DeploymentSettings) -> LogStore:
    """Return the store of the log; in memory if the instance has no data folder."""
    if not settings.data_folder:
        return MemoryStore()
    return FileStore(Path(settings.data_folder) / SCHEDULING_GROUP)


def make_group_settings(settings: DeploymentSettings) -> GroupSettings:
    """Return the settings of a deployment's replicated log."""
    log_bytes = _find_log_bytes(settings)
    return GroupSettings(
        heartbeat=timedelta(milliseconds=200),
        lease=timedelta(milliseconds=900),
        election_min=timedelta(milliseconds=1100),
        election_max=timedelta(milliseconds=1800),
        snapshot_after=2000,
        snapshot_bytes=log_bytes,
        kept_entries=1000,
        kept_bytes=log_bytes // 2,
        max_pending_bytes=min(max(log_bytes, MAX_COMMAND_BYTES), MAX_PENDING_BYTES),
        append_interval=timedelta(milliseconds=15),
        propose_timeout=timedelta(milliseconds=2500),
        replace_after=timedelta(milliseconds=2500),
        wanted_voters=2 * settings.tolerated_losses + 1,
    )
