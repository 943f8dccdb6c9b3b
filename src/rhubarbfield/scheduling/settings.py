"""Times and limits of scheduling, as settings."""

from __future__ import annotations

from datetime import timedelta

import msgspec


class SchedulingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What the leader of a deployment goes by.

    Attributes
    ----------
    lease
        How long a worker goes on without hearing from a leader; outlives the
        restart of all controllers.
    longest_lease
        The longest lease that workers grant, from their platform.
    clock_drift
        By what fraction a worker's clock may be slow.
    order_timeout
        How long an order may stay without a reply; ten times what a reply
        takes under load.
    order_attempts
        How often an unanswered order is repeated before the run is stopped.
    view_patience
        How long a view of a worker waits for an end.
    view_pause
        Least time between two views of one worker; ends that come together
        are recorded together.
    watch_patience
        The same as ``view_patience`` where standing tasks have goals to be
        watched.
    silence_limit
        A worker without a reply for this long gets no new work.
    distrust_after
        Failed runs in a row, of different jobs, after which a worker is
        distrusted.
    distrust_for
        For how long.
    probe_time
        How long one task goes on without failing on a worker that is then
        trusted again; workers that fail do so within 50 ms.
    remember_ended
        How long ended jobs can be asked for.
    stalled_after
        How long a run may make no progress at full speed; the slowest task
        of both deployments shows one percent each 70 ms.
    starved_after
        How long a job may have nothing running while its next step could run
        only where it harms others; the platform bears 3 s.
    save_harm_every
        How often what is learned of images is replicated.
    forget_silent
        How long a worker that runs nothing may be silent before it is dropped.
    """

    lease: timedelta = timedelta(seconds=6)
    longest_lease: timedelta = timedelta(seconds=10)
    clock_drift: float = 0.02
    order_timeout: timedelta = timedelta(milliseconds=700)
    order_attempts: int = 3
    view_timeout: timedelta = timedelta(milliseconds=1500)
    view_interval: timedelta = timedelta(milliseconds=150)
    watched_view_timeout: timedelta = timedelta(milliseconds=500)
    silence_limit: timedelta = timedelta(milliseconds=2500)
    quarantine_failures: int = 2
    quarantine_duration: timedelta = timedelta(seconds=6)
    probe_duration: timedelta = timedelta(seconds=2)
    ended_job_retention: timedelta = timedelta(seconds=300)
    stall_timeout: timedelta = timedelta(milliseconds=2500)
    starvation_timeout: timedelta = timedelta(seconds=2)
    harm_save_interval: timedelta = timedelta(seconds=3)
    silent_worker_retention: timedelta = timedelta(seconds=30)
