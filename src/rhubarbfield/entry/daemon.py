"""Putting an entry together and running it."""

from __future__ import annotations

import logging
import random
from datetime import timedelta

import trio
from prometheus_client import REGISTRY

from rhubarbfield.announcements import AnnouncementSessions
from rhubarbfield.backends import HttpBackends
from rhubarbfield.callers import Readiness, create_app, serve
from rhubarbfield.clock import Clock, TrioClock
from rhubarbfield.controller.groups import list_domain_groups, map_members
from rhubarbfield.controller.options import make_entry_terms
from rhubarbfield.daemons import (
    SettingsInForce,
    load_credentials,
    run_until_signal,
)
from rhubarbfield.entry.grants import RouterGrants
from rhubarbfield.entry.options import (
    make_announcement_settings,
    make_routing_settings,
    make_serving_settings,
)
from rhubarbfield.entry.ownership import DomainOwnership
from rhubarbfield.entry.records import HomeRecords
from rhubarbfield.entry.session import EntrySession
from rhubarbfield.entry.siblings import Siblings
from rhubarbfield.peering import Credentials, Encoding, open_bridge, serve_methods
from rhubarbfield.protocol import DOMAIN_CALL, LeaderCalls
from rhubarbfield.protocol.workers import BACKEND_SERVER_STREAM
from rhubarbfield.routing import LiveSettings, OwnedServers, Router
from rhubarbfield.settings import Settings
from rhubarbfield.types import FailureDomain, Incarnation, InstanceName, ServiceName

logger = logging.getLogger(__name__)

HANDOVER_TIMEOUT = timedelta(seconds=5)
INCARNATION_BITS = 64


class Entry:
    """One entry, from its settings.

    Parameters
    ----------
    settings
        Of the instance.
    credentials
        What peers have to present.
    clock, rng
        The time and the random source.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        credentials: Credentials,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._credentials = credentials
        self._clock = clock
        self._rng = rng
        self._name = InstanceName(settings.instance.name)
        self._domain = FailureDomain(settings.instance.failure_domain)
        self._readiness = Readiness()
        routing = LiveSettings(make_routing_settings(settings))
        self.in_force = SettingsInForce(
            settings, lambda changed: routing.replace(make_routing_settings(changed))
        )
        self._servers = OwnedServers(clock, routing)
        self._grants = RouterGrants(self._servers, routing, clock)
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
        self._siblings = self._make_siblings()
        self._router = Router(
            servers=self._servers,
            backend=HttpBackends(clock, routing),
            siblings=self._siblings,
            records=HomeRecords(self._domain_calls, clock),
            clock=clock,
            rng=rng,
            settings=routing,
        )

    async def run(
        self,
        stop: trio.Event,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until ``stop`` is set and the last request has finished."""
        addresses = self._settings.addresses
        async with trio.open_nursery() as nursery:
            await nursery.start(self._router.run)
            nursery.start_soon(self._session.run)
            nursery.start_soon(self._siblings.run)
            nursery.start_soon(self._announcements.watch)
            await nursery.start(self._serve_siblings)
            await nursery.start(self._serve_backend_servers)
            logger.info("entry-serving port=%d", addresses.callers_port)
            await self._serve_callers(stop, task_status)
            await self._hand_over()
            nursery.cancel_scope.cancel()

    async def _serve_callers(
        self, stop: trio.Event, task_status: trio.TaskStatus[None]
    ) -> None:
        app = create_app(
            self._router,
            readiness=self._readiness,
            rng=self._rng,
            registries=(REGISTRY,),
        )
        addresses = self._settings.addresses
        async with trio.open_nursery() as nursery:
            await nursery.start(self._serve_app, app, addresses.callers_port, stop)
            task_status.started()

    async def _serve_app(
        self,
        app: object,
        port: int,
        stop: trio.Event,
        task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await serve(
            app,  # type: ignore[arg-type]
            f"{self._settings.addresses.host}:{port}",
            stop=stop,
            readiness=self._readiness,
            clock=self._clock,
            settings=make_serving_settings(self._settings),
            task_status=task_status,
        )

    async def _serve_siblings(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        addresses = self._settings.addresses
        await self._siblings.serve(
            addresses.host,
            addresses.entry_peer_port,
            self._router,
            task_status=task_status,
        )

    async def _serve_backend_servers(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        addresses = self._settings.addresses
        await serve_methods(
            addresses.host,
            addresses.announcements_port,
            credentials=self._credentials,
            encoding=Encoding.JSON,
            streams={BACKEND_SERVER_STREAM: self._announcements.serve},
            task_status=task_status,
        )

    async def _hand_over(self) -> None:
        """Give the backend servers to the other entries, within a limit."""
        with trio.move_on_after(HANDOVER_TIMEOUT.total_seconds()) as scope:
            await self._announcements.hand_over_all()
            await self._ownership.end_session()
        logger.info("handed-over in_time=%s", not scope.cancelled_caught)

    def _make_domain_calls(self) -> dict[FailureDomain, LeaderCalls]:
        return {
            group.domain: LeaderCalls(
                DOMAIN_CALL,
                map_members(self._settings, group.controllers),
                self._credentials,
                self._clock,
            )
            for group in list_domain_groups(self._settings)
        }

    def _make_session(self) -> EntrySession:
        settings = self._settings
        group = next(
            one for one in list_domain_groups(settings) if one.domain == self._domain
        )
        addresses = settings.addresses
        return EntrySession(
            self._name,
            domain=self._domain,
            incarnation=Incarnation(f"{self._rng.getrandbits(INCARNATION_BITS):x}"),
            address=f"{addresses.host}:{addresses.announcements_port}",
            controllers=map_members(settings, group.controllers),
            credentials=self._credentials,
            terms=make_entry_terms(settings.timing),
            clock=self._clock,
            in_force=self.in_force,
            on_session=self._reclaim,
            on_lease=self._grants.renew_all,
        )

    def _reclaim(self) -> None:
        self._announcements.reclaim_all()

    def _is_served(self, service: ServiceName) -> bool:
        servers = self._session.directory.values()
        return any(one.description.service == service for one in servers)

    def _make_siblings(self) -> Siblings:
        peers = {
            InstanceName(one.name): (one.host, one.entry_peer_port)
            for one in self._settings.fleet.instances
            if one.name != self._name
        }
        return Siblings(
            self._name,
            self._domain,
            peers=peers,
            servers=self._servers,
            is_served=self._is_served,
            credentials=self._credentials,
            clock=self._clock,
        )


async def run_entry(
    settings: Settings,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an entry until it is told to stop by SIGTERM or SIGINT.

    The first signal begins a planned stop, which cuts off no request; the
    second one ends it.

    Parameters
    ----------
    settings
        Of the instance.
    task_status
        Started once it serves callers.
    """
    _, credentials = load_credentials(settings)
    stop = trio.Event()
    async with open_bridge():
        entry = Entry(
            settings,
            credentials=credentials,
            clock=TrioClock(),
            rng=random.SystemRandom(),
        )

        async def run(
            *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
        ) -> None:
            await entry.run(stop, task_status=task_status)

        await run_until_signal(
            run, reload=entry.in_force.reload, stop=stop, task_status=task_status
        )
