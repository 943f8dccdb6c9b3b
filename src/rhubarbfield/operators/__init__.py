"""HTTP interface between operators and controllers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from rhubarbfield.operators.client import OperatorsClient
from rhubarbfield.operators.failures import FailureKind, OperatorFailure
from rhubarbfield.operators.messages import (
    CommandAnswer,
    CommandRequest,
    FailureAnswer,
    QueryRequest,
)
from rhubarbfield.operators.port import (
    ControllerStatus,
    OperatorsPort,
    Submission,
    read_reply,
)

if TYPE_CHECKING:
    from rhubarbfield.operators.app import create_operators_app

__all__ = [
    "create_operators_app",
    "OperatorsPort",
    "Submission",
    "ControllerStatus",
    "read_reply",
    "OperatorsClient",
    "OperatorFailure",
    "FailureKind",
    "QueryRequest",
    "CommandRequest",
    "CommandAnswer",
    "FailureAnswer",
]


def __getattr__(name: str) -> Any:
    # Imported lazily: the web framework takes longer to import than the rest of
    # a command line call takes, and the command line needs only the client.
    if name == "create_operators_app":
        from rhubarbfield.operators.app import create_operators_app

        return create_operators_app
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
