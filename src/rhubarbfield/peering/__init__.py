"""Typed messages between processes, carried by gRPC.

Everything that knows of :mod:`grpclib` or of asyncio lives in this package.
The rest of the program sees :class:`Transport`, :class:`MessageStream`,
:class:`StreamMethod` and :class:`CallMethod`, all of them plain trio.
"""

from rhubarbfield.peering.bridge import open_bridge
from rhubarbfield.peering.credentials import Credentials
from rhubarbfield.peering.links import PeerLinks, serve_link
from rhubarbfield.peering.pool import ConnectionPool
from rhubarbfield.peering.ports import (
    CallFailure,
    CallFailureKind,
    CallMethod,
    Connection,
    Encoding,
    MessageStream,
    StreamMethod,
    Transport,
)
from rhubarbfield.peering.transport import GrpcTransport, connect, dial

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
    "Transport",
    "GrpcTransport",
    "connect",
    "open_bridge",
    "dial",
    "serve_link",
]
