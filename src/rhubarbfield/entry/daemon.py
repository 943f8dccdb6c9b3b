"""Assembly and execution of the entry daemon."""

from __future__ import annotations

import logging
import random
from datetime import timedelta
from functools import partial

import trio
from prometheus_client import REGISTRY

from rhubarbfield.announcements import AnnouncementSessions
from rhubarbfield.backends import HttpBackends
from rhubarbfield.callers import Readiness, create_app, serve
from rhubarbfield.clock import Clock, HostClock
from rhubarbfield.controller.groups import list_domain_groups, map_member_addresses
from rhubarbfield.controller.options import make_entry_lease_terms
from rhubarbfield.daemons import (
    SettingsInForce,
    load_credentials,
    make_intake_limits,
)
from rhubarbfield.entry.grants import RouterGrants
from rhubarbfield.entry.options import (
    make_announcement_settings,
    make_routing_settings,
    make_serving_settings,
)
from rhubarbfield.entry.ownership import DomainOwnership
from rhubarbfield.entry.peer_entries import PeerEntries
from rhubarbfield.entry.records import HomeRecords
from rhubarbfield.entry.session import EntrySession
from rhubarbfield.intake import Intake
from rhubarbfield.peering import Encoding, GrpcTransport, Transport, open_bridge
from rhubarbfield.protocol import (
    DOMAIN_CALL,
    LeaderCalls,
    settles_domain_attempts,
)
from rhubarbfield.protocol.workers import BACKEND_SERVER_STREAM
from rhubarbfield.routing import BackendPort, LiveSettings, OwnedServers, Router
from rhubarbfield.settings import Settings
from rhubarbfield.signals import run_until_signal
from rhubarbfield.types import FailureDomain, Incarnation, InstanceName, ServiceName
from rhubarbfield.waits import finish_unless

logger = logging.getLogger(__name__)

HANDOVER_TIMEOUT = timedelta(seconds=5)
STOP_GRACE = timedelta(seconds=1)
INCARNATION_BITS = 64


class Entry:
    """An entry with all its components.

    Parameters
    ----------
    settings
        The settings of the instance.
    transport
        Connects to controllers and peer entries.
    backend
        Sends requests to backend servers.
    limits
        The limits of the request path; replaced when the configuration changes.
    clock, rng
        The clock and the random number generator.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        transport: Transport,
        backend: BackendPort,
        limits: LiveSettings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._name = InstanceName(settings.instance.name)
        self._domain = FailureDomain(settings.instance.failure_domain)
        self.in_force = SettingsInForce(
            settings, lambda changed: limits.replace(make_routing_settings(changed))
        )
        self._servers = OwnedServers(clock, limits)
        self._grants = RouterGrants(self._servers, limits, clock)
        self._domain_calls = self._make_domain_calls()
        self._session = self._make_session()
        self._grants.use_session(self._session)
        self._ownership = DomainOwnership(
            self._name,
            self._domain,
            session=self._session,
            calls=self._domain_calls[self._domain],
            clock=clock,
        )
        self._announcements = AnnouncementSessions(
            make_announcement_settings(settings),
            entry=self._name,
            clock=clock,
            ownership=self._ownership,
            sink=self._grants,
        )
        self._peer_entries = self._make_peer_entries()
        self.router = Router(
            servers=self._servers,
            backend=backend,
            peer_entries=self._peer_entries,
            records=HomeRecords(self._domain_calls, clock),
            clock=clock,
            rng=rng,
            settings=limits,
        )

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Route requests and own backend servers until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.router.run)
            nursery.start_soon(self._session.run)
            nursery.start_soon(self._peer_entries.run)
            nursery.start_soon(self._announcements.watch)
            await nursery.start(self._serve_peer_entries)
            await nursery.start(self._serve_backend_servers)
            task_status.started()

    def knows_services(self) -> bool:
        """Return whether the failure domain's directory has been received."""
        return self._session.has_directory

    async def hand_over(self) -> None:
        """Finish the requests in flight, then hand the backend servers over."""
        self._peer_entries.stop()
        wait_limit = self.settings.timing.longest_stop
        with trio.move_on_after(wait_limit.total_seconds()) as scope:
            await self.router.wait_idle()
        if scope.cancelled_caught:
            unfinished = self.router.count_in_flight()
            logger.warning("stop-deadline requests_cut_off=%d", unfinished)
        with trio.move_on_after(HANDOVER_TIMEOUT.total_seconds()) as scope:
            await self._announcements.hand_over_all()
            await self._ownership.end_session()
        logger.info("handed-over in_time=%s", not scope.cancelled_caught)
        # Peer entries that don't know of the stop yet get a refusal instead of a
        # broken connection.
        await self._clock.sleep(STOP_GRACE)

    async def _serve_peer_entries(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        addresses = self.settings.addresses
        await self._peer_entries.serve(
            addresses.host,
            addresses.entry_peer_port,
            self.router,
            task_status=task_status,
        )

    async def _serve_backend_servers(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        addresses = self.settings.addresses
        await self._transport.serve(
            addresses.host,
            addresses.announcements_port,
            encoding=Encoding.JSON,
            streams={BACKEND_SERVER_STREAM: self._announcements.serve},
            task_status=task_status,
        )

    def _make_domain_calls(self) -> dict[FailureDomain, LeaderCalls]:
        return {
            group.domain: LeaderCalls(
                DOMAIN_CALL,
                map_member_addresses(self.settings, group.controllers),
                self._transport,
                self._clock,
                settles=settles_domain_attempts,
            )
            for group in list_domain_groups(self.settings)
        }

    def _make_session(self) -> EntrySession:
        settings = self.settings
        group = next(
            group
            for group in list_domain_groups(settings)
            if group.domain == self._domain
        )
        addresses = settings.addresses
        return EntrySession(
            self._name,
            domain=self._domain,
            incarnation=Incarnation(f"{self._rng.getrandbits(INCARNATION_BITS):x}"),
            address=f"{addresses.host}:{addresses.announcements_port}",
            controllers=map_member_addresses(settings, group.controllers),
            transport=self._transport,
            terms=make_entry_lease_terms(settings.timing),
            clock=self._clock,
            in_force=self.in_force,
            on_session=self._reclaim,
            on_lease=self._grants.renew_all,
        )

    def _reclaim(self) -> None:
        self._announcements.reclaim_all()

    def _is_served(self, service: ServiceName) -> bool:
        servers = self._session.directory.values()
        return any(server.description.service == service for server in servers)

    def _make_peer_entries(self) -> PeerEntries:
        peers = {
            InstanceName(instance.name): (instance.host, instance.entry_peer_port)
            for instance in self.settings.fleet.instances
            if instance.name != self._name
        }
        return PeerEntries(
            self._name,
            self._domain,
            peers=peers,
            servers=self._servers,
            is_served=self._is_served,
            transport=self._transport,
            clock=self._clock,
        )


async def serve_callers(
    entry: Entry,
    stop: trio.Event,
    clock: Clock,
    intake: Intake,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve callers over HTTP until ``stop`` is set and the last one is answered."""
    readiness = Readiness(entry.knows_services)
    app = create_app(
        entry.router,
        readiness=readiness,
        rng=random.SystemRandom(),
        registries=(REGISTRY,),
    )
    addresses = entry.settings.addresses
    address = f"{addresses.host}:{addresses.callers_port}"
    run = partial(
        serve,
        app,
        address,
        stop=stop,
        readiness=readiness,
        clock=clock,
        settings=make_serving_settings(entry.settings),
        intake=intake,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(run)
        logger.info("entry-serving port=%d", addresses.callers_port)
        task_status.started()


async def run_entry(
    settings: Settings,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an entry until SIGTERM or SIGINT.

    The first signal starts a planned stop, which cuts off no request; the
    second one stops the process at once.

    Parameters
    ----------
    settings
        The settings of the instance.
    task_status
        Started once the entry serves callers.
    """
    _, credentials = load_credentials(settings)
    clock = HostClock()
    limits = LiveSettings(make_routing_settings(settings))
    intake = Intake(make_intake_limits(settings))
    stop = trio.Event()
    async with open_bridge():
        entry = Entry(
            settings,
            transport=GrpcTransport(credentials, intake),
            backend=HttpBackends(clock, limits),
            limits=limits,
            clock=clock,
            rng=random.SystemRandom(),
        )

        async def run(
            *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
        ) -> None:
            async with trio.open_nursery() as nursery:
                if await finish_unless(stop, partial(nursery.start, entry.run)):
                    await serve_callers(
                        entry, stop, clock, intake, task_status=task_status
                    )
                    await entry.hand_over()
                else:
                    task_status.started()
                nursery.cancel_scope.cancel()

        await run_until_signal(
            run, reload=entry.in_force.reload, stop=stop, task_status=task_status
        )
