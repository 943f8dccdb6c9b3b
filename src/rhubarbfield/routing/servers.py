"""The backend servers that an entry holds leases on."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import timedelta

from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.exceptions import check_invariant
from rhubarbfield.routing.grants import (
    BackendGrant,
    Reservation,
    ServerReport,
    StaleGrant,
)
from rhubarbfield.routing.ledger import SlotLedger
from rhubarbfield.routing.ports import BackendTarget
from rhubarbfield.routing.settings import LiveSettings
from rhubarbfield.types import BackendServerId, Epoch, ServiceName


class OwnedServers:
    """The backend servers that this entry holds leases on.

    Parameters
    ----------
    clock
        Source of the monotonic time that leases are checked against.
    settings
        Limits of the request path.
    """

    def __init__(self, clock: Clock, settings: LiveSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._ledgers: dict[BackendServerId, SlotLedger] = {}
        self._services: dict[ServiceName, dict[BackendServerId, SlotLedger]] = {}
        self._newest_epochs: dict[BackendServerId, Epoch] = {}
        self._retired: dict[BackendServerId, SlotLedger] = {}
        self._last_checked_at: timedelta | None = None
        self._reports_valid_from = timedelta()
        self._watchers: list[Callable[[ServiceName, BackendServerId], None]] = []

    def watch(self, watcher: Callable[[ServiceName, BackendServerId], None]) -> None:
        """Call ``watcher`` with service and server after each change of a server."""
        self._watchers.append(watcher)

    def _notify(self, ledger: SlotLedger) -> None:
        for watcher in self._watchers:
            watcher(ledger.grant.service, ledger.grant.server)

    def grant(self, grant: BackendGrant) -> Result[None, StaleGrant]:
        """Add a lease, or apply changed limits of a lease held already."""
        newest = self._newest_epochs.get(grant.server)
        if newest is not None and grant.epoch < newest:
            return Failure(StaleGrant(grant.epoch, newest))
        now = self._clock.monotonic()
        ledger = self._ledgers.get(grant.server) or self._pop_retired(grant.server)
        if ledger is None:
            ledger = SlotLedger(grant, now, self._settings)
        else:
            self._drop_from_service(ledger)
            ledger.replace_grant(grant, now)
        self._ledgers[grant.server] = ledger
        self._newest_epochs[grant.server] = grant.epoch
        self._services.setdefault(grant.service, {})[grant.server] = ledger
        self._notify(ledger)
        return Success(None)

    def renew(
        self, server: BackendServerId, epoch: Epoch, valid_until: timedelta
    ) -> Result[None, StaleGrant]:
        """Extend the lease of ``epoch`` to ``valid_until``."""
        ledger = self._ledgers.get(server)
        if ledger is None or ledger.grant.epoch != epoch:
            held = ledger.grant.epoch if ledger is not None else None
            return Failure(StaleGrant(epoch, held))
        ledger.renew(valid_until)
        self._notify(ledger)
        return Success(None)

    def revoke(self, server: BackendServerId) -> None:
        """Give up the lease on ``server`` at once.

        Requests that were already sent run to completion; requests that only
        have a reserved slot are not sent any more.
        """
        ledger = self._ledgers.pop(server, None)
        if ledger is not None:
            ledger.retire()
            self._drop_from_service(ledger)
            self._retired[server] = ledger
            self._notify(ledger)
        self._drop_idle_retired()

    def mark_leaving(self, server: BackendServerId) -> None:
        """Send no new requests to ``server``; the lease stays."""
        if server in self._ledgers:
            self._ledgers[server].leaving = True

    def detect_freeze(self) -> None:
        """Detect that the process was frozen; must be called regularly.

        Reports that arrived during a freeze are read after it as if they were
        new. For ``report_age`` after a freeze, until all of them have been
        read, reports are therefore ignored unless they have a
        ``counted_after``.
        """
        now = self._clock.monotonic()
        settings = self._settings.current
        last_checked_at = (
            self._last_checked_at if self._last_checked_at is not None else now
        )
        if now - last_checked_at > settings.freeze_limit:
            self._reports_valid_from = now + settings.report_age
        self._last_checked_at = now

    def report(self, report: ServerReport) -> None:
        """Apply a backend server's own count of its running requests."""
        self.detect_freeze()
        is_recent = self._clock.monotonic() >= self._reports_valid_from
        ledger = self._ledgers.get(report.server)
        if ledger is not None and (is_recent or report.counted_after is not None):
            ledger.apply_report(report, self._clock.monotonic())
            self._notify(ledger)

    def get(self, server: BackendServerId) -> SlotLedger | None:
        """Return the ledger of ``server`` if it is owned."""
        return self._ledgers.get(server)

    def iterate(self, service: ServiceName) -> Iterable[SlotLedger]:
        """Return the ledgers of the backend servers of ``service``."""
        return self._services.get(service, {}).values()

    def list_services(self) -> list[ServiceName]:
        """Return the services of which this entry owns a backend server."""
        return [name for name, ledgers in self._services.items() if ledgers]

    def count_free_slots(self, service: ServiceName) -> int:
        """Return how many more requests of ``service`` may be dispatched."""
        now = self._clock.monotonic()
        return sum(ledger.count_free_slots(now) for ledger in self.iterate(service))

    def count_slots(self, service: ServiceName) -> int:
        """Return the slots of the servers of ``service`` that take requests."""
        now = self._clock.monotonic()
        ledgers = self.iterate(service)
        return sum(each.limit for each in ledgers if each.is_serving(now))

    def make_target(
        self, ledger: SlotLedger, reservation: Reservation
    ) -> BackendTarget | None:
        """Return the target of a request, or ``None`` if the lease has lapsed."""
        grant = ledger.grant
        if not ledger.lease.is_valid(self._clock.monotonic()):
            return None
        return BackendTarget(
            server=grant.server,
            address=grant.address,
            epoch=grant.epoch,
            dispatch_id=reservation.dispatch_id,
            lease=ledger.lease,
            idle_connections=ledger.idle_connections,
            answers_until_close=grant.answers_until_close,
        )

    def _pop_retired(self, server: BackendServerId) -> SlotLedger | None:
        self._drop_idle_retired()
        return self._retired.pop(server, None)

    def _drop_idle_retired(self) -> None:
        now = self._clock.monotonic()
        self._retired = {
            server: ledger
            for server, ledger in self._retired.items()
            if not ledger.is_idle(now)
        }

    def _drop_from_service(self, ledger: SlotLedger) -> None:
        self._services.get(ledger.grant.service, {}).pop(ledger.grant.server, None)


def check_grants(announced_slots: int, grants: Iterable[BackendGrant]) -> None:
    """Stop the process if more slots are granted than were announced."""
    granted = sum(grant.slots for grant in grants)
    check_invariant(
        granted <= announced_slots,
        "grants-within-capacity",
        f"{granted} granted, {announced_slots} announced",
    )
