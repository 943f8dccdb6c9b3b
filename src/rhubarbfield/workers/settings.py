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
    silence_timeout
        How long a connection may be silent before it is closed.
    send_timeout
        How long one send may take.
    sweep_interval
        How often lapsed leases are looked for.
    retry_delay
        How long to wait before the log is asked again.
    max_connections
        How many connections are served at once.
    usage_interval
        The least time between two usage reports of a worker.
    usage_report_bytes
        The size of a usage report to reckon with.
    usage_bytes_per_second
        What all usage reports together may take. With many workers each of
        them reports less often.
    """

    lease: LeaseTerms = LeaseTerms(duration=timedelta(seconds=10), drift=0.01)
    renew_interval: timedelta = timedelta(seconds=3)
    silence_timeout: timedelta = timedelta(seconds=7)
    send_timeout: timedelta = timedelta(seconds=2)
    sweep_interval: timedelta = timedelta(milliseconds=500)
    retry_delay: timedelta = timedelta(milliseconds=250)
    max_connections: int = 512
    usage_interval: timedelta = timedelta(seconds=5)
    usage_report_bytes: int = 2600
    usage_bytes_per_second: int = 10_000

    def choose_usage_interval(self, workers: int) -> timedelta:
        """Return how often each of ``workers`` workers is to report usage.

        Parameters
        ----------
        workers
            How many workers report to this controller.
        """
        seconds = workers * self.usage_report_bytes / self.usage_bytes_per_second
        return max(self.usage_interval, timedelta(seconds=seconds))
