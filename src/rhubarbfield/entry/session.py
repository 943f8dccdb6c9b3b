"""An entry's session with the leader of its failure domain."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from datetime import timedelta

import msgspec
import trio

from rhubarbfield.clock import Clock
from rhubarbfield.daemons import SettingsInForce
from rhubarbfield.leases import HeldLease, LeaseTerms
from rhubarbfield.ownership import DirectoryEntry
from rhubarbfield.peering import MessageStream, Transport, connect
from rhubarbfield.protocol import (
    ENTRY_STREAM,
    ConfigurationUpdate,
    DirectoryUpdate,
    EntryHello,
    EntryLease,
    EntryOpened,
    EntryRefused,
    RenewEntry,
)
from rhubarbfield.types import (
    BackendServerId,
    Epoch,
    FailureDomain,
    Incarnation,
    InstanceName,
)

logger = logging.getLogger(__name__)

RECONNECT_DELAY = timedelta(milliseconds=100)
RENEWALS_PER_LEASE = 3
RENEWAL_TIMEOUT_INTERVALS = 2
ANSWER_TIMEOUT = timedelta(seconds=2)


class EntrySession:
    """Maintains a session and a lease with the leader of the failure domain.

    While there is no leader, the directory and the configuration keep their
    latest state and the lease runs out.

    Parameters
    ----------
    entry
        This instance.
    domain
        Its failure domain.
    incarnation
        New at each start of the process.
    address
        ``host:port`` at which backend servers announce themselves.
    controllers
        Host and peer port of each controller that may lead the domain.
    transport
        Connects to the controllers.
    terms
        The lease of the session.
    clock
        The entry's clock.
    in_force
        Receives the configurations that the leader sends.
    on_session
        Called when a session with a new epoch has been opened.
    on_lease
        Called after each extension of the lease.
    """

    def __init__(
        self,
        entry: InstanceName,
        *,
        domain: FailureDomain,
        incarnation: Incarnation,
        address: str,
        controllers: Mapping[InstanceName, tuple[str, int]],
        transport: Transport,
        terms: LeaseTerms,
        clock: Clock,
        in_force: SettingsInForce,
        on_session: Callable[[], None],
        on_lease: Callable[[], None],
    ) -> None:
        self._entry = entry
        self._domain = domain
        self._incarnation = incarnation
        self._address = address
        self._controllers = dict(controllers)
        self._transport = transport
        self._clock = clock
        self._on_session = on_session
        self._on_lease = on_lease
        self._renew_interval = terms.duration / RENEWALS_PER_LEASE
        self._lease = HeldLease(drift=terms.drift, clock=clock)
        self._target = next(iter(self._controllers))
        self._renewed = trio.Event()
        self._in_force = in_force
        self._directory_is_stale = True
        self._has_directory = False
        self.directory: dict[BackendServerId, DirectoryEntry] = {}

    @property
    def epoch(self) -> Epoch:
        """The epoch of the session; zero before the first session."""
        return self._lease.epoch

    @property
    def has_directory(self) -> bool:
        """Whether a directory has ever been received, even an empty one."""
        return self._has_directory

    def holds(self) -> bool:
        """Return whether the lease of the session is valid now."""
        return self._lease.holds()

    def valid_until(self) -> timedelta:
        """Return the monotonic time at which the lease ends unless it is extended."""
        return self._clock.monotonic() + self._lease.remaining()

    async def run(self) -> None:
        """Maintain a session until cancelled."""
        while True:
            host, port = self._controllers[self._target]
            async with (
                connect(self._transport, host, port) as connection,
                connection.open(ENTRY_STREAM) as stream,
            ):
                hint = None
                if stream is not None:
                    hint = await self._run_stream(stream)
            self._choose_target(hint)
            await self._clock.sleep(RECONNECT_DELAY)

    def _choose_target(self, hint: InstanceName | None) -> None:
        if hint in self._controllers and hint != self._target:
            self._target = hint
            return
        names = list(self._controllers)
        index = names.index(self._target)
        self._target = names[(index + 1) % len(names)]

    async def _run_stream(self, stream: MessageStream) -> InstanceName | None:
        """Serve one stream until it ends; return the leader that a refusal names."""
        hello = EntryHello(
            entry=self._entry,
            incarnation=self._incarnation,
            domain=self._domain,
            address=self._address,
            number=self._lease.request(),
            configuration=self._in_force.configuration.version,
        )
        if not await stream.send(hello):
            return None
        opened: msgspec.Struct | None = None
        with trio.move_on_after(ANSWER_TIMEOUT.total_seconds()):
            opened = await stream.receive()
        if isinstance(opened, EntryRefused):
            logger.info("session-refused reason=%s", opened.reason)
            return opened.leader
        if isinstance(opened, EntryOpened):
            self._open(opened)
            await self._serve(stream)
        return None

    def _open(self, opened: EntryOpened) -> None:
        before = self._lease.epoch
        if not self._lease.accept(opened.lease):
            return
        logger.info("session-opened epoch=%d leader=%s", self.epoch, self._target)
        if self._lease.epoch != before:
            self._on_session()
        self._on_lease()

    async def _serve(self, stream: MessageStream) -> None:
        self._directory_is_stale = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._renew, stream, nursery.cancel_scope)
            while (message := await stream.receive()) is not None:
                self._handle_message(message)
            nursery.cancel_scope.cancel()

    async def _renew(self, stream: MessageStream, scope: trio.CancelScope) -> None:
        """Extend the lease; cancel ``scope`` when renewals go unanswered."""
        while True:
            self._renewed = trio.Event()
            message = RenewEntry(
                number=self._lease.request(),
                epoch=self._lease.epoch,
                configuration=self._in_force.configuration.version,
            )
            sent = await stream.send(message)
            await self._clock.sleep(self._renew_interval)
            with trio.move_on_after(
                self._renew_interval.total_seconds() * RENEWAL_TIMEOUT_INTERVALS
            ):
                await self._renewed.wait()
            if not sent or not self._renewed.is_set():
                logger.warning("session-silent leader=%s", self._target)
                scope.cancel()
                return

    def _handle_message(self, message: msgspec.Struct) -> None:
        match message:
            case EntryLease(lease=lease):
                if self._lease.accept(lease):
                    self._renewed.set()
                    self._on_lease()
            case DirectoryUpdate() as update:
                self._update_directory(update)
            case ConfigurationUpdate(configuration=configuration):
                # A controller may lag behind the one connected before;
                # an older version is ignored.
                self._in_force.offer(configuration)

    def _update_directory(self, update: DirectoryUpdate) -> None:
        # The first update on a stream holds the whole directory; it does not
        # list the servers removed while there was no stream.
        if self._directory_is_stale:
            self.directory.clear()
            self._directory_is_stale = False
        self._has_directory = True
        self.directory.update({entry.server: entry for entry in update.changed})
        for server in update.removed:
            self.directory.pop(server, None)
