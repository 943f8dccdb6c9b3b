"""Exact counts of the slots and connections of owned backend servers.

An entry owns a backend server under a lease of its failure domain's
controller. While the lease is valid, no other entry sends requests to the
server, so the counts kept here are complete except for abandoned requests and
requests of a previous owner. These occupy their slots until the backend
server's own report or the longest timeout proves that they have ended.
"""

from __future__ import annotations

import itertools
from datetime import timedelta

import msgspec

from rhubarbfield.exceptions import check_invariant
from rhubarbfield.routing.grants import BackendGrant, Reservation, ServerReport
from rhubarbfield.routing.ports import Lease
from rhubarbfield.routing.requests import DispatchId
from rhubarbfield.routing.settings import LiveSettings
from rhubarbfield.types import RequestId


class _Abandoned(msgspec.Struct, frozen=True):
    dispatch_id: DispatchId
    closed_at: timedelta
    ends_by: timedelta


class SlotLedger:
    """The slots of one owned backend server.

    Parameters
    ----------
    grant
        First grant of the backend server.
    granted_at
        Monotonic time at which the grant arrived.
    settings
        Limits of the request path.
    """

    def __init__(
        self, grant: BackendGrant, granted_at: timedelta, settings: LiveSettings
    ) -> None:
        self.grant = grant
        self.lease = Lease(grant.valid_until)
        self.granted_at = granted_at
        self.leaving = grant.leaving
        self._settings = settings
        self._serials = itertools.count()
        self._active: dict[int, Reservation] = {}
        self._abandoned: dict[int, _Abandoned] = {}
        self._inherited = 0
        self._inherited_until = granted_at
        self._inherit(grant, granted_at)

    def _inherit(self, grant: BackendGrant, now: timedelta) -> None:
        if grant.inherited_until is not None and grant.inherited_until > now:
            self._inherited = grant.slots
            self._inherited_until = grant.inherited_until
            self.granted_at = now

    @property
    def limit(self) -> int:
        """Maximum number of requests that run at the backend server at once."""
        return max(0, min(self.grant.slots, self.grant.connections))

    @property
    def idle_connections(self) -> int:
        """Maximum number of idle connections that are kept open.

        An owner uses at most half of the connections, so that the next owner
        has enough left even if this one froze with all of its own open.
        """
        spare = self.grant.connections // 2 - self.limit
        return max(0, min(self.limit, spare))

    @property
    def running(self) -> int:
        """Number of dispatched requests that are neither ended nor abandoned."""
        return len(self._active)

    def count_used(self, now: timedelta) -> int:
        """Return how many slots are used, also by abandoned and inherited requests."""
        self._expire(now)
        return len(self._active) + len(self._abandoned) + self._inherited

    def is_serving(self, now: timedelta) -> bool:
        """Return whether new requests may be sent at the monotonic time ``now``."""
        return not self.leaving and self.lease.is_valid(now)

    def is_idle(self, now: timedelta) -> bool:
        """Return whether no slot is occupied."""
        return self.count_used(now) == 0

    def count_free_slots(self, now: timedelta) -> int:
        """Return how many more requests may be dispatched."""
        if not self.is_serving(now):
            return 0
        return max(0, self.limit - self.count_used(now))

    def replace_grant(self, grant: BackendGrant, now: timedelta) -> None:
        """Apply a grant of the same or a newer epoch."""
        if grant.epoch > self.grant.epoch:
            self._inherit(grant, now)
            self.lease.end()
            self.lease = Lease(grant.valid_until)
        self.leaving = grant.leaving
        self.grant = grant
        self.lease.valid_until = grant.valid_until

    def renew(self, valid_until: timedelta) -> None:
        """Extend the lease; an earlier ``valid_until`` has no effect."""
        self.lease.valid_until = max(self.lease.valid_until, valid_until)

    def retire(self) -> None:
        """End the lease, also for requests whose slots are already reserved."""
        self.leaving = True
        self.lease.end()

    def reserve(self, request_id: RequestId, now: timedelta) -> Reservation | None:
        """Reserve a slot for ``request_id``; return ``None`` if none is free."""
        if self.count_free_slots(now) <= 0:
            return None
        settings = self._settings.current
        serial = next(self._serials)
        reservation = Reservation(
            server=self.grant.server,
            serial=serial,
            dispatch_id=DispatchId(f"{self.grant.epoch}.{serial}"),
            request_id=request_id,
            started_at=now,
            ends_by=now + settings.longest_timeout + settings.settle_time,
        )
        self._active[reservation.serial] = reservation
        used = self.count_used(now)
        check_invariant(
            used <= self.limit, "slots-within-grant", f"{used} of {self.limit} used"
        )
        return reservation

    def release(self, reservation: Reservation) -> None:
        """Release the slot of a request that has certainly ended."""
        held = self._active.pop(reservation.serial, None)
        check_invariant(
            held == reservation, "slot-released-once", reservation.request_id
        )

    def abandon(self, reservation: Reservation, now: timedelta) -> None:
        """Stop waiting for a request that may still run; its slot stays occupied."""
        self.release(reservation)
        self._abandoned[reservation.serial] = _Abandoned(
            reservation.dispatch_id, now, reservation.ends_by
        )

    def apply_report(self, report: ServerReport, now: timedelta) -> None:
        """Release the slots of requests that ``report`` proves to have ended."""
        counted_after = report.counted_after
        if counted_after is None:
            counted_after = now - self._settings.current.report_age
        covered_until = counted_after - self._settings.current.settle_time
        if covered_until >= self.granted_at:
            self._inherited = min(self._inherited, self._count_inherited(report))
        ended = [
            serial
            for serial, abandoned in self._abandoned.items()
            if abandoned.closed_at <= covered_until
            and abandoned.dispatch_id not in (report.running_ids or ())
        ]
        if report.running_ids is None:
            ended = ended[: max(0, len(ended) - report.running)]
        for serial in ended:
            del self._abandoned[serial]

    def _count_inherited(self, report: ServerReport) -> int:
        if report.running_ids is None:
            return report.running
        own = {each.dispatch_id for each in self._active.values()}
        own.update(each.dispatch_id for each in self._abandoned.values())
        return len(report.running_ids - own)

    def _expire(self, now: timedelta) -> None:
        if self._inherited and now >= self._inherited_until:
            self._inherited = 0
        if self._abandoned:
            expired = [
                key for key, each in self._abandoned.items() if now >= each.ends_by
            ]
            for serial in expired:
                del self._abandoned[serial]
