"""Handling of operators' queries and commands."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

import msgspec
import trio
from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.controller.explaining import (
    build_job_explanation,
    build_task_explanation,
)
from rhubarbfield.controller.statemachines import DomainLogState, FleetLogState
from rhubarbfield.controller.tables import (
    DomainView,
    find_domain_table,
    find_fleet_table,
    make_table,
)
from rhubarbfield.fleet import CommandRecord, SubmitCommand
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.language import (
    Explain,
    ExplainedKind,
    Query,
    Show,
    Subject,
    Table,
)
from rhubarbfield.machine import Reply
from rhubarbfield.operators import (
    ControllerStatus,
    FailureKind,
    OperatorFailure,
    Submission,
    read_reply,
)
from rhubarbfield.protocol import (
    LeaderCalls,
    LeaderFailure,
    NotLeading,
    QueryAnswer,
    QueryRequest,
)
from rhubarbfield.settings import Settings
from rhubarbfield.types import FailureDomain, InstanceName

COMMAND_TIMEOUT = timedelta(seconds=8)
DOMAIN_TIMEOUT = timedelta(seconds=3)
LEADER_POLL_INTERVAL = timedelta(milliseconds=100)

_NO_LEADER = LeaderFailure(detail="this instance knows of none", in_doubt=False)
_EMPTY_VIEW = DomainView(
    domain=FailureDomain(""), state=DomainLogState(), versions={}, waits={}
)


class OperatorService:
    """Implements :class:`rhubarbfield.operators.OperatorsPort` on a controller.

    Parameters
    ----------
    settings
        The instance's settings.
    fleet_log
        The fleet's log as applied on this instance.
    fleet
        Calls to the leader of the fleet's log.
    domains
        For each failure domain, calls to its leader.
    view_domain
        Returns a view of this instance's domain while it leads the domain.
    clock
        Source of time.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        fleet_log: ReplicatedLog[FleetLogState],
        fleet: LeaderCalls,
        domains: Mapping[FailureDomain, LeaderCalls],
        view_domain: Callable[[], DomainView | None],
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._fleet_log = fleet_log
        self._fleet = fleet
        self._domains = domains
        self._view_domain = view_domain
        self._clock = clock

    def get_status(self) -> ControllerStatus:
        """Return the status of this controller."""
        log = self._fleet_log
        return ControllerStatus(
            instance=InstanceName(self._settings.instance.name),
            ready=log.replica.is_current,
            leader=log.replica.leader_hint,
            position=log.position,
            configuration_version=log.state.fleet.configuration.version,
        )

    async def command(
        self, submission: Submission
    ) -> Result[CommandRecord, OperatorFailure]:
        """Commit a command to the fleet's log and return its record."""
        if not await self._wait_leader():
            return Failure(_describe_failure(_NO_LEADER))
        command = SubmitCommand(
            operator=submission.operator,
            number=submission.number,
            text=submission.text,
            statement=submission.statement,
            at=self._clock.now(),
        )
        match await self._fleet.call(command, COMMAND_TIMEOUT):
            case Success(Reply() as reply):
                return read_reply(reply)
            case Failure(LeaderFailure() as failure):
                return Failure(_describe_failure(failure))
        return Failure(
            OperatorFailure(kind=FailureKind.INVALID, message="no answer was read")
        )

    async def _wait_leader(self) -> bool:
        """Wait until a leader is known, before which no command is sent.

        A command that is lost in the network leaves its outcome unknown to the
        operator.
        """
        log = self._fleet_log
        with trio.move_on_after(COMMAND_TIMEOUT.total_seconds()):
            while log.replica.leader_hint is None and not log.leads():
                await self._clock.sleep(LEADER_POLL_INTERVAL)
            return True
        return False

    async def query(self, statement: Query) -> Result[Table, OperatorFailure]:
        """Answer a query from the logs, with the position that the answer reflects."""
        if isinstance(statement, Show):
            return await self._show(statement)
        if isinstance(statement, Explain):
            return await self._explain(statement)
        return Failure(
            OperatorFailure(kind=FailureKind.INVALID, message="this can't be asked")
        )

    async def _show(self, show: Show) -> Result[Table, OperatorFailure]:
        if show.subject is Subject.INSTANCES:
            return Success(await self._add_position(self._list_instances()))
        if show.subject is Subject.DOMAINS:
            return Success(await self._list_domains())
        build = find_fleet_table(show.subject)
        if build is not None:
            return Success(await self._add_position(build(self._fleet_log.state.fleet)))
        build_rows = find_domain_table(show.subject)
        if build_rows is None:
            message = f"{show.subject.value} can't be shown"
            return Failure(OperatorFailure(kind=FailureKind.INVALID, message=message))
        table = await self._query_domains(Show(subject=show.subject))
        if not table.columns:
            # Filters need the columns even when no domain answers.
            columns = build_rows(_EMPTY_VIEW).columns
            table = msgspec.structs.replace(table, columns=columns)
        if show.subject is Subject.CONFIGURATION:
            table = await self._add_configuration(table)
        return Success(table)

    async def _explain(self, explain: Explain) -> Result[Table, OperatorFailure]:
        if explain.kind is ExplainedKind.JOB:
            table = build_job_explanation(
                self._fleet_log.state.fleet, explain.identifier
            )
            if table is not None:
                return Success(await self._add_position(table))
        elif explain.kind is ExplainedKind.TASK:
            found = await self._query_domains(explain)
            if found.rows:
                return Success(found)
            if found.stale:
                message = f"task {explain.identifier} was not found. {found.note}"
                kind = FailureKind.UNREACHABLE
                return Failure(OperatorFailure(kind=kind, message=message))
        message = f"there is no {explain.kind.value} {explain.identifier}"
        return Failure(OperatorFailure(kind=FailureKind.NOT_FOUND, message=message))

    async def _add_position(self, table: Table) -> Table:
        """Add the fleet log's position, and mark the table if it may be stale."""
        log = self._fleet_log
        return msgspec.structs.replace(
            table,
            position=log.position,
            stale=not log.leads(),
            note="" if log.leads() else "this instance does not lead the fleet's log",
        )

    async def _query_domains(self, statement: Show | Explain) -> Table:
        """Query the leaders of all domains and join their answers."""
        answers: dict[FailureDomain, Table | None] = {}
        async with trio.open_nursery() as nursery:
            for domain in self._domains:
                nursery.start_soon(self._query_domain, domain, statement, answers)
        table = _join_tables(answers)
        return msgspec.structs.replace(table, position=self._fleet_log.position)

    async def _query_domain(
        self,
        domain: FailureDomain,
        statement: Show | Explain,
        answers: dict[FailureDomain, Table | None],
    ) -> None:
        request = QueryRequest(domain, statement)
        answers[domain] = None
        match await self._domains[domain].call(request, DOMAIN_TIMEOUT):
            case Success(QueryAnswer(table=table)):
                answers[domain] = table

    def answer_domain(self, request: QueryRequest) -> QueryAnswer | NotLeading:
        """Answer a controller's query from the domain that this instance leads."""
        view = self._view_domain()
        if view is None or view.domain != request.domain:
            return NotLeading()
        statement = request.statement
        if isinstance(statement, Explain):
            table = build_task_explanation(view, statement.identifier)
            table = table or make_table((), ())
            positioned = msgspec.structs.replace(table, position=view.position)
            return QueryAnswer(table=positioned, found=bool(table.rows))
        build = find_domain_table(statement.subject)
        table = build(view) if build else make_table((), ())
        return QueryAnswer(table=msgspec.structs.replace(table, position=view.position))

    async def _add_configuration(self, table: Table) -> Table:
        configuration = self._fleet_log.state.fleet.configuration
        own = ("", f"controller {self._settings.instance.name}", configuration.version)
        values = ", ".join(
            f"{key} = {value}" for key, value in configuration.values.items()
        )
        note = (
            f"accepted: version {configuration.version}; {values or 'no keys are set'}"
        )
        return msgspec.structs.replace(
            table,
            rows=(own, *table.rows),
            note=f"{note}. {table.note}" if table.note else note,
        )

    def _list_instances(self) -> Table:
        columns = ("instance", "domain", "region", "fleet_voter", "drained")
        fleet = self._settings.fleet
        state = self._fleet_log.state.fleet
        rows = (
            (
                one.name,
                one.failure_domain,
                one.region,
                one.name in fleet.fleet_voters,
                state.is_drained("instance", one.name),
            )
            for one in fleet.instances
        )
        return make_table(columns, rows)

    async def _list_domains(self) -> Table:
        columns = ("domain", "reachable", "workers", "declared_lost")
        lost = self._fleet_log.state.fleet.lost_domains
        answers: dict[FailureDomain, Table | None] = {}
        show = Show(subject=Subject.WORKERS)
        async with trio.open_nursery() as nursery:
            for domain in self._domains:
                nursery.start_soon(self._query_domain, domain, show, answers)
        rows = (
            (name, table is not None, len(table.rows) if table else None, name in lost)
            for name, table in sorted(answers.items())
        )
        return await self._add_position(make_table(columns, rows))


def _join_tables(answers: Mapping[FailureDomain, Table | None]) -> Table:
    """Join the rows of the domains that answered and list the others in the note."""
    unanswered = sorted(domain for domain, table in answers.items() if table is None)
    tables = [answers[domain] for domain in sorted(answers)]
    found = [table for table in tables if table is not None and table.columns]
    positions = [
        f"{domain} {table.position}"
        for domain, table in sorted(answers.items())
        if table is not None and table.columns
    ]
    notes = []
    if positions:
        notes.append(f"positions by failure domain: {', '.join(positions)}")
    if unanswered:
        notes.append(f"No answer from the leader of: {', '.join(unanswered)}")
    note = ". ".join(notes)
    if not found:
        return Table(columns=(), rows=(), stale=bool(unanswered), note=note)
    rows = tuple(row for table in found for row in table.rows)
    return Table(columns=found[0].columns, rows=rows, stale=bool(unanswered), note=note)


def _describe_failure(failure: LeaderFailure) -> OperatorFailure:
    if failure.in_doubt:
        message = (
            f"the outcome is not known ({failure.detail}); send the command again"
            " under the same number to learn it"
        )
        return OperatorFailure(kind=FailureKind.UNKNOWN_OUTCOME, message=message)
    message = f"not accepted: no leader of the fleet's log answered ({failure.detail})"
    return OperatorFailure(kind=FailureKind.NO_QUORUM, message=message)
