"""Derives the settings of an entry's components from those of its instance."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.announcements import AnnouncementSettings
from rhubarbfield.callers import ServingSettings
from rhubarbfield.routing import RoutingSettings
from rhubarbfield.settings import Settings
from rhubarbfield.types import RequestClass

BYTES_IN_MB = 1_000_000
MAX_SILENCE_TIMEOUT = timedelta(milliseconds=1800)
HEARTBEATS_PER_SILENCE_TIMEOUT = 3


def make_routing_settings(settings: Settings) -> RoutingSettings:
    """Return the limits of the request path."""
    routing = settings.routing
    base = RoutingSettings()
    classes = {
        name: msgspec.structs.replace(
            limits,
            queue_length=routing.longest_queue_requests,
            timeout=_choose_timeout(name, limits.timeout, settings),
        )
        for name, limits in base.classes.items()
    }
    return msgspec.structs.replace(
        base,
        longest_timeout=routing.longest_request,
        body_limit=round(routing.largest_request_mb * BYTES_IN_MB),
        answer_limit=round(routing.largest_answer_mb * BYTES_IN_MB),
        retry_ratio=routing.retry_budget_fraction,
        ejection_failures=routing.ejection_failures,
        ejection_time=routing.ejection,
        ejection_cap=routing.largest_ejected_fraction,
        slow_start=routing.slow_start,
        classes=classes,
    )


def _choose_timeout(
    name: RequestClass, class_default: timedelta, settings: Settings
) -> timedelta:
    routing = settings.routing
    wanted = class_default if name is RequestClass.BULK else routing.default_request
    return min(wanted, routing.longest_request)


def make_announcement_settings(settings: Settings) -> AnnouncementSettings:
    """Return the timing of the sessions of backend servers."""
    silence = min(settings.timing.silence, MAX_SILENCE_TIMEOUT)
    heartbeat = min(settings.timing.heartbeat, silence / HEARTBEATS_PER_SILENCE_TIMEOUT)
    return AnnouncementSettings(heartbeat_interval=heartbeat, silence_timeout=silence)


def make_serving_settings(settings: Settings) -> ServingSettings:
    """Return the timing of the HTTP server for callers."""
    timing = settings.timing
    return ServingSettings(
        keep_alive=timing.readiness_off,
        readiness_propagation_delay=timing.readiness_off + timedelta(milliseconds=500),
        drain_timeout=timing.longest_stop,
        largest_body=make_routing_settings(settings).body_limit,
    )
