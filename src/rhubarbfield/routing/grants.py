"""Leases on backend servers, slot reservations and reports of backend servers."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.routing.requests import DispatchId
from rhubarbfield.types import BackendServerId, Epoch, RequestId, ServiceName


class BackendGrant(msgspec.Struct, frozen=True, kw_only=True):
    """A lease on a backend server, or on a part of its slots.

    Attributes
    ----------
    address
        ``host:port`` of the backend server.
    slots, connections
        Maximum numbers of requests and connections of the owner at the backend
        server.
    epoch
        Increases with each change of owner.
    valid_until
        Monotonic time at which the lease ends unless renewed.
    inherited_until
        Monotonic time until which requests of a previous owner may run;
        ``None`` if there was no previous owner.
    leaving
        Whether no new requests may be sent, as the backend server is leaving.
    answers_until_close
        Whether the backend server announced answers without a length, which
        end when the connection is closed.
    """

    server: BackendServerId
    service: ServiceName
    address: str
    slots: int
    connections: int
    epoch: Epoch
    valid_until: timedelta
    inherited_until: timedelta | None = None
    leaving: bool = False
    answers_until_close: bool = False


class StaleGrant(msgspec.Struct, frozen=True):
    """A grant or renewal of a superseded epoch.

    Attributes
    ----------
    seen
        Epoch of the grant or renewal.
    held
        Newest epoch known here; ``None`` if the backend server is not owned.
    """

    seen: Epoch
    held: Epoch | None


class Reservation(msgspec.Struct, frozen=True, kw_only=True):
    """One slot reserved for one request.

    Attributes
    ----------
    serial
        Number of the reservation at this owner.
    dispatch_id
        Unique among all attempts that any owner sends to the backend server.
    started_at
        Monotonic time at which the slot was reserved.
    ends_by
        Monotonic time by which the request has certainly ended.
    """

    server: BackendServerId
    serial: int
    dispatch_id: DispatchId
    request_id: RequestId
    started_at: timedelta
    ends_by: timedelta


class ServerReport(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server's own count of the requests it is running.

    Attributes
    ----------
    running
        Number of running requests at the time of the count.
    counted_after
        Monotonic time of this entry that is certainly before the count, such
        as the time at which the report was requested; ``None`` if only the age
        of the report is bounded.
    running_ids
        Dispatch ids of the running requests; ``None`` if not reported.
    """

    server: BackendServerId
    running: int
    counted_after: timedelta | None = None
    running_ids: frozenset[DispatchId] | None = None
