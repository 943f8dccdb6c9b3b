"""Identifiers and states shared by the whole package."""

from __future__ import annotations

from enum import Enum, StrEnum
from typing import NewType

MAX_PORT = 65_535

InstanceName = NewType("InstanceName", str)
FailureDomain = NewType("FailureDomain", str)
Region = NewType("Region", str)
Tenant = NewType("Tenant", str)
ServiceName = NewType("ServiceName", str)
BackendServerId = NewType("BackendServerId", str)
WorkerId = NewType("WorkerId", str)
RackName = NewType("RackName", str)
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
AttemptId = NewType("AttemptId", str)
CheckpointId = NewType("CheckpointId", str)
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
OperatorName = NewType("OperatorName", str)
CommandNumber = NewType("CommandNumber", int)
GroupId = NewType("GroupId", str)
Incarnation = NewType("Incarnation", str)
Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
Epoch = NewType("Epoch", int)
ConfigurationVersion = NewType("ConfigurationVersion", int)


class Outcome(StrEnum):
    """Whether a request was run, as reported to the caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RequestClass(StrEnum):
    """Urgency of a caller's request."""

    URGENT = "urgent"
    INTERACTIVE = "interactive"
    BULK = "bulk"


class WorkKind(StrEnum):
    """Kind of work that a job consists of."""

    SERVICE = "service"
    BATCH = "batch"
    STANDING = "standing"


class Priority(Enum):
    """Start order of work; lower values go first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


class BackendServerState(StrEnum):
    """State that a backend server announces."""

    SERVING = "serving"
    LEAVING = "leaving"


class AttemptState(StrEnum):
    """State of one attempt to run a task."""

    STARTING = "starting"
    RUNNING = "running"
    EVICTING = "evicting"
    EVICTED = "evicted"
    HELD = "held"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    LOST = "lost"


class JobState(StrEnum):
    """State of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    IMPOSSIBLE = "impossible"
