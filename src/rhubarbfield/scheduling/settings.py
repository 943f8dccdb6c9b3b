"""Settings of scheduling: timeouts and limits."""

from __future__ import annotations

from datetime import timedelta

import msgspec


class SchedulingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the leader of a deployment.

    Attributes
    ----------
    lease
        How long runs on a worker continue without contact with a leader; longer
        than a restart of all controllers.
    longest_lease
        Longest lease that workers grant; set by their platform.
    clock_drift
        Fraction by which a worker's clock may be slow.
    order_timeout
        Timeout of a reply to an order; ten times the time of a reply under load.
    order_attempts
        Number of attempts to send a start order before the run is stopped.
    view_timeout
        How long a view of a worker waits for a run to end.
    view_interval
        Minimum time between two views of one worker; ends within it are recorded
        together.
    watched_view_timeout
        Replaces ``view_timeout`` for workers with serving tasks.
    silence_timeout
        Time without contact after which a worker receives no new runs.
    quarantine_failures
        Consecutive failed runs after which a worker is quarantined.
    failure_retention
        Time after which a failed run no longer counts towards the next quarantine.
    quarantine_duration
        How long a quarantine lasts.
    standing_probe_delay
        Time after the last failure from which a standing task that was interrupted,
        and that no other worker can take, may probe a quarantined worker.
    standing_probe_duration
        How long a probe has to run without failing until standing tasks that were
        interrupted may follow. With ``standing_probe_delay`` it is less than the 7 s
        for which the platform tolerates a standstill beside a worker that works again.
    probe_duration
        How long a probe has to run without failing to end probation, with progress
        if it is finite; faulty workers fail runs within 50 ms.
    ended_job_retention
        How long ended jobs can be read.
    stall_timeout
        How long a run at full speed may make no progress; the slowest task of
        both deployments gains one percent every 70 ms.
    starvation_timeout
        How long nothing of a job may work while its next step can run only where it
        harms serving tasks; then a task starts there all the same. While most cores
        are free the job does not wait for it again; the platform tolerates 3 s.
    harm_save_interval
        Interval at which learned interference estimates are replicated.
    margin_lifetime
        For how long a task that would harm serving tasks is compared only with
        workers whose runs have changed.
    silent_worker_retention
        Time without contact after which a worker without runs is removed.
    """

    lease: timedelta = timedelta(seconds=6)
    longest_lease: timedelta = timedelta(seconds=10)
    clock_drift: float = 0.02
    order_timeout: timedelta = timedelta(milliseconds=700)
    order_attempts: int = 3
    view_timeout: timedelta = timedelta(milliseconds=1500)
    view_interval: timedelta = timedelta(milliseconds=150)
    watched_view_timeout: timedelta = timedelta(milliseconds=500)
    silence_timeout: timedelta = timedelta(milliseconds=2500)
    quarantine_failures: int = 2
    failure_retention: timedelta = timedelta(seconds=60)
    quarantine_duration: timedelta = timedelta(seconds=6)
    standing_probe_delay: timedelta = timedelta(seconds=5)
    standing_probe_duration: timedelta = timedelta(seconds=0.5)
    probe_duration: timedelta = timedelta(seconds=2)
    ended_job_retention: timedelta = timedelta(seconds=300)
    stall_timeout: timedelta = timedelta(milliseconds=2500)
    starvation_timeout: timedelta = timedelta(seconds=2)
    harm_save_interval: timedelta = timedelta(seconds=3)
    margin_lifetime: timedelta = timedelta(milliseconds=250)
    silent_worker_retention: timedelta = timedelta(seconds=30)
