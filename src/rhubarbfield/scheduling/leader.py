"""The leader of a deployment: places work and supervises workers."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Collection, Mapping, Set
from datetime import timedelta
from functools import partial

import msgspec
import trio
from returns.result import Success

from rhubarbfield.clock import Clock
from rhubarbfield.containment import Unit, contain
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.logs import log_event
from rhubarbfield.machine import Command, Reply
from rhubarbfield.replication import Leadership
from rhubarbfield.scheduling.appliers import SchedulingLogState
from rhubarbfield.scheduling.availability import WorkerAvailability
from rhubarbfield.scheduling.backlog import Backlog
from rhubarbfield.scheduling.begun_jobs import BegunJobs
from rhubarbfield.scheduling.capacities import WorkerCapacities
from rhubarbfield.scheduling.commands import (
    EndRuns,
    SaveHarm,
    UpdateWorkers,
    WorkerEnds,
    WorkerReport,
)
from rhubarbfield.scheduling.crashes import CrashedRun
from rhubarbfield.scheduling.handover import ViewsInProgress
from rhubarbfield.scheduling.headroom import WaitingStep, WorkerHeadroom
from rhubarbfield.scheduling.headroom_index import HeadroomIndex
from rhubarbfield.scheduling.heartbeats import (
    Heartbeat,
    HeartbeatDigest,
    is_recorded,
)
from rhubarbfield.scheduling.housekeeping import Housekeeping
from rhubarbfield.scheduling.interference import InterferenceModel
from rhubarbfield.scheduling.job_index import JobIndex
from rhubarbfield.scheduling.late_ends import AbandonCause, LateEnds
from rhubarbfield.scheduling.metrics import (
    ROUND_SECONDS,
    RUNS_ENDED,
)
from rhubarbfield.scheduling.mitigation import PAUSED, InterferenceMitigator
from rhubarbfield.scheduling.model import (
    CheckpointToken,
    Step,
    StepName,
    TaskName,
    name_step,
)
from rhubarbfield.scheduling.orders import Start
from rhubarbfield.scheduling.pacing import RoundPacer, Urgency, find_urgency
from rhubarbfield.scheduling.placing import MAX_STARTS_PER_ROUND, Placer
from rhubarbfield.scheduling.ports import WorkerCalls
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.quarantine import WorkerQuarantine
from rhubarbfield.scheduling.recording import (
    Batcher,
    propose_until_committed,
)
from rhubarbfield.scheduling.registry import SessionRegistry
from rhubarbfield.scheduling.rejected_steps import RejectedSteps
from rhubarbfield.scheduling.removals import Removals
from rhubarbfield.scheduling.reservations import Reservations
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.shown_checkpoints import list_shown_checkpoints
from rhubarbfield.scheduling.silence_marks import MarkTimes, SilenceMarker
from rhubarbfield.scheduling.slicing import choose_starts
from rhubarbfield.scheduling.start_stages import StageTimes, StartStage
from rhubarbfield.scheduling.starting import RunStarter
from rhubarbfield.scheduling.starvation import Starvation
from rhubarbfield.scheduling.state import (
    Job,
    RunEnd,
    SchedulingState,
    Worker,
)
from rhubarbfield.scheduling.state_versions import StateVersions
from rhubarbfield.scheduling.survey import BacklogLog
from rhubarbfield.scheduling.suspects import Suspects
from rhubarbfield.scheduling.terminations import Terminations
from rhubarbfield.scheduling.waiting_log import WaitingLog
from rhubarbfield.scheduling.witnessed_leases import WitnessedLeases
from rhubarbfield.types import InstanceName, LogIndex, Term, WorkerId

logger = logging.getLogger(__name__)

# Rounds also run without a change of state, since occurrences come due and
# quarantines end.
IDLE_ROUND_INTERVAL = timedelta(milliseconds=250)
RESUMPTION_DELAY = timedelta(seconds=1)


class SchedulingLeader:
    """The leader's work during one term.

    Parameters
    ----------
    log
        The deployment's log, which this instance leads.
    calls
        Client for calls to workers.
    clock
        Source of time.
    settings
        Timeouts and limits.
    marks
        When this controller learned that workers were marked as silent.
    leadership
        Leadership of the term in which it leads.
    list_others
        Returns the other members of the group.

    Attributes
    ----------
    views
        The views of all sessions that are in progress.
    """

    def __init__(
        self,
        log: ReplicatedLog[SchedulingLogState],
        *,
        calls: WorkerCalls,
        clock: Clock,
        settings: SchedulingSettings,
        marks: MarkTimes,
        leadership: Leadership,
        list_others: Callable[[], Collection[InstanceName]] = tuple,
    ) -> None:
        log = self._log = log.in_term(leadership.term)
        self._clock = clock
        self._settings = settings
        self._quarantine = WorkerQuarantine(settings, self._find_step_workers)
        self._term = leadership.term
        self.views = ViewsInProgress(clock, log.leads)
        self._former_until = leadership.former_until
        self._interference = InterferenceModel()
        self._interference.restore(self.state.harm.values())
        self._headrooms = HeadroomIndex()
        self._mitigator = InterferenceMitigator(
            self, self._interference, self._headrooms, clock
        )
        self._starvation = Starvation(
            settings.starvation_timeout,
            self._is_paused,
            clock,
            inherited=(each.job for each in self.state.jobs.values() if each.is_open),
        )
        self._backlog = Backlog(clock, self._starvation)
        self._jobs = JobIndex()
        self._registry = SessionRegistry(
            self,
            calls=calls,
            clock=clock,
            settings=settings,
            find_mark=marks.find,
            former_until=self._former_until,
            on_opened=self._examine_worker,
            on_removed=self._forget_worker,
        )
        self._capacities = WorkerCapacities(
            lambda: self.state, self._registry.sessions, self._headrooms, settings
        )
        self._terminations = Terminations(lambda: self.state, self._registry.sessions)
        leases = WitnessedLeases(
            self.find_worker,
            self._registry.sessions,
            clock=clock,
            settings=settings,
            term=self._term,
        )
        self._marker = SilenceMarker(log, self._registry.sessions, leases, clock)
        self._pacer = RoundPacer(clock)
        self._avoided: dict[TaskName, set[WorkerId]] = {}
        self._ends = Batcher(self._commit_ends)
        self._begun = BegunJobs(log, clock)
        self._versions = StateVersions(log, list_others, clock)
        self._late_ends = LateEnds(lambda: self.state, clock)
        self._removals = Removals(
            log,
            self._registry,
            clock,
            settle_ends=self._ends.settle,
            on_lost=self._handle_lost_run,
        )
        self._suspects = Suspects(lambda: self.state, clock)
        self._availability = WorkerAvailability(
            lambda: self.state,
            self._registry.sessions,
            self._headrooms,
            capacities=self._capacities,
            quarantine=self._quarantine,
            suspects=self._suspects,
            list_margins=self._mitigator.list_margins,
            clock=clock,
        )
        self._late_since: dict[WorkerId, timedelta] = {}  # ends being recorded
        self._housekeeping = Housekeeping(
            log,
            host=self,
            sessions=self._registry.sessions,
            jobs=self._jobs,
            quarantine=self._quarantine,
            backlog=self._backlog,
            clock=clock,
            settings=settings,
        )
        self._stages = StageTimes(clock)
        self._rejected = RejectedSteps(settings.margin_lifetime)
        self._reservations = Reservations(
            lambda: self.state, self._registry.sessions, clock
        )
        self._starter = RunStarter(
            log,
            sessions=self._registry.sessions,
            quarantine=self._quarantine,
            backlog=self._backlog,
            stages=self._stages,
            clock=clock,
        )
        self._waiting_log = WaitingLog(self._backlog, clock)
        self._backlog_log = BacklogLog(self._backlog, clock)

    @property
    def state(self) -> SchedulingState:
        """The replicated state."""
        return self._log.state.scheduling

    async def run(self) -> None:
        """Lead until cancelled."""
        former_until = self._former_until
        log_event(
            logger,
            logging.INFO,
            "leading-started",
            term=self._term,
            unled=former_until and self._clock.monotonic() - former_until,
        )
        self._suspects.find_all()
        self._log.machine.watch(self._registry.watch_command)
        self._log.machine.watch(self._suspects.watch_command)
        self._log.machine.watch(self._terminations.watch_command)
        self._log.machine.watch(self._request_round_after)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._ends.run)
                follow_state = partial(self._follow_state, nursery)
                for name, work in (
                    ("state", follow_state),
                    ("requests", self._request_rounds),
                    ("rounds", self._run_rounds),
                    ("housekeeping", self._housekeeping.run),
                    ("interference", self._save_harm),
                    ("marks", self._marker.run),
                    ("begun jobs", self._begun.run),
                    ("versions", self._versions.run),
                ):
                    nursery.start_soon(self._keep_running, name, work)
        finally:
            self._log.machine.unwatch(self._registry.watch_command)
            self._log.machine.unwatch(self._suspects.watch_command)
            self._log.machine.unwatch(self._terminations.watch_command)
            self._log.machine.unwatch(self._request_round_after)
            self.views.log_abandoned()

    async def finish_views(self, timeout: timedelta) -> None:
        """Return once all ends that workers have listed are recorded.

        Workers are not viewed any more after that.

        Parameters
        ----------
        timeout
            How long it may take.
        """
        await self.views.finish(self._settings.view_timeout, timeout)

    # Interface for sessions and the other parts of the leader.

    def find_worker(self, worker: WorkerId) -> Worker | None:
        """Return the replicated record of a worker."""
        return self.state.workers.get(worker)

    def get_term(self) -> Term | None:
        """Return the term if the leader may send orders now, else None."""
        return self._term if self._log.leads() else None

    def is_wanted(self, task: TaskName) -> bool:
        """Return whether runs of a task may work: neither it nor its job has ended."""
        return self.state.is_wanted(task)

    async def record_ends(
        self, ends: WorkerEnds, since: timedelta | None = None
    ) -> None:
        """Record ends of runs; returns once they are committed."""
        began = self._clock.monotonic()
        if since is None:
            await self._ends.record(ends)
        else:
            self._late_since[ends.worker] = since
            try:
                await self._ends.record(ends)
            finally:
                self._late_since.pop(ends.worker, None)
        self._stages.record(StartStage.END, self._clock.monotonic() - began)

    def record_answer(self, worker: WorkerId, start: Start) -> None:
        """Record that a worker has answered the order to start a run."""
        now = self._clock.monotonic()
        self._quarantine.record_presence(worker, start.key, now)
        self._begun.record((start.key.task,))
        self._stages.record(StartStage.ORDER, now - start.recorded_at)

    def record_abandoned(
        self, key: RunKey, cause: AbandonCause, basis: str | None = None
    ) -> None:
        """Record that a run counts as ended without the word of its worker."""
        self._late_ends.record_abandoned(key, cause, basis)

    async def remove_worker(
        self, worker: WorkerId, checkpoints: dict[TaskName, CheckpointToken]
    ) -> None:
        """Record that an incarnation of a machine has ended."""
        await self._removals.remove(worker, checkpoints)

    def list_checkpoints(self, worker: WorkerId) -> dict[TaskName, CheckpointToken]:
        """Return the newest checkpoint that views show of each run on a worker."""
        return list_shown_checkpoints(self.state, self._registry.sessions, worker)

    def assess_runs(self, session: WorkerSession) -> list[CrashedRun]:
        """Return what a crash of a worker, which is silent, says about its runs."""
        return self._removals.assess_runs(session)

    def handle_view(self, worker: WorkerId) -> None:
        """Process a new view of a worker."""
        self._removals.check_view(worker)
        record = self.find_worker(worker)
        session = self.get_session(worker)
        if record is not None and session is not None:
            self._begun.record(session.active)
            self._examine_probes(worker, session)
            self._mitigator.handle_view(record, session)
        self._request_round()

    def has_begun(self, job: Job) -> bool:
        """Return whether a worker is known to have begun a run of a job."""
        return self._begun.has_begun(job)

    def is_standing(self, task: TaskName) -> bool:
        """Return whether a task runs until its job is cancelled."""
        step = self.state.find_step(task)
        return step is not None and step.standing

    def find_steps(self, worker: Worker) -> Mapping[TaskName, Step]:
        """Return the steps of the tasks that are recorded on a worker."""
        return self._headrooms.find_steps(self.state, worker)

    def choose_view_timeout(self, worker: Worker) -> timedelta:
        """Return how long a view of a worker may wait for a run to end."""
        if self._quarantine.list_probes(worker.worker):
            return timedelta()
        has_suspect = self._suspects.has_suspect(worker.worker)
        if has_suspect or self._mitigator.has_serving(worker):
            return self._settings.watched_view_timeout
        return self._settings.view_timeout

    def fits_capacity(self, worker: Worker) -> bool:
        """Return whether a worker's capacity is known, and holds all its runs."""
        return self._capacities.is_known(worker) and self._capacities.holds_runs(worker)

    # Interface for the scheduling service.

    def get_session(self, worker: WorkerId) -> WorkerSession | None:
        """Return the session with a worker, or None if it has none."""
        return self._registry.sessions.get(worker)

    async def handle_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Record a worker's report; return whether it is recorded.

        A heartbeat with an outdated sequence number changes nothing.
        """
        if self._registry.is_stale(heartbeat.report.worker, heartbeat.sequence):
            return heartbeat.report.worker in self.state.workers
        self._registry.forward_heartbeat(heartbeat)
        report = msgspec.structs.replace(heartbeat.report, sequence=heartbeat.sequence)
        if not await self._record_report(report):
            return False
        self._registry.mark_recorded(heartbeat)
        return True

    def handle_digest(self, digest: HeartbeatDigest) -> tuple[WorkerId, ...]:
        """Process heartbeats answered elsewhere; return workers without a record."""
        self._versions.record(digest)
        workers = self.state.workers
        for sighting in digest.sightings:
            if sighting.worker not in workers:
                continue
            try:
                self._registry.record_sighting(sighting)
            except Exception as error:
                contain(Unit.HEARTBEAT, error, worker=sighting.worker)
        return tuple(
            each.worker for each in digest.sightings if each.worker not in workers
        )

    async def _record_report(self, report: WorkerReport) -> bool:
        if is_recorded(self.state, report):
            return True
        self._removals.check_report(report.worker)
        self._check_former_incarnations(report)
        result = await self._log.propose(UpdateWorkers(reports=(report,)))
        if not isinstance(result, Success):
            return False
        log_event(
            logger,
            logging.INFO,
            "worker-reported",
            worker=report.worker,
            machine=report.machine,
            draining=report.draining,
        )
        return True

    async def handle_departure(self, worker: WorkerId) -> bool:
        """Handle a worker's announcement of its exit; always returns True."""
        session = self.get_session(worker)
        if session is not None:
            session.handle_exit_announcement()
        return True

    def _check_former_incarnations(self, report: WorkerReport) -> None:
        for worker in self.state.workers.values():
            is_same = worker.machine == report.machine or (
                worker.address == report.address
            )
            session = self.get_session(worker.worker)
            if is_same and session is not None:
                session.request_view()

    # Tasks of ``run``.

    async def _keep_running(
        self, name: str, work: Callable[[], Awaitable[None]]
    ) -> None:
        """Do work that goes on for the whole term, again after an error."""
        while True:
            try:
                await work()
            except Exception as error:
                contain(Unit.ACTIVITY, error, activity=name)
            await self._clock.sleep(RESUMPTION_DELAY)

    async def _request_rounds(self) -> None:
        while True:
            await self._clock.sleep(IDLE_ROUND_INTERVAL)
            self._request_round()

    async def _follow_state(self, nursery: trio.Nursery) -> None:
        """Follow each change of the state, without waiting for commits.

        Keeps a session with each worker, stops obsolete runs and requests rounds.
        """
        while True:
            seen = self._log.changes
            self._registry.synchronize(self.state.workers, nursery)
            self._terminations.stop_obsolete()
            self._request_round()
            await self._log.wait_change(seen)

    def _request_round(self, urgency: Urgency = Urgency.ROUTINE) -> None:
        self._pacer.request(urgency)
        self._housekeeping.request()

    def _request_round_after(
        self, _index: LogIndex, command: Command, _reply: Reply
    ) -> None:
        self._pacer.request(find_urgency(self.state, command))

    def _examine_probes(self, worker: WorkerId, session: WorkerSession) -> None:
        """Record what the latest view tells of the probe of a worker."""
        for key in self._quarantine.list_probes(worker):
            if session.get_pace(key) == PAUSED:  # it proves nothing without progress
                self._quarantine.record_end(worker, key)
            elif session.has_run(key):
                self._quarantine.record_presence(
                    worker,
                    key,
                    self._clock.monotonic(),
                    has_advanced=session.has_advanced(key),
                )

    def _examine_worker(self, worker: WorkerId) -> None:
        self._terminations.add_worker(worker)

    def _forget_worker(self, worker: WorkerId) -> None:
        self._quarantine.forget(worker)
        self._mitigator.forget(worker)
        self._headrooms.forget(worker)

    async def _save_harm(self) -> None:
        """Replicate the learned estimates for the next leader."""
        while True:
            await self._clock.sleep(self._settings.harm_save_interval)
            changed = self._interference.take_changes()
            if changed:
                await self._propose(SaveHarm(estimates=changed))

    async def _run_rounds(self) -> None:
        while True:
            await self._pacer.wait()
            if self.get_term() is None:
                continue
            self._housekeeping.stop_runs()
            self._housekeeping.evacuate()
            await self._run_round()

    def measure_headroom(self) -> dict[WorkerId, WorkerHeadroom]:
        """Return the headroom of each worker that may receive any tasks."""
        return self._reservations.exclude(self._availability.measure_all())

    def measure_worker(self, worker: Worker) -> WorkerHeadroom | None:
        """Return the headroom of a worker, or None if it may not receive tasks."""
        return self._availability.measure(worker)

    async def _run_round(self) -> None:
        began = self._clock.monotonic()
        headrooms = self._availability.measure_all()
        reserved = self._reservations.take(headrooms, self._interference)
        self._rejected.begin_round(headrooms, self._interference, began)
        self._jobs.synchronize(self.state)
        placer = Placer(
            self._jobs.open.values(),
            self.state.map_serving_queues(),
            headrooms,
            avoided=self._avoided,
            interference=self._interference,
            rank=self._rank,
            is_starved=self._backlog.is_starved,
            may_wait=self._suspects.may_wait,
            unresolved=self._suspects.count_unresolved(),
            rejected=self._rejected,
            quarantined=self._availability.measure_quarantined(),
            reserved=reserved,
        )
        starts = await choose_starts(placer, self._clock)
        self._reservations.record_unplaced(
            placer.unplaced.values(), placer.trials.values()
        )
        took = self._clock.monotonic() - began
        ROUND_SECONDS.observe(took.total_seconds())
        self._stages.record_round(began, took, has_starts=bool(starts))
        try:
            self._survey(placer, headrooms)
        except Exception as error:
            contain(Unit.ACTIVITY, error, activity="survey")
        if starts:
            await self._starter.start(starts)
        self._pacer.record_round(took)
        if len(starts) >= MAX_STARTS_PER_ROUND:
            self._pacer.request(Urgency.URGENT)

    def _survey(
        self, placer: Placer, headrooms: Mapping[WorkerId, WorkerHeadroom]
    ) -> None:
        self._waiting_log.write(placer)
        self._backlog_log.write(
            self._jobs.open.values(),
            self.state.map_serving_queues(),
            headrooms.values(),
        )

    def _rank(self, waiting: WaitingStep) -> tuple[float, ...]:
        return self._backlog.rank(waiting.job, waiting.queue, waiting.occurrence)

    def _is_paused(self, worker: WorkerId, key: RunKey) -> bool:
        session = self.get_session(worker)
        return session is not None and session.get_pace(key) == PAUSED

    async def _commit_ends(self, ends: tuple[WorkerEnds, ...]) -> None:
        for report in ends:
            try:
                self._record_outcomes(report)
            except Exception as error:
                contain(Unit.SESSION, error, worker=report.worker)
        begun = self._begun.list_unsaved()
        await self._propose(EndRuns(workers=ends, begun=begun))
        self._begun.drop_saved(begun)

    async def _propose(self, command: Command) -> None:
        await propose_until_committed(self._log, command, self._clock)

    def avoid(self, task: TaskName, worker: WorkerId) -> None:
        """Prefer other workers when ``task`` is started again."""
        self._avoided.setdefault(task, set()).add(worker)

    def _find_step_workers(self, step: StepName) -> Set[WorkerId]:
        return self.state.find_step_workers(step)

    def _handle_lost_run(self, key: RunKey) -> None:
        """Handle a run that ends with its worker."""
        self._late_ends.record_abandoned(key, AbandonCause.REMOVED)
        self._terminations.add_ended_run(key)

    def _record_outcomes(self, report: WorkerEnds) -> None:
        now = self._clock.monotonic()
        if report.recorded_ends:  # they are listed by the worker
            listed = (ended.task for ended in report.ends if ended.end.is_listed)
            self._begun.record(listed)
        since = self._late_since.get(report.worker)
        for ended in report.ends:
            if self._late_ends.is_late(report.worker, ended):
                self._late_ends.log(report.worker, ended)
            else:
                log_event(
                    logger,
                    logging.INFO,
                    "run-ended",
                    task=ended.task,
                    run=ended.run,
                    worker=report.worker,
                    end=ended.end.value,
                )
                RUNS_ENDED.labels(ended.end.value).inc()
            step = None if self.is_standing(ended.task) else name_step(ended.task)
            if ended.end is RunEnd.DONE:
                self._quarantine.record_success(report.worker, step)
                self._avoided.pop(ended.task, None)
            elif ended.end is RunEnd.FAILED:
                self._quarantine.record_failure(report.worker, now, since, step)
                self.avoid(ended.task, report.worker)
            if ended.end is not RunEnd.DONE:
                key = RunKey(ended.task, ended.run)
                self._quarantine.record_end(report.worker, key)
