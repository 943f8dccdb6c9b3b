"""What backend servers and entries say to each other, as JSON."""

from __future__ import annotations

from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta
from returns.result import Result

from rhubarbfield.types import (
    BackendServerId,
    BackendServerState,
    Epoch,
    Incarnation,
    InstanceName,
    ServiceName,
)
from rhubarbfield.workers.streams import (
    ConnectionRefused,
    Malformed,
    Message,
    decode_message,
)

MAX_MESSAGE_BYTES = 16 * 1024
MAX_ID_LENGTH = 128
MAX_HOST_LENGTH = 255
MAX_ADDRESS_LENGTH = MAX_HOST_LENGTH + 6
MAX_SLOTS = 4096
MAX_CONNECTIONS = 65536
MAX_PORT = 65535
MAX_NUMBER = 2**53

_ID = Meta(min_length=1, max_length=MAX_ID_LENGTH)
_Number = Meta(ge=0, le=MAX_NUMBER)


class Announce(Message, frozen=True, kw_only=True):
    """All that a backend server says of itself: first, and on each change.

    Attributes
    ----------
    number
        Grows with each message on the connection; the answer repeats it.
    server, service
        Who it is and what it serves.
    incarnation
        New at each start of the server process.
    host, port
        Where it takes requests.
    slots, connections
        How many requests and connections it takes at once.
    state
        ``leaving`` once it is to get no new requests.
    running
        How many requests run on it now.
    heard
        The number of the latest ``accepted`` on this connection that had come
        when it counted; zero if none. It dates the count by the entry's clock.
    echoes_request_id
        Whether its answers carry the id of their request.
    close_delimited_answers
        Whether its answers may end with the connection, without a length.
    """

    number: Annotated[int, _Number]
    server: Annotated[BackendServerId, _ID]
    service: Annotated[ServiceName, _ID]
    incarnation: Annotated[Incarnation, _ID]
    host: Annotated[str, Meta(min_length=1, max_length=MAX_HOST_LENGTH)]
    port: Annotated[int, Meta(ge=1, le=MAX_PORT)]
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    connections: Annotated[int, Meta(ge=1, le=MAX_CONNECTIONS)]
    state: BackendServerState = BackendServerState.SERVING
    running: Annotated[int, Meta(ge=0, le=MAX_CONNECTIONS)] = 0
    heard: Annotated[int, _Number] = 0
    echoes_request_id: bool = False
    close_delimited_answers: bool = False


class Heartbeat(Message, frozen=True, kw_only=True):
    """Nothing has changed since the last announcement but what runs.

    Attributes
    ----------
    number, running, heard
        As in :class:`Announce`.
    """

    number: Annotated[int, _Number]
    running: Annotated[int, Meta(ge=0, le=MAX_CONNECTIONS)]
    heard: Annotated[int, _Number] = 0


class Accepted(Message, frozen=True, kw_only=True):
    """Answers an announcement or a heartbeat.

    Attributes
    ----------
    number
        The number of the message that is answered.
    owner
        The entry that sends requests to the server; empty while the domain
        has not decided.
    epoch
        The owner epoch; zero while there is no owner.
    heartbeat_seconds
        How often the server is to send heartbeats.
    """

    number: Annotated[int, _Number]
    owner: Annotated[InstanceName, Meta(max_length=MAX_ID_LENGTH)]
    epoch: Annotated[Epoch, _Number]
    heartbeat_seconds: float


class GoTo(Message, frozen=True, kw_only=True):
    """Another entry owns the server, and wants its announcements.

    Attributes
    ----------
    owner
        That entry.
    address
        ``host:port`` at which it takes announcements.
    """

    owner: Annotated[InstanceName, _ID]
    address: Annotated[str, Meta(min_length=1, max_length=MAX_ADDRESS_LENGTH)]


class Ping(Message, frozen=True, kw_only=True):
    """Asks for an announcement at once."""


FromBackendServer: TypeAlias = Announce | Heartbeat
ToBackendServer: TypeAlias = Accepted | GoTo | Ping | ConnectionRefused

_from_backend_server = msgspec.json.Decoder(FromBackendServer)


def decode_backend_server_message(
    data: bytes,
) -> Result[FromBackendServer, Malformed]:
    """Decode what a backend server sent.

    Parameters
    ----------
    data
        One message as JSON.

    Returns
    -------
    Result[FromBackendServer, Malformed]
        The message, or what is wrong with it.
    """
    return decode_message(data, _from_backend_server, MAX_MESSAGE_BYTES)
