"""Passes the backend servers that announced themselves to the router."""

from __future__ import annotations

from datetime import timedelta

from rhubarbfield.announcements import Announce, Granted
from rhubarbfield.clock import Clock
from rhubarbfield.entry.session import EntrySession
from rhubarbfield.routing import (
    BackendGrant,
    LiveSettings,
    OwnedServers,
    ServerReport,
)
from rhubarbfield.types import BackendServerId, BackendServerState, Epoch


class RouterGrants:
    """The :class:`~rhubarbfield.announcements.GrantSink` of an entry.

    A backend server may be used until its silence timeout or the end of the
    entry's own lease, whichever comes first.

    Parameters
    ----------
    servers
        The router's backend servers.
    settings
        The router's settings.
    clock
        The entry's clock.
    """

    def __init__(
        self, servers: OwnedServers, settings: LiveSettings, clock: Clock
    ) -> None:
        self._servers = servers
        self._settings = settings
        self._clock = clock
        self._session: EntrySession | None = None
        self._until: dict[BackendServerId, tuple[Epoch, timedelta]] = {}

    def use_session(self, session: EntrySession) -> None:
        """Limit all grants to the lease of ``session`` from now on."""
        self._session = session

    def grant(self, announce: Announce, granted: Granted, until: timedelta) -> None:
        """Start to use a server, or apply its changed capacity."""
        self._until[announce.server] = (granted.epoch, until)
        inherited_until = None
        if not granted.settled:
            limits = self._settings.current
            max_inherited_time = limits.longest_timeout + limits.settle_time
            inherited_until = self._clock.monotonic() + max_inherited_time
        self._servers.grant(
            BackendGrant(
                server=announce.server,
                service=announce.service,
                address=f"{announce.host}:{announce.port}",
                slots=announce.slots,
                connections=announce.connections,
                epoch=granted.epoch,
                valid_until=self._bound(until),
                inherited_until=inherited_until,
                answers_until_close=announce.close_delimited_answers,
                leaving=announce.state is BackendServerState.LEAVING,
            )
        )

    def renew(self, server: BackendServerId, epoch: Epoch, until: timedelta) -> None:
        """Extend the use of a server after a message from it."""
        self._until[server] = (epoch, until)
        self._servers.renew(server, epoch, self._bound(until))

    def renew_all(self) -> None:
        """Extend the use of all servers after the entry's own lease was extended."""
        for server, (epoch, until) in self._until.items():
            self._servers.renew(server, epoch, self._bound(until))

    def report(
        self,
        server: BackendServerId,
        epoch: Epoch,
        running: int,
        counted_after: timedelta | None,
    ) -> None:
        """Record the server's own count of the requests that run on it."""
        self._servers.report(
            ServerReport(server=server, running=running, counted_after=counted_after)
        )

    def mark_leaving(self, server: BackendServerId, epoch: Epoch) -> None:
        """Send no new requests to a server; those in progress continue."""
        self._servers.mark_leaving(server)

    def revoke(self, server: BackendServerId, epoch: Epoch) -> bool:
        """Stop using a server; return whether no request of this entry runs on it."""
        self._until.pop(server, None)
        ledger = self._servers.get(server)
        idle = ledger is None or ledger.is_idle(self._clock.monotonic())
        self._servers.revoke(server)
        return idle

    def _bound(self, until: timedelta) -> timedelta:
        if self._session is None:
            return self._clock.monotonic()
        return min(until, self._session.valid_until())
