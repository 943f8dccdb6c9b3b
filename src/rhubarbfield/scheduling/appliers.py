"""Application of commands to the replicated state."""

from __future__ import annotations

import msgspec

from rhubarbfield.containment import Unit, contained
from rhubarbfield.exceptions import check_invariant
from rhubarbfield.machine import Done, Refused, Reply, SectionedMachine
from rhubarbfield.scheduling.commands import (
    AcceptJob,
    CancelJob,
    EndedRun,
    EndRuns,
    ForgetJobs,
    OpenOccurrences,
    PutConfiguration,
    RaiseStateVersion,
    RemoveWorker,
    RunsRecorded,
    RunStart,
    SaveHarm,
    StartRuns,
    UpdateWorkers,
    WorkerEnds,
    WorkerReport,
    scheduling_commands,
)
from rhubarbfield.scheduling.crashes import CrashedRun
from rhubarbfield.scheduling.former_queues import (
    KEPT_CONFIGURATIONS,
    find_former_queues,
)
from rhubarbfield.scheduling.gang_checkpoints import CheckpointSource
from rhubarbfield.scheduling.model import (
    LATE_SUCCESS_VERSION,
    NO_CHECKPOINT,
    RunNumber,
    StepName,
    name_step,
)
from rhubarbfield.scheduling.queue_index import index_queues
from rhubarbfield.scheduling.state import (
    Job,
    JobPhase,
    RunEnd,
    SchedulingState,
    Task,
    TaskPhase,
    Worker,
)
from rhubarbfield.scheduling.suspicion import record_crash
from rhubarbfield.scheduling.witnesses import Witness
from rhubarbfield.types import JobId, WorkerId

MAX_HARM_ESTIMATES = 10_000  # about 1 MB of a snapshot
MAX_WITHDRAWN_JOBS = 4096  # at most 300 KB of a snapshot


class SchedulingLogState(msgspec.Struct):
    """State of the state machine, which has a single section."""

    scheduling: SchedulingState = msgspec.field(default_factory=SchedulingState)


def make_scheduling_machine() -> SectionedMachine[SchedulingLogState]:
    """Return the state machine of a deployment's log."""
    return SectionedMachine(
        SchedulingLogState, {"scheduling": scheduling_commands}, (RunsRecorded,)
    )


@scheduling_commands.applies(PutConfiguration)
def _put_configuration(state: SchedulingState, command: PutConfiguration) -> Reply:
    held = state.configuration
    offered = command.configuration
    if held is not None and offered.version == held.version:
        if offered.document != held.document:
            return Refused(reason=f"version {held.version} has other content")
        return Done()
    if held is None or offered.version > held.version:
        removed = {} if held is None else state.map_queues()
        state.configuration = offered
        state.configurations += 1
        sizes = [*state.configuration_sizes, len(msgspec.msgpack.encode(offered))]
        state.configuration_sizes = sizes[-KEPT_CONFIGURATIONS:]
        state.former_queues = find_former_queues(
            state.former_queues,
            removed,
            configured=index_queues(offered),
            number=state.configurations,
            sizes=state.configuration_sizes,
            used={job.queue for job in state.jobs.values() if job.is_open},
        )
    return Done()


@scheduling_commands.applies(AcceptJob)
def _accept_job(state: SchedulingState, command: AcceptJob) -> Reply:
    if command.job in state.jobs:
        return Done()
    state.accepted += 1
    job = Job(
        job=command.job,
        queue=command.queue,
        order=state.accepted,
        submission=command.submission,
        accepted_ms=command.accepted_ms,
    )
    if command.submission.recurrence is None:
        job.open_occurrence(0)
    if command.job in state.withdrawn:
        del state.withdrawn[command.job]
        job.phase = JobPhase.CANCELLED
    state.jobs[command.job] = job
    return Done()


@scheduling_commands.applies(CancelJob)
def _cancel_job(state: SchedulingState, command: CancelJob) -> Reply:
    job = state.jobs.get(command.job)
    if job is None:
        _withdraw_job(state, command.job)
        return Refused(reason=f"job {command.job} is not known")
    if job.is_open:
        job.phase = JobPhase.CANCELLED
    return Done()


def _withdraw_job(state: SchedulingState, job: JobId) -> None:
    """Note that a job is cancelled, whose submission may still be on the way."""
    state.withdrawn.pop(job, None)
    state.withdrawn[job] = None
    while len(state.withdrawn) > MAX_WITHDRAWN_JOBS:
        del state.withdrawn[next(iter(state.withdrawn))]


@scheduling_commands.applies(ForgetJobs)
def _forget_jobs(state: SchedulingState, command: ForgetJobs) -> Reply:
    for name in command.jobs:
        job = state.jobs.get(name)
        if job is not None and not job.is_open and not job.has_live_runs:
            del state.jobs[name]
    return Done()


@scheduling_commands.applies(OpenOccurrences)
def _open_occurrences(state: SchedulingState, command: OpenOccurrences) -> Reply:
    for name, number in command.due:
        job = state.jobs.get(name)
        if job is not None and job.is_open:
            job.open_occurrence(number)
    return Done()


@scheduling_commands.applies(UpdateWorkers)
def _update_workers(state: SchedulingState, command: UpdateWorkers) -> Reply:
    for report in command.reports:
        _update_worker(state, report)
    return Done()


def _update_worker(state: SchedulingState, report: WorkerReport) -> None:
    worker = state.workers.get(report.worker)
    if worker is None:
        state.workers[report.worker] = Worker(
            worker=report.worker,
            machine=report.machine,
            service=report.service,
            address=report.address,
            zone=report.zone,
            capacity=report.capacity,
            labels=report.labels,
            draining=report.draining,
            sequence=report.sequence,
        )
        return
    # A report may arrive late; draining is never undone.
    worker.draining = worker.draining or report.draining
    if report.sequence and report.sequence < worker.sequence:
        return
    worker.sequence = report.sequence
    worker.service = report.service
    worker.address = report.address
    worker.capacity = report.capacity
    worker.labels = report.labels


@scheduling_commands.applies(RemoveWorker)
def _remove_worker(state: SchedulingState, command: RemoveWorker) -> Reply:
    worker = state.workers.pop(command.worker, None)
    if worker is None:
        return Done()
    for other in state.workers.values():
        if any(each.worker == command.worker for each in other.witnesses):
            other.witnesses = tuple(
                each for each in other.witnesses if each.worker != command.worker
            )
    # A task whose record raises must not keep those of the others: the worker is gone.
    for crashed in command.crashed:
        with contained(Unit.JOB, task=crashed.task):
            _record_crash(state, crashed)
    for task, run in list(worker.runs.items()):
        checkpoint = command.checkpoints.get(task, NO_CHECKPOINT)
        with contained(Unit.JOB, task=task):
            _end_run(state, worker, EndedRun(task, run, RunEnd.LOST, checkpoint))
    return Done()


def _record_crash(state: SchedulingState, crashed: CrashedRun) -> None:
    found = state.find_task(crashed.task)
    if found is None:
        return
    job, _, _, task = found
    if not job.is_open or task.phase.is_final:
        return
    if record_crash(task, crashed):
        job.set_phase(task, TaskPhase.FAILED)
        job.phase = JobPhase.FAILED


@scheduling_commands.applies(StartRuns)
def _start_runs(state: SchedulingState, command: StartRuns) -> Reply:
    broken = _find_broken_gangs(state, command.starts)
    recorded = []
    for position, start in enumerate(command.starts):
        if name_step(start.task) not in broken and _is_startable(state, start):
            _record_run(state, start)
            recorded.append(position)
    return RunsRecorded(recorded=tuple(recorded))


def _find_broken_gangs(
    state: SchedulingState, starts: tuple[RunStart, ...]
) -> set[StepName]:
    """Return the steps whose gang can't start as a whole under one number.

    The other members would wait forever for one that can't start.
    """
    gangs: dict[StepName, list[RunStart]] = {}
    for start in starts:
        if _is_gang(state, start):
            gangs.setdefault(name_step(start.task), []).append(start)
    return {
        name for name, members in gangs.items() if not _is_whole_gang(state, members)
    }


def _is_whole_gang(state: SchedulingState, members: list[RunStart]) -> bool:
    step = state.find_step(members[0].task)
    assert step is not None
    return (
        len({member.task for member in members}) == step.tasks
        and len({member.run for member in members}) == 1
        and all(_is_startable(state, member) for member in members)
    )


def _is_gang(state: SchedulingState, start: RunStart) -> bool:
    step = state.find_step(start.task)
    return step is not None and step.gang


def _is_startable(state: SchedulingState, start: RunStart) -> bool:
    worker = state.workers.get(start.worker)
    found = state.find_task(start.task)
    if worker is None or worker.draining or found is None:
        return False
    job, occurrence, step, task = found
    # A proposal that got no answer in time may be followed by another one with the
    # same numbers, and both may be committed.
    if start.run <= task.last_run:
        return False
    return _may_start(job, occurrence, step, task, start)


def _record_run(state: SchedulingState, start: RunStart) -> None:
    worker = state.workers[start.worker]
    found = state.find_task(start.task)
    assert found is not None
    job, _, _, task = found
    check_invariant(start.run > task.last_run, "run-numbers-grow", (start, task))
    check_invariant(start.task not in worker.runs, "one-run-a-worker", start)
    job.set_phase(task, TaskPhase.LIVE)
    task.last_run = start.run
    task.live[start.run] = start.worker
    worker.runs[start.task] = start.run
    worker.lapsed.clear()
    job.started = True
    job.phase = JobPhase.RUNNING


def _may_start(
    job: Job, occurrence: int, step: int, task: Task, start: RunStart
) -> bool:
    if not job.is_open or not job.is_step_ready(occurrence, step):
        return False
    if task.phase is TaskPhase.LIVE:
        is_copy = job.get_step(step).copies_allowed
        return is_copy and start.worker not in task.live.values()
    return task.phase is TaskPhase.WAITING


@scheduling_commands.applies(RaiseStateVersion)
def _raise_state_version(state: SchedulingState, command: RaiseStateVersion) -> Reply:
    state.version = max(state.version, command.version)
    return Done()


@scheduling_commands.applies(SaveHarm)
def _save_harm(state: SchedulingState, command: SaveHarm) -> Reply:
    for estimate in command.estimates:
        key = f"{estimate.service}/{estimate.batch_kind}/{estimate.band}"
        if key in state.harm or len(state.harm) < MAX_HARM_ESTIMATES:
            state.harm[key] = estimate
    return Done()


@scheduling_commands.applies(EndRuns)
def _end_runs(state: SchedulingState, command: EndRuns) -> Reply:
    counts_late = state.version >= LATE_SUCCESS_VERSION
    for report in command.workers:
        worker = state.workers.get(report.worker)
        if worker is None:
            continue
        if report.recorded_ends > worker.recorded_ends:
            worker.lapsed.clear()  # it was only cut off, and lists its ends
        for ended in report.ends:
            _end_run(state, worker, ended, counts_late=counts_late)
        worker.lapsed.extend(report.lapsed)
        _record_brief(worker, report)
        worker.recorded_ends = max(worker.recorded_ends, report.recorded_ends)
    for name in command.silent:
        _mark_worker(state, name, command.witnesses.get(name, ()), is_silent=True)
    for name in command.heard:
        _mark_worker(state, name, (), is_silent=False)
    for begun in command.begun:
        job = state.jobs.get(begun)
        if job is not None:
            job.begun = True
    return Done()


def _record_brief(worker: Worker, report: WorkerEnds) -> None:
    """Replace the worker's former run of each task that is reported."""
    dropped = set(report.proven)
    replaced = {each.task for each in report.brief}
    worker.brief = [
        each
        for each in worker.brief
        if each not in dropped and each.task not in replaced
    ]
    worker.brief.extend(report.brief)


def _mark_worker(
    state: SchedulingState,
    name: WorkerId,
    witnesses: tuple[Witness, ...],
    *,
    is_silent: bool,
) -> None:
    worker = state.workers.get(name)
    if worker is not None:
        worker.silent = is_silent
        # Those of a worker that is removed say nothing about a later one of its name.
        worker.witnesses = tuple(
            each for each in witnesses if each.worker in state.workers
        )


def _end_run(
    state: SchedulingState,
    worker: Worker,
    ended: EndedRun,
    *,
    counts_late: bool = False,
) -> None:
    """Record the end of a run.

    For a run that is not live it changes nothing, unless it is a success that counts
    late.
    """
    if worker.runs.get(ended.task) == ended.run:
        del worker.runs[ended.task]
    found = state.find_task(ended.task)
    if found is None:
        return
    job, occurrence, step, task = found
    if task.live.get(ended.run) != worker.worker:
        if counts_late:
            _record_late_end(worker, found, ended)
        return
    del task.live[ended.run]
    is_finite = not job.get_step(step).standing
    if is_finite and not (ended.end.is_listed or task.phase.is_final):
        task.record_abandoned(ended.run, worker.worker)
    _save_checkpoint(found, ended)
    if task.phase is TaskPhase.LIVE:
        _record_outcome(state, found, ended)
    job.close_occurrence(occurrence)


def _record_late_end(
    worker: Worker, found: tuple[Job, int, int, Task], ended: EndedRun
) -> None:
    """Complete a task whose run has succeeded although it was recorded as ended.

    Other runs of the task may be live; they are obsolete then. After another end the
    next run resumes from the checkpoint of the latest one.
    """
    job, occurrence, step, task = found
    is_known = task.abandoned.get(ended.run) == worker.worker
    if not is_known or not job.is_open or task.phase.is_final:
        return
    if ended.end is RunEnd.DONE:
        _finish_task(job, occurrence, step, task)
        job.close_occurrence(occurrence)
    elif ended.run == task.last_run:
        _save_checkpoint(found, ended)


def _save_checkpoint(found: tuple[Job, int, int, Task], ended: EndedRun) -> None:
    """Keep the checkpoint of a run that has ended, if it has one."""
    job, occurrence, step, task = found
    if not ended.checkpoint:
        return
    if job.get_step(step).gang:
        progress = job.occurrences[occurrence][step]
        source = _find_source(ended.end)
        progress.save_gang_checkpoint(ended.checkpoint, ended.run, source)
    # Earlier versions read it of a gang, too.
    task.checkpoint = ended.checkpoint


def _find_source(end: RunEnd) -> CheckpointSource:
    """Return where the checkpoint of an ended run comes from."""
    if end is RunEnd.STOPPED:
        return CheckpointSource.STOP
    return CheckpointSource.VIEW if end is RunEnd.LOST else CheckpointSource.END


def _record_outcome(
    state: SchedulingState, found: tuple[Job, int, int, Task], ended: EndedRun
) -> None:
    """Record what the end of a run means for its live task, and for its job."""
    job, occurrence, step, task = found
    if ended.end is RunEnd.DONE and not job.get_step(step).standing:
        _finish_task(job, occurrence, step, task)
    elif ended.end is RunEnd.FAILED and _count_failure(state, found, ended.run):
        job.set_phase(task, TaskPhase.FAILED)
        if job.is_open:
            job.phase = JobPhase.FAILED
    elif not task.live:
        job.set_phase(task, TaskPhase.WAITING)


def _count_failure(
    state: SchedulingState, found: tuple[Job, int, int, Task], run: RunNumber
) -> bool:
    """Count a failed run; return whether it was the last attempt allowed."""
    job, occurrence, step, task = found
    task.failures += 1
    failures = task.failures
    if job.get_step(step).gang:
        progress = job.occurrences[occurrence][step]
        if run not in progress.failed_runs:
            progress.failed_runs.append(run)
        failures = len(progress.failed_runs)
    queue = state.find_serving_queue(job.queue)
    if job.get_step(step).standing or queue is None:
        return False
    return failures >= queue.max_attempts


def _finish_task(job: Job, occurrence: int, step: int, task: Task) -> None:
    steps = job.occurrences[occurrence]
    progress = steps[step]
    # The success of one member completes the whole gang.
    finished = progress.tasks if job.get_step(step).gang else [task]
    for each in finished:
        job.set_phase(each, TaskPhase.DONE)
    progress.done += len(finished)
    if job.is_open and all(each.is_done for each in steps):
        job.finished += 1
        if job.finished >= job.wanted_occurrences:
            job.phase = JobPhase.COMPLETED
