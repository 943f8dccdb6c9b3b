"""Handlers of other processes' calls and streams to a controller."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Success

from rhubarbfield.clock import Clock
from rhubarbfield.controller.leading import DomainLeader, FleetLeader
from rhubarbfield.controller.queries import OperatorService
from rhubarbfield.controller.statemachines import DomainLogState, FleetLogState
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.machine import Command, Done, Reply
from rhubarbfield.ownership import AssignServer, plan_claim
from rhubarbfield.peering import CallMethod, MessageStream
from rhubarbfield.peering.ports import CallHandler
from rhubarbfield.protocol import (
    DOMAIN_CALL,
    FLEET_CALL,
    QUERY_CALL,
    SUMMARY_CALL,
    DomainRequest,
    DomainSummary,
    EntryRefused,
    NotLeading,
    QueryAnswer,
    QueryRequest,
    Unavailable,
)
from rhubarbfield.types import FailureDomain

CommandT = TypeVar("CommandT", bound=Command)


class ControllerCalls:
    """Answers the calls and serves the streams of other processes.

    Parameters
    ----------
    domain
        The failure domain of this instance.
    domain_log, fleet_log
        The logs as applied on this instance.
    operators
        Answers other controllers' queries.
    get_domain_leader, get_fleet_leader
        Return the current leadership, or None while this instance does not lead.
    clock
        Source of time.
    """

    def __init__(
        self,
        *,
        domain: FailureDomain,
        domain_log: ReplicatedLog[DomainLogState],
        fleet_log: ReplicatedLog[FleetLogState],
        operators: OperatorService,
        get_domain_leader: Callable[[], DomainLeader | None],
        get_fleet_leader: Callable[[], FleetLeader | None],
        clock: Clock,
    ) -> None:
        self._domain = domain
        self._domain_log = domain_log
        self._fleet_log = fleet_log
        self._operators = operators
        self._get_domain_leader = get_domain_leader
        self._get_fleet_leader = get_fleet_leader
        self._clock = clock

    def map_handlers(self) -> dict[CallMethod, CallHandler]:
        """Return the handler of each call."""
        return {
            DOMAIN_CALL: self.commit_to_domain,
            FLEET_CALL: self.commit_to_fleet,
            QUERY_CALL: self.query,
            SUMMARY_CALL: self.record_summary,
        }

    async def commit_to_domain(
        self, request: DomainRequest
    ) -> Reply | NotLeading | Unavailable:
        """Commit a command to the domain's log."""
        if request.domain != self._domain:
            return NotLeading()
        if not self._domain_log.leads():
            return NotLeading(self._domain_log.replica.leader_hint)
        command: Command = self._set_time(request.command)
        if isinstance(command, AssignServer):
            planned = plan_claim(self._domain_log.state.ownership, command)
            match planned:
                case Failure(owned_elsewhere):
                    return owned_elsewhere
                case Success(claim):
                    command = claim
        return await _commit(self._domain_log, command)

    async def commit_to_fleet(
        self, command: Command
    ) -> Reply | NotLeading | Unavailable:
        """Commit a command to the fleet's log."""
        return await _commit(self._fleet_log, self._set_time(command))

    async def query(self, request: QueryRequest) -> QueryAnswer | NotLeading:
        """Answer a query from the domain that this instance leads."""
        return self._operators.answer_domain(request)

    async def record_summary(self, summary: DomainSummary) -> Done | NotLeading:
        """Record a domain's report of its free capacity."""
        leader = self._get_fleet_leader()
        if leader is None:
            return NotLeading(self._fleet_log.replica.leader_hint)
        leader.record_summary(summary)
        return Done()

    async def serve_entry(self, stream: MessageStream) -> None:
        """Serve the stream of an entry."""
        leader = self._get_domain_leader()
        if leader is not None:
            await leader.entries.serve(stream)
            return
        hint = self._domain_log.replica.leader_hint
        await stream.send(EntryRefused(leader=hint, reason="not the leader"))

    def _set_time(self, command: CommandT) -> CommandT:
        """Set the time of a command that has an ``at`` field to the leader's time."""
        if "at" not in command.__struct_fields__:
            return command
        stamped: Any = command
        return msgspec.structs.replace(stamped, at=self._clock.now())


async def _commit(
    log: ReplicatedLog[Any], command: Command
) -> Reply | NotLeading | Unavailable:
    match await log.propose(command):
        case Success(reply):
            return reply
        case Failure(failure):
            return failure
    raise AssertionError
