"""Times and sizes of the sessions of backend servers."""

from __future__ import annotations

from datetime import timedelta

import msgspec


class AnnouncementSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How an entry treats the backend servers that announce themselves.

    Attributes
    ----------
    heartbeat_interval
        How often a backend server is told to send heartbeats.
    silence_limit
        How long it may say nothing, over all its connections, before it gets
        no new requests. Below two seconds, to keep the promise made to users.
    release_after
        How long it may say nothing before its entry gives it up.
    send_deadline
        How long one send may take.
    retry_delay
        How long to wait before ownership is asked for again.
    max_connections
        How many connections are served at once.
    """

    heartbeat_interval: timedelta = timedelta(milliseconds=500)
    silence_limit: timedelta = timedelta(milliseconds=1600)
    release_after: timedelta = timedelta(seconds=60)
    send_deadline: timedelta = timedelta(seconds=1)
    retry_delay: timedelta = timedelta(milliseconds=250)
    max_connections: int = 512
