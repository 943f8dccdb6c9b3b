"""Sessions of workers with the controller of their failure domain.

A controller passes each connection to :meth:`WorkerSessions.serve`. The
package calls the rest of the controller through two ports, :class:`WorkLog`
and :class:`ObservationSink`.
"""

from rhubarbfield.workers.bounds import (
    Resources,
)
from rhubarbfield.workers.messages import (
    AttemptReport,
    AttemptUsage,
    FromWorker,
    HeldAttempt,
    LatencySample,
    RenewLease,
    UsageReport,
    WorkerHello,
    decode_worker_message,
)
from rhubarbfield.workers.orders import (
    CommittedReport,
    GoToLeader,
    LeaseGranted,
    Order,
    ReportsCommitted,
    SessionOpened,
    StartAttempt,
    StopAttempt,
    TakeCheckpoint,
    Throttle,
    ToWorker,
)
from rhubarbfield.workers.ports import (
    Admitted,
    CommittedOrder,
    LiveAttempt,
    NotLeading,
    ObservationSink,
    SessionEnded,
    Unavailable,
    WorkerRefused,
    WorkLog,
)
from rhubarbfield.workers.reconciliation import Reconciliation, reconcile
from rhubarbfield.workers.sessions import WorkerSessions
from rhubarbfield.workers.settings import WorkerSessionSettings
from rhubarbfield.workers.streams import (
    Connect,
    ConnectionRefused,
    Malformed,
    MessageStream,
    TimedStream,
)

__all__ = [
    "WorkerSessions",
    "WorkerSessionSettings",
    "WorkLog",
    "ObservationSink",
    "Admitted",
    "CommittedOrder",
    "LiveAttempt",
    "NotLeading",
    "SessionEnded",
    "Unavailable",
    "WorkerRefused",
    "Reconciliation",
    "reconcile",
    "FromWorker",
    "ToWorker",
    "decode_worker_message",
    "WorkerHello",
    "HeldAttempt",
    "RenewLease",
    "UsageReport",
    "AttemptUsage",
    "LatencySample",
    "AttemptReport",
    "SessionOpened",
    "LeaseGranted",
    "Order",
    "StartAttempt",
    "Throttle",
    "TakeCheckpoint",
    "StopAttempt",
    "ReportsCommitted",
    "CommittedReport",
    "GoToLeader",
    "Resources",
    "ConnectionRefused",
    "Malformed",
    "MessageStream",
    "Connect",
    "TimedStream",
]
