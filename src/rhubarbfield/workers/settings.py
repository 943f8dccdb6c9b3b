"""Settings of the sessions of workers."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.leases import LeaseTerms


class WorkerSessionSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts, intervals and limits for workers.

    Attributes
    ----------
    lease
        The lease of each worker.
    renew_interval
        The interval at which workers have to renew their lease.
    silence_timeout
        How long a connection may stay silent before it is closed.
    send_timeout
        How long one send may take.
    sweep_interval
        The interval between checks for lapsed leases.
    retry_delay
        How long to wait before a call to the log is repeated.
    max_connections
        The largest number of concurrent connections.
    usage_interval
        The shortest interval between two usage reports of a worker.
    usage_report_bytes
        The assumed size of a usage report.
    usage_bytes_per_second
        The limit for all usage reports together. With many workers each of
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
        """Return the interval of usage reports for each of ``workers`` workers.

        Parameters
        ----------
        workers
            The number of workers that report to this controller.
        """
        seconds = workers * self.usage_report_bytes / self.usage_bytes_per_second
        return max(self.usage_interval, timedelta(seconds=seconds))
