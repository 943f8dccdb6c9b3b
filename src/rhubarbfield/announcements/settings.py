"""Times and sizes of the sessions of backend servers."""

from __future__ import annotations

from datetime import timedelta

import msgspec


class AnnouncementSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How an entry treats the backend servers that announce themselves.

    Attributes
    ----------
    heartbeat_interval
        The least time between two heartbeats of a backend server.
    heartbeats_per_second
        How many heartbeats all backend servers together may send to this
        entry. With many of them each is told a longer interval.
    silence_timeout
        How long a backend server that is told the least interval may say
        nothing before it gets no new requests; others may longer, in
        proportion. Whatever the interval, it is also how long one may be
        without a connection after the last has ended.
    release_after
        How long it may say nothing before its entry gives it up.
    send_timeout
        How long one send may take.
    retry_delay
        How long to wait before ownership is asked for again.
    max_connections
        How many connections are served at once.
    """

    heartbeat_interval: timedelta = timedelta(milliseconds=500)
    heartbeats_per_second: float = 40.0
    silence_timeout: timedelta = timedelta(milliseconds=1600)
    release_after: timedelta = timedelta(seconds=60)
    send_timeout: timedelta = timedelta(seconds=1)
    retry_delay: timedelta = timedelta(milliseconds=250)
    max_connections: int = 512

    def choose_heartbeat_interval(self, servers: int) -> timedelta:
        """Return how often each of ``servers`` backend servers is to be heard.

        Parameters
        ----------
        servers
            How many backend servers have a connection to this entry.
        """
        shared = timedelta(seconds=servers / self.heartbeats_per_second)
        return max(self.heartbeat_interval, shared)
