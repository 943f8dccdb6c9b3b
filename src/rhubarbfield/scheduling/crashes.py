"""What the crash of a worker says about the runs that it had started.

These structs are part of replicated commands and snapshots; new fields need
defaults.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from rhubarbfield.scheduling.model import RunNumber, TaskName


class CrashEvidence(Enum):
    """What the crash of a worker says about a run that it had started.

    Attributes
    ----------
    ALONE
        The run had just started, as the only one.
    RECENT
        It had just started, as had others.
    EARLIER
        It had worked for a while, or it is not known when it started; or it had just
        started, but other workers fell silent at the same moment.
    CLEARED
        It has no end and had worked for long.
    """

    ALONE = "alone"
    RECENT = "recent"
    EARLIER = "earlier"
    CLEARED = "cleared"


class CrashedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that was lost with its worker, and what that says about its task.

    Attributes
    ----------
    task, run
        The run.
    evidence
        What the crash says about it.
    recent
        Number of runs, or gangs, that had just started on the worker.
    is_certain
        Whether the worker had certainly started the run.
    """

    task: TaskName
    run: RunNumber
    evidence: CrashEvidence
    recent: int = 0
    is_certain: bool = True
