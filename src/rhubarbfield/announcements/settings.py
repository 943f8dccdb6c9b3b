"""Settings of the sessions of backend servers."""

from __future__ import annotations

from datetime import timedelta

import msgspec


class AnnouncementSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts, intervals and limits for backend servers.

    Attributes
    ----------
    heartbeat_interval
        The shortest interval between two heartbeats of a backend server.
    heartbeats_per_second
        The target for the heartbeats of all backend servers of this entry
        together. With many servers each of them gets a longer interval.
    silence_timeout
        How long a backend server with the shortest interval may stay silent
        before it gets no new requests; with longer intervals it grows in
        proportion. It also limits, whatever the interval, the time since the
        last connection of a server ended without a new one.
    release_after
        How long a server may stay silent before the entry releases it.
    send_timeout
        How long one send may take.
    retry_delay
        How long to wait between two calls to the domain.
    max_connections
        The largest number of concurrent connections.
    """

    heartbeat_interval: timedelta = timedelta(milliseconds=500)
    heartbeats_per_second: float = 40.0
    silence_timeout: timedelta = timedelta(milliseconds=1600)
    release_after: timedelta = timedelta(seconds=60)
    send_timeout: timedelta = timedelta(seconds=1)
    retry_delay: timedelta = timedelta(milliseconds=250)
    max_connections: int = 512

    def choose_heartbeat_interval(self, servers: int) -> timedelta:
        """Return the heartbeat interval for each of ``servers`` backend servers.

        Parameters
        ----------
        servers
            The number of backend servers connected to this entry.
        """
        shared = timedelta(seconds=servers / self.heartbeats_per_second)
        return max(self.heartbeat_interval, shared)
