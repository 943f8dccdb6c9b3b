"""Calls to controllers."""

from __future__ import annotations

import msgspec

from rhubarbfield.fleet import FLEET_REPLY_TYPES, fleet_commands
from rhubarbfield.groups import NotLeading, Unavailable
from rhubarbfield.language import Explain, Show, Table
from rhubarbfield.machine import Done, Refused, join_types
from rhubarbfield.ownership import (
    OWNERSHIP_REPLIES,
    AssignServer,
    EndEntrySession,
    ForgetServer,
    ReleaseServer,
    SetServerState,
    SettleServer,
    UpdateServer,
)
from rhubarbfield.peering import CallMethod
from rhubarbfield.records import (
    RECORD_REPLIES,
    BeginRequest,
    ClearRequest,
    FinishRequest,
    RecordsFull,
)
from rhubarbfield.types import FailureDomain


class QueryRequest(msgspec.Struct, frozen=True, tag=True):
    """An operator's query, forwarded to the leader of a failure domain."""

    domain: FailureDomain
    statement: Show | Explain


class QueryAnswer(msgspec.Struct, frozen=True, tag=True):
    """Part of the answer to a query that comes from one failure domain.

    Attributes
    ----------
    table
        All matching rows of this domain.
    found
        False if the object to explain does not exist in this domain.
    """

    table: Table
    found: bool = True


DomainCommand = (
    AssignServer
    | ReleaseServer
    | ForgetServer
    | SetServerState
    | SettleServer
    | UpdateServer
    | EndEntrySession
    | BeginRequest
    | FinishRequest
    | ClearRequest
)

_COMMON_REPLIES = (Done, Refused, NotLeading, Unavailable)
_DOMAIN_REPLIES: tuple[type, ...] = (
    *_COMMON_REPLIES,
    *OWNERSHIP_REPLIES,
    *RECORD_REPLIES,
)
_FLEET_REPLIES: tuple[type, ...] = (*_COMMON_REPLIES, *FLEET_REPLY_TYPES)


class DomainRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Command for the log of one failure domain.

    Attributes
    ----------
    domain
        Failure domain of the log; controllers of other domains refuse the command.
    command
        Command to commit.
    """

    domain: FailureDomain
    command: DomainCommand


DOMAIN_CALL = CallMethod(
    "/rhubarbfield.Controller/Domain",
    DomainRequest,
    join_types(_DOMAIN_REPLIES),
)


def settles_domain_attempts(_request: DomainRequest, reply: object) -> bool:
    """Return whether a reply also answers for earlier attempts of a request.

    Each reply tells what is stored, so that a later attempt is told the same, but
    one: an earlier attempt may begin a record once there is room again.
    """
    return not isinstance(reply, RecordsFull)


FLEET_CALL = CallMethod(
    "/rhubarbfield.Controller/Fleet",
    join_types(fleet_commands.command_types),
    join_types(_FLEET_REPLIES),
)
QUERY_CALL = CallMethod(
    "/rhubarbfield.Controller/Query", QueryRequest, QueryAnswer | NotLeading
)

__all__ = [
    "DOMAIN_CALL",
    "DomainRequest",
    "FLEET_CALL",
    "QUERY_CALL",
    "NotLeading",
    "QueryAnswer",
    "QueryRequest",
    "Unavailable",
    "settles_domain_attempts",
]
