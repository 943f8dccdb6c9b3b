"""Jobs on the platform, and their translation to the scheduler's types.

Entries import it without the messages of runners, and so without the state of the
scheduler.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.scheduling.model import (
    Demand,
    ImageName,
    JobSubmission,
    Label,
    Recurrence,
    Step,
)
from rhubarbfield.scheduling.ranges import (
    Count,
    Megabytes,
    Millicores,
    Milliseconds,
    TimeOfDay,
)
from rhubarbfield.types import RackName

MAX_PAYLOAD_CHARACTERS = 4_000
MAX_STEPS = 256
MAX_TASKS = 4_096  # of a step
MAX_JOB_TASKS = 16_384  # each replica creates them at once, within a lease

# A body that nests too deeply ends the decoder's recursion.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class Message(msgspec.Struct, frozen=True, kw_only=True, rename="pascal"):
    """Base of all messages; unknown fields are ignored."""


class WireStep(Message, frozen=True):
    """A step of a job; fields left out are zero, false or empty."""

    # Number of tasks.
    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)] = 1
    # Demand of each task, the processor in millicores.
    cpu: Millicores = 0
    mem_mb: Megabytes = 0
    gpu: Count = 0
    estimated_ms: Milliseconds = 0
    # Earlier steps, counted from 0, that must be complete first.
    start_after: tuple[Count, ...] = ()
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    # A single label that the runner must have, despite the plural.
    requirements: str = ""
    # Preferred rack: the one that holds the data.
    affinity: str = ""
    # Maximum number of tasks of the step on one runner; 0 means no limit.
    anti_affinity: Count = 0
    allow_duplicates: bool = False
    # Standing work: the tasks run until the job is cancelled.
    long_running: bool = False
    image: str = ""
    # Goal for the tail latency of the tasks; 0 for none.
    target_ms: Milliseconds = 0
    # The tasks use spare cores: their processor demand isn't reserved.
    fills: bool = False
    # Disruption budget: standing tasks that the scheduler may disrupt at a time.
    may_miss: Count | None = None

    def to_step(self) -> Step:
        """Return the step as the scheduler's type."""
        return Step(
            tasks=self.count,
            demand=Demand(self.cpu, self.mem_mb, self.gpu),
            estimate_ms=self.estimated_ms,
            after=self.start_after,
            checkpoints=self.saves_progress,
            gang=self.gang,
            same_rack=self.same_rack,
            required_label=Label(self.requirements),
            preferred_rack=RackName(self.affinity),
            max_per_worker=self.anti_affinity,
            copies_allowed=self.allow_duplicates,
            standing=self.long_running,
            image=ImageName(self.image),
            tail_goal_ms=self.target_ms,
            uses_spare_cores=self.fills,
            disruption_budget=self.may_miss,
        )


class WireJob(Message, frozen=True):
    """A job as submitted by a client."""

    # Opaque payload that is passed to the runners.
    spec: Annotated[str, msgspec.Meta(max_length=MAX_PAYLOAD_CHARACTERS)]
    steps: Annotated[
        tuple[WireStep, ...], msgspec.Meta(min_length=1, max_length=MAX_STEPS)
    ]
    repeat_count: Count = 0
    start_at_ms: TimeOfDay = 0
    interval_ms: Milliseconds = 0

    def to_submission(self) -> JobSubmission:
        """Return the job as the scheduler's type."""
        recurrence = None
        if self.repeat_count:
            recurrence = Recurrence(
                self.repeat_count, self.start_at_ms, self.interval_ms
            )
        steps = tuple(step.to_step() for step in self.steps)
        return JobSubmission(payload=self.spec, steps=steps, recurrence=recurrence)


_job_decoder = msgspec.json.Decoder(WireJob)


def decode_job(body: bytes) -> Result[JobSubmission, str]:
    """Decode a job, or return why it is invalid."""
    try:
        job = _job_decoder.decode(body)
    except DECODE_ERRORS as error:
        return Failure(f"the job can't be read: {error}")
    for number, step in enumerate(job.steps):
        if any(earlier >= number for earlier in step.start_after):
            return Failure(f"step {number} starts after a step that is not before it")
    tasks = sum(step.count for step in job.steps)
    if tasks > MAX_JOB_TASKS:
        return Failure(f"the job has {tasks} tasks, and {MAX_JOB_TASKS} are allowed")
    return Success(job.to_submission())
