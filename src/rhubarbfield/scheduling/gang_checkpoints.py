"""Choice of the one checkpoint from which all members of a gang resume.

Checkpoints are opaque and can't be compared. What orders them is where they come
from: one of a later run is newer, and one with which a run ended is newer than one
that a view showed before.

These structs are part of snapshots; new fields need defaults.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

from rhubarbfield.scheduling.model import (
    NO_CHECKPOINT,
    CheckpointToken,
    RunNumber,
)


class CheckpointSource(IntEnum):
    """Where a checkpoint of a run comes from, the earliest first.

    Attributes
    ----------
    VIEW
        A view listed it while the run was active.
    END
        The worker listed it with the end of the run.
    STOP
        So it did, and the run made it as it was stopped, which ended the others.
    """

    VIEW = 0
    END = 1
    STOP = 2


class GangCheckpoint(msgspec.Struct, frozen=True, array_like=True):
    """The checkpoint of a gang.

    Attributes
    ----------
    token
        The checkpoint, which each member is given.
    run, source
        The run whose member showed it, and how.
    given
        The checkpoint that this run was started with.
    """

    token: CheckpointToken
    run: RunNumber
    source: CheckpointSource
    given: CheckpointToken = NO_CHECKPOINT

    def replace(
        self, token: CheckpointToken, run: RunNumber, source: CheckpointSource
    ) -> GangCheckpoint:
        """Return the newer one of this checkpoint and one that a member has shown.

        Of two from the same source in one run the first is kept.
        """
        if run > self.run:
            if token == self.token:
                return self
            return GangCheckpoint(token, run, source, given=self.token)
        is_newer = run == self.run and source > self.source
        if is_newer and token != self.given:
            return GangCheckpoint(token, run, source, given=self.given)
        return self
