"""Identifiers and states shared by the whole package."""

from __future__ import annotations

from enum import Enum, StrEnum
from typing import NewType

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
    """What is known of a request once its caller has an answer."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RequestClass(StrEnum):
    """How urgently a caller needs its answer."""

    URGENT = "urgent"
    INTERACTIVE = "interactive"
    BULK = "bulk"


class WorkKind(StrEnum):
    """What a job promises."""

    SERVICE = "service"
    BATCH = "batch"
    STANDING = "standing"


class Priority(Enum):
    """Order in which work is started; lower values go first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


class BackendServerState(StrEnum):
    """What a backend server says of itself."""

    SERVING = "serving"
    LEAVING = "leaving"


class AttemptState(StrEnum):
    """Life of one attempt to run a task."""

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
    """Life of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    IMPOSSIBLE = "impossible"
