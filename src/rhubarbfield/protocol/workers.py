"""Streams that workers and backend servers open to the system."""

from __future__ import annotations

from rhubarbfield.announcements import FromBackendServer, ToBackendServer
from rhubarbfield.peering import StreamMethod
from rhubarbfield.workers import FromWorker, ToWorker

WORKER_STREAM = StreamMethod("/rhubarbfield.Workers/Session", FromWorker, ToWorker)
BACKEND_SERVER_STREAM = StreamMethod(
    "/rhubarbfield.BackendServers/Announce", FromBackendServer, ToBackendServer
)
