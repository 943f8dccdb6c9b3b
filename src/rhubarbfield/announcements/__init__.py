"""Sessions of backend servers with the entries of their failure domain.

An entry passes each connection to :meth:`AnnouncementSessions.serve`. The
package calls the rest of the entry through two ports, :class:`OwnershipPort`
and :class:`GrantSink`.
"""

from rhubarbfield.announcements.messages import (
    Accepted,
    Announce,
    FromBackendServer,
    GoTo,
    Heartbeat,
    Ping,
    ToBackendServer,
    decode_backend_server_message,
)
from rhubarbfield.announcements.ports import (
    Granted,
    GrantSink,
    OwnedBy,
    OwnershipLost,
    OwnershipPort,
    OwnershipUnavailable,
)
from rhubarbfield.announcements.servers import AnnouncedServer
from rhubarbfield.announcements.sessions import AnnouncementSessions
from rhubarbfield.announcements.settings import AnnouncementSettings

__all__ = [
    "AnnouncementSessions",
    "AnnouncementSettings",
    "AnnouncedServer",
    "OwnershipPort",
    "GrantSink",
    "Granted",
    "OwnedBy",
    "OwnershipLost",
    "OwnershipUnavailable",
    "FromBackendServer",
    "ToBackendServer",
    "decode_backend_server_message",
    "Announce",
    "Heartbeat",
    "Accepted",
    "GoTo",
    "Ping",
]
