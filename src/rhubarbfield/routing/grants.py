"""Leases on backend servers, and what backend servers report."""

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
        How many requests and connections the owner may have there.
    epoch
        Grows with each change of owner.
    valid_until
        Monotonic time at which the lease ends unless renewed.
    inherited_until
        Monotonic time up to which requests of an earlier owner may run;
        ``None`` if there was none.
    leaving
        Whether nothing new may be sent, as the backend server is leaving.
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
    inherited_until: timedelta | None = None
    leaving: bool = False
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
        Counts the reservations of this owner.
    dispatch_id
        Tells apart all attempts ever sent to the backend server, of any owner.
    started_at
        Monotonic time at which the slot was taken.
    ends_by
        Monotonic time at which the request has surely ended.
    """

    server: BackendServerId
    serial: int
    dispatch_id: DispatchId
    request_id: RequestId
    started_at: timedelta
    ends_by: timedelta


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
        The dispatches it ran, if it says so.
    """

    server: BackendServerId
    running: int
    counted_after: timedelta | None = None
    running_ids: frozenset[DispatchId] | None = None
