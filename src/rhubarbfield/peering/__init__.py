"""Typed messages between processes, carried by gRPC.

Everything that knows of :mod:`grpclib` or of asyncio lives in this package.
The rest of the program sees :class:`MessageStream`, :class:`StreamMethod` and
:class:`CallMethod`, all of them plain trio.
"""

from rhubarbfield.peering.bridge import open_bridge
from rhubarbfield.peering.client import Connection, connect, dial, open_connection
from rhubarbfield.peering.credentials import Credentials
from rhubarbfield.peering.links import PeerLinks, serve_link
from rhubarbfield.peering.pool import ConnectionPool
from rhubarbfield.peering.ports import (
    CallFailure,
    CallFailureKind,
    CallMethod,
    Encoding,
    MessageStream,
    StreamMethod,
)
from rhubarbfield.peering.server import serve_methods

__all__ = [
    "CallFailure",
    "CallFailureKind",
    "CallMethod",
    "Connection",
    "ConnectionPool",
    "Credentials",
    "Encoding",
    "MessageStream",
    "PeerLinks",
    "StreamMethod",
    "connect",
    "open_bridge",
    "dial",
    "open_connection",
    "serve_link",
    "serve_methods",
]
