"""Construction of a controller from its settings, and its main task."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Any

import trio
from returns.result import Failure

from rhubarbfield.clock import Clock
from rhubarbfield.controller.calls import ControllerCalls
from rhubarbfield.controller.groups import (
    FLEET_GROUP,
    list_domain_groups,
    make_domain_group_id,
    map_controller_addresses,
    map_member_addresses,
)
from rhubarbfield.controller.leading import DomainLeader, FleetCalls, FleetLeader
from rhubarbfield.controller.options import (
    make_entry_lease_terms,
    make_group_settings,
    make_placement_settings,
    make_worker_settings,
)
from rhubarbfield.controller.orders import OrderFeed
from rhubarbfield.controller.queries import OperatorService
from rhubarbfield.controller.statemachines import (
    DomainLogState,
    FleetLogState,
    make_domain_machine,
    make_fleet_machine,
)
from rhubarbfield.controller.tables import DomainView
from rhubarbfield.controller.worklog import DomainWorkLog
from rhubarbfield.daemons import SettingsInForce
from rhubarbfield.fleet import FleetState
from rhubarbfield.groups import (
    REPLICATION_LINK,
    LeaderCalls,
    Packet,
    PacketSender,
    ReplicatedLog,
    StoreLostError,
    run_while_leading,
)
from rhubarbfield.machine import SectionedMachine
from rhubarbfield.peering import (
    Encoding,
    MessageStream,
    PeerLinks,
    Transport,
    serve_link,
)
from rhubarbfield.protocol import (
    ENTRY_STREAM,
    FLEET_CALL,
    QUERY_CALL,
    SUMMARY_CALL,
)
from rhubarbfield.protocol.workers import WORKER_STREAM
from rhubarbfield.replication import GroupSettings, Leadership, Replica
from rhubarbfield.settings import Settings
from rhubarbfield.storage import LogStore
from rhubarbfield.types import FailureDomain, GroupId, InstanceName
from rhubarbfield.workers import GoToLeader

logger = logging.getLogger(__name__)


class Controller:
    """A controller: its replicas, links to peers, and leaderships.

    Parameters
    ----------
    settings
        Settings of the instance.
    transport
        Connects to and serves other processes.
    open_store
        Opens the store of a group's log.
    clock, rng
        Sources of time and of random numbers.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        transport: Transport,
        open_store: Callable[[GroupId], LogStore],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._transport = transport
        self._open_store = open_store
        self._clock = clock
        self._rng = rng
        self._name = InstanceName(settings.instance.name)
        self._domain = FailureDomain(settings.instance.failure_domain)
        self._domain_leader: DomainLeader | None = None
        self._fleet_leader: FleetLeader | None = None
        controllers = dict(map_controller_addresses(settings))
        peers = {name: peer for name, peer in controllers.items() if name != self._name}
        self._links = PeerLinks(self._name, peers, REPLICATION_LINK, transport)
        self._placement = make_placement_settings(settings.placement)
        self.in_force = SettingsInForce(settings, self._apply_settings)
        self._replicas: dict[GroupId, Replica] = {}
        self._fleet_log = self._make_fleet_log()
        self._domain_log = self._make_domain_logs()
        self._feed = OrderFeed(self._domain_log.machine)
        self._fleet_calls = self._make_calls(FLEET_CALL, tuple(controllers))
        self._summary_calls = self._make_calls(SUMMARY_CALL, tuple(controllers))
        self.operators = OperatorService(
            settings,
            fleet_log=self._fleet_log,
            fleet=self._fleet_calls,
            domains={
                group.domain: self._make_calls(QUERY_CALL, group.controllers)
                for group in list_domain_groups(settings)
            },
            view_domain=self._view_domain,
            clock=clock,
        )
        self._work_log = DomainWorkLog(
            self._domain_log,
            self._feed,
            self._domain,
            clock,
            self._find_workers_address,
        )

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until cancelled."""
        addresses = self._settings.addresses
        calls = ControllerCalls(
            domain=self._domain,
            domain_log=self._domain_log,
            fleet_log=self._fleet_log,
            operators=self.operators,
            get_domain_leader=lambda: self._domain_leader,
            get_fleet_leader=lambda: self._fleet_leader,
            clock=self._clock,
        )
        async with trio.open_nursery() as nursery:
            for group, replica in self._replicas.items():
                await nursery.start(self._run_replica, group, replica)
            nursery.start_soon(self._links.run)
            nursery.start_soon(self._follow_configuration)
            await nursery.start(self._serve_peers, calls)
            await nursery.start(self._serve_workers)
            nursery.start_soon(
                run_while_leading, self._domain_log, self._lead_domain, self._clock
            )
            nursery.start_soon(
                run_while_leading, self._fleet_log, self._lead_fleet, self._clock
            )
            logger.info("controller-serving port=%d", addresses.controller_peer_port)
            task_status.started()

    def release_leadership(self) -> None:
        """Let another voter of each group lead at once, before a planned stop."""
        for replica in self._replicas.values():
            replica.release_leadership()

    @property
    def fleet_state(self) -> FleetState:
        """The fleet's state as applied on this instance."""
        return self._fleet_log.state.fleet

    def _make_fleet_log(self) -> ReplicatedLog[FleetLogState]:
        voters = tuple(InstanceName(n) for n in self._settings.fleet.fleet_voters)
        return self._make_log(FLEET_GROUP, voters, make_fleet_machine())

    def _make_domain_logs(self) -> ReplicatedLog[DomainLogState]:
        """Create the logs of this instance's domain and of those it is a witness for.

        Returns
        -------
        ReplicatedLog
            The log of this instance's domain.
        """
        own: ReplicatedLog[DomainLogState] | None = None
        for group in list_domain_groups(self._settings):
            if self._name not in group.members:
                continue
            log = self._make_log(
                make_domain_group_id(group.domain),
                group.voters,
                make_domain_machine(),
                avoid_leadership=group.domain != self._domain,
            )
            if group.domain == self._domain:
                own = log
        assert own is not None
        return own

    def _make_log(
        self,
        group: GroupId,
        voters: tuple[InstanceName, ...],
        machine: SectionedMachine[Any],
        *,
        avoid_leadership: bool = False,
    ) -> ReplicatedLog[Any]:
        replica = Replica(
            group=group,
            name=self._name,
            bootstrap=voters,
            machine=machine,
            store=self._open_store(group),
            sender=PacketSender(self._links),
            clock=self._clock,
            random=self._rng,
            settings=self._group_settings,
            avoid_leadership=avoid_leadership,
        )
        self._replicas[group] = replica
        return ReplicatedLog(replica, machine)

    @property
    def _group_settings(self) -> GroupSettings:
        return make_group_settings(self._settings.timing)

    def _make_calls(
        self, method: Any, members: tuple[InstanceName, ...]
    ) -> LeaderCalls:
        addresses = map_member_addresses(self._settings, members)
        return LeaderCalls(method, addresses, self._transport, self._clock)

    async def _run_replica(
        self,
        group: GroupId,
        replica: Replica,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        result = await replica.run(task_status=task_status)
        match result:
            case Failure(failure):
                # The other members of the group continue. After a restart, this
                # replica reads its state from disk instead of from memory.
                raise StoreLostError(group, failure)

    async def _serve_peers(
        self,
        calls: ControllerCalls,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        async def handle_link(stream: MessageStream) -> None:
            await serve_link(stream, self._deliver)

        await self._transport.serve(
            self._settings.addresses.host,
            self._settings.addresses.controller_peer_port,
            streams={REPLICATION_LINK: handle_link, ENTRY_STREAM: calls.serve_entry},
            calls=calls.map_handlers(),
            task_status=task_status,
        )

    def _deliver(self, sender: InstanceName, packet: Packet) -> None:
        replica = self._replicas.get(packet.group)
        if replica is not None:
            replica.deliver(sender, packet.message)

    async def _serve_workers(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        async def handle(stream: MessageStream) -> None:
            leader = self._domain_leader
            if leader is not None:
                await leader.workers.serve(stream)
                return
            hint = self._domain_log.replica.leader_hint
            await stream.receive()
            await stream.send(GoToLeader(address=self._find_workers_address(hint)))

        await self._transport.serve(
            self._settings.addresses.host,
            self._settings.addresses.workers_port,
            encoding=Encoding.JSON,
            streams={WORKER_STREAM: handle},
            task_status=task_status,
        )

    async def _lead_domain(self, leadership: Leadership) -> None:
        self._domain_leader = DomainLeader(
            self._domain,
            log=self._domain_log.in_term(leadership.term),
            fleet_log=self._fleet_log,
            feed=self._feed,
            work_log=self._work_log.in_term(leadership.term),
            fleet=FleetCalls(self._fleet_calls),
            summaries=self._summary_calls,
            entry_terms=make_entry_lease_terms(self._settings.timing),
            worker_settings=make_worker_settings(self._settings.timing),
            get_placement=lambda: self._placement,
            clock=self._clock,
            rng=self._rng,
        )
        try:
            await self._domain_leader.run()
        finally:
            self._domain_leader = None

    async def _lead_fleet(self, leadership: Leadership) -> None:
        log = self._fleet_log.in_term(leadership.term)
        self._fleet_leader = FleetLeader(log, self._clock)
        try:
            await self._fleet_leader.run()
        finally:
            self._fleet_leader = None

    def _apply_settings(self, settings: Settings) -> None:
        self._placement = make_placement_settings(settings.placement)

    async def _follow_configuration(self) -> None:
        # A restarted replica may at first hold an older configuration than the
        # one it had in force before.
        await self._fleet_log.replica.wait_current()
        while True:
            seen = self._fleet_log.changes
            self.in_force.offer(self._fleet_log.state.fleet.configuration)
            await self._fleet_log.wait_change(seen)

    def _view_domain(self) -> DomainView | None:
        leader = self._domain_leader
        if leader is None or not self._domain_log.leads():
            return None
        return DomainView(
            domain=self._domain,
            state=self._domain_log.state,
            versions=dict(leader.entries.versions),
            waits={wait.job: wait.reason for wait in leader.planner.waits},
            position=self._domain_log.position,
        )

    def _find_workers_address(self, name: InstanceName | None) -> str:
        instance = self._settings.fleet.find_instance(name) if name else None
        # A witness may lead briefly, but serves no workers of the domain.
        if instance is None or instance.failure_domain != self._domain:
            return ""
        return f"{instance.host}:{instance.workers_port}"
