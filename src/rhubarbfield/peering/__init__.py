"""Transport of typed messages between processes over gRPC.

Only this package uses :mod:`grpclib` and asyncio. The rest of the program uses
:class:`Transport`, :class:`MessageStream`, :class:`StreamMethod` and
:class:`CallMethod`, which depend on trio only.
"""

from rhubarbfield.peering.bridge import open_bridge
from rhubarbfield.peering.credentials import Credentials
from rhubarbfield.peering.links import PeerLinks, serve_link
from rhubarbfield.peering.listener import find_least_bytes
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
    UnsendableMessageError,
)
from rhubarbfield.peering.streamedcalls import (
    make_call_stream,
    open_streamed_calls,
    serve_calls,
)
from rhubarbfield.peering.transport import GrpcTransport, connect, dial, send_or_drop

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
    "UnsendableMessageError",
    "GrpcTransport",
    "find_least_bytes",
    "connect",
    "open_bridge",
    "dial",
    "make_call_stream",
    "open_streamed_calls",
    "serve_calls",
    "send_or_drop",
    "serve_link",
]
