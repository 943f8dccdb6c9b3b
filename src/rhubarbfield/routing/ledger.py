"""Exact counts of the slots and connections of owned backend servers.

An entry owns a backend server under a lease of its failure domain's
controller. As long as the lease is valid, nobody else sends requests there,
so that the counts kept here are the whole truth but for requests left behind:
those given up on, and those of an owner before this one. These keep their
slots until the backend server's own report, or the longest timeout, proves
their end.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable
from datetime import timedelta

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.exceptions import check_invariant
from rhubarbfield.routing.ports import BackendTarget
from rhubarbfield.routing.settings import RoutingSettings
from rhubarbfield.types import BackendServerId, Epoch, RequestId, ServiceName


class BackendGrant(msgspec.Struct, frozen=True, kw_only=True):
    """A lease on a backend server, or on a part of its slots.

    Attributes
    ----------
    address
        ``host:port`` of the backend server.
    slots, connections
        How many requests and connections the owner may have there.
    epoch
        Grows with each change of owner.
    valid_until
        Monotonic time at which the lease ends unless renewed.
    taken_until
        Monotonic time up to which requests of an earlier owner may run;
        ``None`` if there was none.
    answers_until_close
        Whether the backend server announced answers that end with their
        connection, without a length.
    """

    server: BackendServerId
    service: ServiceName
    address: str
    slots: int
    connections: int
    epoch: Epoch
    valid_until: timedelta
    taken_until: timedelta | None = None
    answers_until_close: bool = False


class StaleGrant(msgspec.Struct, frozen=True):
    """A grant or renewal of an epoch that another one has replaced.

    Attributes
    ----------
    seen
        The epoch that was offered.
    held
        The newest epoch known; ``None`` if the backend server is not owned.
    """

    seen: Epoch
    held: Epoch | None


class Reservation(msgspec.Struct, frozen=True, kw_only=True):
    """One slot held for one request.

    Attributes
    ----------
    serial
        Tells apart several attempts at one request.
    started_at
        Monotonic time at which the slot was taken.
    """

    server: BackendServerId
    serial: int
    request_id: RequestId
    started_at: timedelta


class ServerReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a backend server says it is running.

    Attributes
    ----------
    running
        How many requests it ran when it counted.
    counted_after
        A monotonic time of this entry that is surely before the count, such
        as when the report was asked for; ``None`` if only its age is bounded.
    running_ids
        The requests it ran, if it says so.
    """

    server: BackendServerId
    running: int
    counted_after: timedelta | None = None
    running_ids: frozenset[RequestId] | None = None


class _Abandoned(msgspec.Struct, frozen=True):
    request_id: RequestId
    closed_at: timedelta
    until: timedelta


class SlotLedger:
    """The slots of one owned backend server.

    Parameters
    ----------
    grant
        The lease that came first.
    granted_at
        Monotonic time of its arrival.
    settings
        Limits of the request path.
    """

    def __init__(
        self, grant: BackendGrant, granted_at: timedelta, settings: RoutingSettings
    ) -> None:
        self.grant = grant
        self.granted_at = granted_at
        self.leaving = False
        self._settings = settings
        self._serials = itertools.count()
        self._active: dict[int, Reservation] = {}
        self._abandoned: dict[int, _Abandoned] = {}
        self._inherited = 0
        self._inherited_until = granted_at
        self._inherit(grant, granted_at)

    def _inherit(self, grant: BackendGrant, now: timedelta) -> None:
        if grant.taken_until is not None and grant.taken_until > now:
            self._inherited = grant.slots
            self._inherited_until = grant.taken_until
            self.granted_at = now

    @property
    def limit(self) -> int:
        """How many requests may be there at once."""
        return max(0, min(self.grant.slots, self.grant.connections))

    @property
    def idle_connections(self) -> int:
        """How many idle connections may be kept.

        An owner uses at most half of the connections, so that its successor
        finds room even if it froze with all of them open.
        """
        spare = self.grant.connections // 2 - self.limit
        return max(0, min(self.limit, spare))

    @property
    def running(self) -> int:
        """How many requests have been dispatched and not been given up on."""
        return len(self._active)

    def count_used(self, now: timedelta) -> int:
        """Return the slots in use, with those whose end is not proved."""
        self._expire(now)
        return len(self._active) + len(self._abandoned) + self._inherited

    def is_serving(self, now: timedelta) -> bool:
        """Say whether the lease is valid and the backend server stays."""
        return not self.leaving and now < self.grant.valid_until

    def is_idle(self, now: timedelta) -> bool:
        """Say whether no slot is in use."""
        return self.count_used(now) == 0

    def count_room(self, now: timedelta) -> int:
        """Return how many more requests may be dispatched."""
        if not self.is_serving(now):
            return 0
        return max(0, self.limit - self.count_used(now))

    def replace_grant(self, grant: BackendGrant, now: timedelta) -> None:
        """Take a grant of the same or a newer epoch."""
        if grant.epoch > self.grant.epoch:
            self._inherit(grant, now)
            self.leaving = False
        self.grant = grant

    def reserve(self, request_id: RequestId, now: timedelta) -> Reservation | None:
        """Take a slot for ``request_id``, or return ``None`` if there is none."""
        if self.count_room(now) <= 0:
            return None
        reservation = Reservation(
            server=self.grant.server,
            serial=next(self._serials),
            request_id=request_id,
            started_at=now,
        )
        self._active[reservation.serial] = reservation
        used = self.count_used(now)
        check_invariant(
            used <= self.limit, "slots-within-grant", f"{used} of {self.limit} used"
        )
        return reservation

    def release(self, reservation: Reservation) -> None:
        """Free the slot of a request whose end is proved."""
        held = self._active.pop(reservation.serial, None)
        check_invariant(
            held == reservation, "slot-released-once", reservation.request_id
        )

    def abandon(self, reservation: Reservation, now: timedelta) -> None:
        """Give up on a request that may still run; its slot stays taken."""
        self.release(reservation)
        settings = self._settings
        until = reservation.started_at + settings.longest_timeout + settings.settle_time
        self._abandoned[reservation.serial] = _Abandoned(
            reservation.request_id, now, until
        )

    def take_report(self, report: ServerReport, now: timedelta) -> None:
        """Free the slots that the backend server's own word proves free."""
        counted_after = report.counted_after
        if counted_after is None:
            counted_after = now - self._settings.report_age
        known = counted_after - self._settings.settle_time
        if known >= self.granted_at:
            self._inherited = min(self._inherited, self._count_foreign(report))
        ended = [
            serial
            for serial, abandoned in self._abandoned.items()
            if abandoned.closed_at <= known
            and abandoned.request_id not in (report.running_ids or ())
        ]
        if report.running_ids is None:
            ended = ended[: max(0, len(ended) - report.running)]
        for serial in ended:
            del self._abandoned[serial]

    def _count_foreign(self, report: ServerReport) -> int:
        if report.running_ids is None:
            return report.running
        own = {each.request_id for each in self._active.values()}
        own.update(each.request_id for each in self._abandoned.values())
        return len(report.running_ids - own)

    def _expire(self, now: timedelta) -> None:
        if self._inherited and now >= self._inherited_until:
            self._inherited = 0
        if self._abandoned:
            over = [key for key, each in self._abandoned.items() if now >= each.until]
            for serial in over:
                del self._abandoned[serial]


class OwnedServers:
    """The backend servers this entry holds leases on.

    Parameters
    ----------
    clock
        Its monotonic time is what leases are checked against.
    settings
        Limits of the request path.
    """

    def __init__(self, clock: Clock, settings: RoutingSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._ledgers: dict[BackendServerId, SlotLedger] = {}
        self._services: dict[ServiceName, dict[BackendServerId, SlotLedger]] = {}
        self._newest: dict[BackendServerId, Epoch] = {}
        self._retired: dict[BackendServerId, SlotLedger] = {}
        self._watchers: list[Callable[[ServiceName, BackendServerId], None]] = []

    def watch(self, watcher: Callable[[ServiceName, BackendServerId], None]) -> None:
        """Have ``watcher`` called after each change of a backend server."""
        self._watchers.append(watcher)

    def _notify(self, ledger: SlotLedger) -> None:
        for watcher in self._watchers:
            watcher(ledger.grant.service, ledger.grant.server)

    def grant(self, grant: BackendGrant) -> Result[None, StaleGrant]:
        """Take a lease, or a new size of one already held."""
        newest = self._newest.get(grant.server)
        if newest is not None and grant.epoch < newest:
            return Failure(StaleGrant(grant.epoch, newest))
        now = self._clock.monotonic()
        ledger = self._ledgers.get(grant.server) or self._take_retired(grant.server)
        if ledger is None:
            ledger = SlotLedger(grant, now, self._settings)
        else:
            self._drop_from_service(ledger)
            ledger.replace_grant(grant, now)
        self._ledgers[grant.server] = ledger
        self._newest[grant.server] = grant.epoch
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
        if valid_until > ledger.grant.valid_until:
            ledger.grant = msgspec.structs.replace(
                ledger.grant, valid_until=valid_until
            )
            self._notify(ledger)
        return Success(None)

    def revoke(self, server: BackendServerId) -> None:
        """Give ``server`` up at once; requests there run on to their end."""
        ledger = self._ledgers.pop(server, None)
        if ledger is not None:
            ledger.leaving = True
            self._drop_from_service(ledger)
            self._retired[server] = ledger
            self._notify(ledger)
        self._drop_idle_retired()

    def mark_leaving(self, server: BackendServerId) -> None:
        """Send nothing new to ``server``; the lease stays."""
        if server in self._ledgers:
            self._ledgers[server].leaving = True

    def report(self, report: ServerReport) -> None:
        """Take a backend server's own word on what it runs."""
        ledger = self._ledgers.get(report.server)
        if ledger is not None:
            ledger.take_report(report, self._clock.monotonic())
            self._notify(ledger)

    def get(self, server: BackendServerId) -> SlotLedger | None:
        """Return the ledger of ``server`` if it is owned."""
        return self._ledgers.get(server)

    def iterate(self, service: ServiceName) -> Iterable[SlotLedger]:
        """Return the ledgers of the backend servers of ``service``."""
        return self._services.get(service, {}).values()

    def list_services(self) -> list[ServiceName]:
        """Return the services that have a backend server here."""
        return [name for name, ledgers in self._services.items() if ledgers]

    def count_room(self, service: ServiceName) -> int:
        """Return how many more requests of ``service`` may be dispatched."""
        now = self._clock.monotonic()
        return sum(ledger.count_room(now) for ledger in self.iterate(service))

    def count_slots(self, service: ServiceName) -> int:
        """Return the slots of ``service`` under valid leases."""
        now = self._clock.monotonic()
        ledgers = self.iterate(service)
        return sum(each.limit for each in ledgers if now < each.grant.valid_until)

    def make_target(self, ledger: SlotLedger) -> BackendTarget | None:
        """Return where to send now, or ``None`` if the lease has lapsed."""
        grant = ledger.grant
        if self._clock.monotonic() >= grant.valid_until:
            return None
        return BackendTarget(
            server=grant.server,
            address=grant.address,
            epoch=grant.epoch,
            valid_until=grant.valid_until,
            idle_connections=ledger.idle_connections,
            answers_until_close=grant.answers_until_close,
        )

    def _take_retired(self, server: BackendServerId) -> SlotLedger | None:
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
