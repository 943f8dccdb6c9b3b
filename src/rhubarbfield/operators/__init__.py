"""HTTP between operators and the controllers."""

from rhubarbfield.operators.app import create_operators_app
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
