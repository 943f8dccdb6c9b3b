"""An in-memory controller that serves operators' requests."""

from __future__ import annotations

from datetime import UTC, datetime

from prometheus_client import CollectorRegistry
from quart_trio import QuartTrio
from returns.result import Failure, Result, Success

from rhubarbfield.exceptions import BrokenInvariantError
from rhubarbfield.fleet import (
    CommandRecord,
    FleetState,
    SubmitCommand,
    fleet_commands,
)
from rhubarbfield.language import Query, Show, Table
from rhubarbfield.operators import (
    ControllerStatus,
    FailureKind,
    OperatorFailure,
    Submission,
    create_operators_app,
    read_reply,
)
from rhubarbfield.settings import Secret
from rhubarbfield.types import InstanceName, LogIndex

SECRET = Secret(b"correct-horse-battery-staple-0123")
HEADERS = {"Authorization": f"Bearer {SECRET.decode()}"}
NOW = datetime(2026, 3, 1, tzinfo=UTC)


class FakeController:
    """Controller that decides commands at once, or fails as configured."""

    def __init__(self) -> None:
        self.state = FleetState()
        self.failure: OperatorFailure | None = None
        self.exception: Exception | None = None
        self.stale = False
        self.broken: list[BrokenInvariantError] = []

    async def query(self, statement: Query) -> Result[Table, OperatorFailure]:
        if self.failure is not None:
            return Failure(self.failure)
        if not isinstance(statement, Show):
            failure = OperatorFailure(kind=FailureKind.NOT_FOUND, message="none")
            return Failure(failure)
        jobs = self.state.jobs.values()
        table = Table(
            columns=("job", "tenant"),
            rows=tuple((job.id, job.request.tenant) for job in jobs),
            position=LogIndex(9),
            stale=self.stale,
        )
        return Success(table)

    async def command(
        self, submission: Submission
    ) -> Result[CommandRecord, OperatorFailure]:
        if self.exception is not None:
            raise self.exception
        if self.failure is not None:
            return Failure(self.failure)
        command = SubmitCommand(
            operator=submission.operator,
            number=submission.number,
            text=submission.text,
            statement=submission.statement,
            at=NOW,
        )
        return read_reply(fleet_commands.apply(self.state, command))

    def get_status(self) -> ControllerStatus:
        return ControllerStatus(
            instance=InstanceName("a1"), ready=not self.stale, note="no quorum"
        )

    def make_app(self) -> QuartTrio:
        return create_operators_app(
            self,
            secret=SECRET,
            metrics=CollectorRegistry(),
            on_broken_invariant=self.broken.append,
        )
