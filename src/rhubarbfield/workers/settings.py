"""Times and sizes of the sessions of workers."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.leases import LeaseTerms


class WorkerSessionSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How a controller treats its workers.

    Attributes
    ----------
    lease
        The lease of each worker.
    renew_interval
        How often a worker is told to renew its lease.
    silence_limit
        How long a connection may be silent before it is closed.
    send_deadline
        How long one send may take.
    sweep_interval
        How often lapsed leases are looked for.
    retry_delay
        How long to wait before the log is asked again.
    max_connections
        How many connections are served at once.
    """

    lease: LeaseTerms = LeaseTerms(duration=timedelta(seconds=10), drift=0.01)
    renew_interval: timedelta = timedelta(seconds=3)
    silence_limit: timedelta = timedelta(seconds=7)
    send_deadline: timedelta = timedelta(seconds=2)
    sweep_interval: timedelta = timedelta(milliseconds=500)
    retry_delay: timedelta = timedelta(milliseconds=250)
    max_connections: int = 512
