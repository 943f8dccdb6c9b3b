"""Whether the capacity of a worker is known, and whether its runs fit it.

A worker's capacity may shrink and grow while it runs. One that guards it refuses what
does not fit; one that does not starts whatever it is told to, so that the leader
relies on recent reports only, and counts all that it may still run.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from rhubarbfield.scheduling.headroom_index import HeadroomIndex
from rhubarbfield.scheduling.model import Demand
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.state import SchedulingState, Worker
from rhubarbfield.scheduling.workload import add_up
from rhubarbfield.types import WorkerId


class WorkerCapacities:
    """The capacities of workers, as they reported them.

    Parameters
    ----------
    get_state
        Returns the replicated state.
    sessions
        The leader's session with each worker.
    headrooms
        What the recorded runs of each worker leave.
    settings
        How old a report may be.
    """

    def __init__(
        self,
        get_state: Callable[[], SchedulingState],
        sessions: Mapping[WorkerId, WorkerSession],
        headrooms: HeadroomIndex,
        settings: SchedulingSettings,
    ) -> None:
        self._get_state = get_state
        self._sessions = sessions
        self._headrooms = headrooms
        self._settings = settings

    def is_known(self, worker: Worker) -> bool:
        """Return whether starts may rely on the recorded capacity of a worker."""
        if self._get_state().guards_capacity(worker.service):
            return True
        session = self._sessions.get(worker.worker)
        age = None if session is None else session.report_age
        return age is not None and age <= self._settings.silence_timeout

    def holds_runs(self, worker: Worker) -> bool:
        """Return whether all runs on a worker fit its recorded capacity."""
        free = self._headrooms.find_headroom(self._get_state(), worker).free
        return self.measure_unrecorded(worker).fits(free)

    def measure_unrecorded(self, worker: Worker) -> Demand:
        """Return what runs reserve that a worker has and the state has not.

        They are being stopped. A worker that guards its capacity counts them itself.
        """
        state = self._get_state()
        session = self._sessions.get(worker.worker)
        if session is None or state.guards_capacity(worker.service):
            return Demand()
        steps = map(state.find_step, session.list_unrecorded())
        # Nothing is known of a task of a job that has been forgotten.
        return add_up(
            worker.capacity if step is None else step.reserved for step in steps
        )
