"""Placement of tasks on workers.

The package has two parts: the replicated :class:`WorkState`, changed only by the
commands in :data:`work_commands`; and the policy, :func:`plan`, which a leader
calls with the state and its :class:`Observations` to get the commands to propose.
"""

from rhubarbfield.placement import _evictions, _jobs, _reports, _starts, _workers
from rhubarbfield.placement.commands import (
    AcceptJob,
    AddWorker,
    AttemptReport,
    AttemptStart,
    CancelJobs,
    EvictAttempts,
    ForgetFinished,
    LoseWorker,
    Rejection,
    RejectJobs,
    RemoveWorker,
    ReportAttempts,
    Resize,
    ResizeAttempts,
    SetDraining,
    SetEstimates,
    SetQuarantine,
    SetQuota,
    StartAttempts,
    UpdateWorker,
    work_commands,
)
from rhubarbfield.placement.decision import (
    Alternative,
    Decision,
    RejectionCount,
    RejectionReason,
)
from rhubarbfield.placement.explanation import (
    AttemptRecord,
    Explanation,
    UnknownTask,
    WorkerReason,
    explain_task,
)
from rhubarbfield.placement.invariants import check_state
from rhubarbfield.placement.observations import (
    AttemptUsage,
    Observations,
    ServiceLatency,
    UsageReport,
)
from rhubarbfield.placement.orders import KeptAttempt, WorkerOrders, list_orders
from rhubarbfield.placement.policy import Plan, plan
from rhubarbfield.placement.queueing import WaitReason
from rhubarbfield.placement.replies import (
    AttemptsEvicting,
    AttemptsReported,
    AttemptsResized,
    AttemptsStarted,
    Eviction,
    Impossible,
    ImpossibleReason,
    JobAccepted,
    JobImpossible,
    JobsCancelled,
    RefusedStart,
    StartedAttempt,
    StartRefusal,
    WorkerAdded,
    WorkerLost,
    work_replies,
)
from rhubarbfield.placement.resources import Resources
from rhubarbfield.placement.runnable import check_runnable
from rhubarbfield.placement.settings import (
    PlacementSettings,
    Profile,
    Weights,
    choose_settings,
)
from rhubarbfield.placement.state import (
    Account,
    Attempt,
    BatchKind,
    HarmEstimate,
    Job,
    JobSpec,
    QuarantineState,
    Quota,
    SizeEstimate,
    Task,
    TaskState,
    Worker,
    WorkState,
)
from rhubarbfield.placement.strategies import find_strategy, list_strategies, strategy
from rhubarbfield.placement.throttling import ThrottleOrder
from rhubarbfield.placement.transitions import make_task_id

# Importing these modules registers the functions that apply the commands.
_APPLIERS = (_evictions, _jobs, _reports, _starts, _workers)

__all__ = [
    # State and its commands.
    "WorkState",
    "work_commands",
    "work_replies",
    "check_state",
    "check_runnable",
    "make_task_id",
    "list_orders",
    "AcceptJob",
    "AddWorker",
    "CancelJobs",
    "EvictAttempts",
    "ForgetFinished",
    "LoseWorker",
    "RejectJobs",
    "RemoveWorker",
    "ReportAttempts",
    "ResizeAttempts",
    "SetDraining",
    "SetEstimates",
    "SetQuarantine",
    "SetQuota",
    "StartAttempts",
    "UpdateWorker",
    # Parts of commands and of the state.
    "Account",
    "Alternative",
    "Attempt",
    "AttemptReport",
    "AttemptStart",
    "BatchKind",
    "Decision",
    "Eviction",
    "HarmEstimate",
    "Job",
    "JobSpec",
    "KeptAttempt",
    "QuarantineState",
    "Quota",
    "Rejection",
    "RejectionCount",
    "RejectionReason",
    "Resize",
    "Resources",
    "SizeEstimate",
    "Task",
    "TaskState",
    "Worker",
    "WorkerOrders",
    # Replies.
    "AttemptsEvicting",
    "AttemptsReported",
    "AttemptsResized",
    "AttemptsStarted",
    "Impossible",
    "ImpossibleReason",
    "JobAccepted",
    "JobImpossible",
    "JobsCancelled",
    "RefusedStart",
    "StartRefusal",
    "StartedAttempt",
    "WorkerAdded",
    "WorkerLost",
    # Policy.
    "plan",
    "Plan",
    "WaitReason",
    "ThrottleOrder",
    "Observations",
    "AttemptUsage",
    "ServiceLatency",
    "UsageReport",
    "PlacementSettings",
    "Profile",
    "Weights",
    "choose_settings",
    "find_strategy",
    "list_strategies",
    "strategy",
    # Explanations.
    "explain_task",
    "AttemptRecord",
    "Explanation",
    "UnknownTask",
    "WorkerReason",
]
