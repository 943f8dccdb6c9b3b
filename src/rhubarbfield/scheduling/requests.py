"""Messages with which entries forward callers' requests to the leader."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from rhubarbfield.leadercalls import NotAdmitted, NotLeading, Unavailable
from rhubarbfield.peering import CallMethod, make_call_stream
from rhubarbfield.scheduling.model import JobPhase, JobSubmission


class JobVerb(StrEnum):
    """Operation that a caller requests."""

    SUBMIT = "submit"
    READ = "read"
    CANCEL = "cancel"


class JobRequest(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag=True
):
    """A caller's request, as an entry forwards it.

    Attributes
    ----------
    verb
        Requested operation.
    host, path
        They determine the queue; the path after the queue's prefix is the job id.
    submission
        Submitted job, if any.
    knows_rejection
        Whether the caller knows ``NotAdmitted``; entries of earlier versions don't.
    """

    verb: JobVerb
    host: str
    path: str
    submission: JobSubmission | None = None
    knows_rejection: bool = False


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """The command is committed."""


class JobStatus(msgspec.Struct, frozen=True, tag=True):
    """Phase of a job."""

    phase: JobPhase


class WaitingJobs(msgspec.Struct, frozen=True, tag=True):
    """Number of open jobs of a queue that have not started."""

    count: int


class NoSuchQueue(msgspec.Struct, frozen=True, tag=True):
    """No queue of the configuration in force matches the request."""


class NoSuchJob(msgspec.Struct, frozen=True, tag=True):
    """The queue has no such job."""


class NotConfigured(msgspec.Struct, frozen=True, tag=True):
    """No configuration has been accepted yet; nothing was done."""


class BadJob(msgspec.Struct, frozen=True, tag=True):
    """The request is invalid; retrying it can't succeed.

    Attributes
    ----------
    reason
        Why the request is invalid.
    """

    reason: str


class Ready(msgspec.Struct, frozen=True, tag=True):
    """The controller leads and can decide about requests."""


class LeadershipQuery(msgspec.Struct, frozen=True, tag="AreYouLeading"):
    """Asks a controller whether it leads."""


JobReply = (
    Accepted
    | JobStatus
    | WaitingJobs
    | NoSuchQueue
    | NoSuchJob
    | NotConfigured
    | BadJob
    | NotAdmitted
    | Ready
    | NotLeading
    | Unavailable
)


def settles_attempts(request: JobRequest | LeadershipQuery, reply: JobReply) -> bool:
    """Return whether a reply also answers for earlier attempts of a request.

    An attempt in doubt may have taken effect, or take it after the reply. That does
    not contradict the confirmation of a submission or a cancel, and a read has no
    effect. That there is no such job answers a cancel, since it is committed then,
    and applies to a submission that arrives later. Every other reply says only what
    became of its own attempt.
    """
    if isinstance(request, LeadershipQuery) or request.verb is JobVerb.READ:
        return True
    if request.verb is JobVerb.CANCEL and isinstance(reply, NoSuchJob):
        return True
    return isinstance(reply, Accepted)


JOB_CALL = CallMethod(
    "/rhubarbfield.Scheduling/Job", JobRequest | LeadershipQuery, JobReply
)
JOB_STREAM = make_call_stream(JOB_CALL, "/rhubarbfield.Scheduling/Jobs")
