"""Agreement of all controllers on rules that earlier versions do not apply.

Replicas must apply each command alike. A rule that an earlier version lacks takes
effect only once every member of the group has told that it knows the rule, and the
log says so. An earlier version can't read that command and stops there, so that its
state never differs.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection
from datetime import timedelta

from returns.result import Success

from rhubarbfield.clock import Clock
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.appliers import SchedulingLogState
from rhubarbfield.scheduling.commands import RaiseStateVersion
from rhubarbfield.scheduling.heartbeats import HeartbeatDigest
from rhubarbfield.scheduling.model import STATE_VERSION, StateVersion
from rhubarbfield.types import InstanceName

logger = logging.getLogger(__name__)

CHECK_INTERVAL = timedelta(milliseconds=500)
# Digests are sent four times a second.
MAX_REPORT_AGE = timedelta(seconds=2)


class StateVersions:
    """Learns which rules the other controllers know, and lets new ones take effect.

    Parameters
    ----------
    log
        The deployment's log, which this instance leads.
    list_others
        Returns the other members of the group.
    clock
        Source of time.
    """

    def __init__(
        self,
        log: ReplicatedLog[SchedulingLogState],
        list_others: Callable[[], Collection[InstanceName]],
        clock: Clock,
    ) -> None:
        self._log = log
        self._list_others = list_others
        self._clock = clock
        self._reported: dict[InstanceName, tuple[StateVersion, timedelta]] = {}

    def record(self, digest: HeartbeatDigest) -> None:
        """Record which rules the sender of a digest knows."""
        now = self._clock.monotonic()
        self._reported[digest.sender] = digest.state_version, now

    async def run(self) -> None:
        """Raise the version of the state once all members know it, until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            common = self._find_common()
            if common > self._log.state.scheduling.version:
                await self._raise(common)

    async def _raise(self, version: StateVersion) -> None:
        result = await self._log.propose(RaiseStateVersion(version=version))
        if isinstance(result, Success):
            log_event(logger, logging.INFO, "state-version-raised", version=version)

    def _find_common(self) -> StateVersion:
        """Return the highest version that all members know, as far as they tell."""
        oldest = self._clock.monotonic() - MAX_REPORT_AGE
        common = STATE_VERSION
        for other in self._list_others():
            version, at = self._reported.get(other, (StateVersion(0), timedelta()))
            common = min(common, version if at >= oldest else StateVersion(0))
        return common
