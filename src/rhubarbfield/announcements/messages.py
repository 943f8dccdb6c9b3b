"""The JSON messages between backend servers and entries."""

from __future__ import annotations

from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta
from returns.result import Result

from rhubarbfield.types import (
    MAX_PORT,
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
MAX_NUMBER = 2**53

_ID = Meta(min_length=1, max_length=MAX_ID_LENGTH)
_Number = Meta(ge=0, le=MAX_NUMBER)


class Announce(Message, frozen=True, kw_only=True):
    """The full description of a backend server, sent first and on each change.

    Attributes
    ----------
    number
        Increases with each message on the connection; the answer repeats it.
    server, service
        The id of the server and the service that it serves.
    incarnation
        New at each start of the server process.
    host, port
        Where it accepts requests.
    slots, connections
        The largest numbers of concurrent requests and connections.
    state
        ``leaving`` once it must not get new requests.
    running
        The number of requests that run on it.
    heard
        The number of the latest ``accepted`` that the server had received on
        this connection when it counted ``running``; zero if none. The entry
        uses it to date the count by its own clock.
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
    """Reports the running requests; all else is as in the last announcement.

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
        The entry that sends requests to the server; empty until the domain
        has decided.
    epoch
        The owner epoch; zero while there is no owner.
    heartbeat_seconds
        The interval at which the server has to send heartbeats.
    """

    number: Annotated[int, _Number]
    owner: Annotated[InstanceName, Meta(max_length=MAX_ID_LENGTH)]
    epoch: Annotated[Epoch, _Number]
    heartbeat_seconds: float


class GoTo(Message, frozen=True, kw_only=True):
    """Redirects the server to the entry that owns it.

    Attributes
    ----------
    owner
        The owning entry.
    address
        ``host:port`` at which that entry accepts announcements.
    """

    owner: Annotated[InstanceName, _ID]
    address: Annotated[str, Meta(min_length=1, max_length=MAX_ADDRESS_LENGTH)]


class Ping(Message, frozen=True, kw_only=True):
    """Asks for an immediate announcement."""


FromBackendServer: TypeAlias = Announce | Heartbeat
ToBackendServer: TypeAlias = Accepted | GoTo | Ping | ConnectionRefused

_from_backend_server = msgspec.json.Decoder(FromBackendServer)


def decode_backend_server_message(
    data: bytes,
) -> Result[FromBackendServer, Malformed]:
    """Decode a message from a backend server.

    Parameters
    ----------
    data
        One message as JSON.

    Returns
    -------
    Result[FromBackendServer, Malformed]
        The message, or the reason why it is invalid.
    """
    return decode_message(data, _from_backend_server, MAX_MESSAGE_BYTES)
