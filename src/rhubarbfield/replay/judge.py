"""Judging a fleet from outside, by what the stand-ins counted."""

from __future__ import annotations

from collections import Counter

from rhubarbfield.fleet import CommandRecord
from rhubarbfield.replay.events import Command
from rhubarbfield.replay.fleet import MemoryFleet
from rhubarbfield.routing import BackendAnswer, CallerRequest, Refusal
from rhubarbfield.types import Outcome, RequestId

MOST_VIOLATIONS = 50


class Judge:
    """Notes what callers and operators were told, and compares.

    Parameters
    ----------
    fleet
        The fleet that is judged.
    """

    def __init__(self, fleet: MemoryFleet) -> None:
        self._fleet = fleet
        self._requests = 0
        self._not_run: list[RequestId] = []
        self._records: dict[tuple[str, int, str], CommandRecord] = {}
        self._versions: dict[str, tuple[object, int]] = {}
        self.violations: list[str] = []

    def name_request(self) -> str:
        """Return an id that no request had before."""
        self._requests += 1
        return f"r{self._requests}"

    def note_answer(self, request: CallerRequest, answer: BackendAnswer) -> None:
        """Check that an answer is to this request, or to the first of its key."""
        if not answer.repeated and answer.body.decode() != request.request_id:
            self._complain(f"{request.request_id} was answered {answer.body!r}")

    def note_refusal(self, request: CallerRequest, refusal: Refusal) -> None:
        """Remember what was said not to have been run."""
        if refusal.outcome is Outcome.NOT_RUN:
            self._not_run.append(request.request_id)

    def note_record(self, event: Command, record: CommandRecord) -> None:
        """Check that a command always gets its first answer."""
        key = (event.operator, event.number, event.text)
        first = self._records.setdefault(key, record)
        if first != record:
            self._complain(f"command {event.number} was answered differently")
        others = [other for other in self._records if other[1] == event.number]
        if len(others) > 1:
            self._complain(f"number {event.number} stands for two commands")

    def watch(self) -> None:
        """Check what must hold at every moment."""
        for name, controller in self._fleet.controllers.items():
            version = controller.in_force.configuration.version
            self._check_version(f"controller {name}", controller, version)
        for name, entry in self._fleet.entries.items():
            version = entry.in_force.configuration.version
            self._check_version(f"entry {name}", entry, version)

    def _check_version(self, name: str, process: object, version: int) -> None:
        same, before = self._versions.get(name, (process, 0))
        if same is process and version < before:
            self._complain(f"{name} went back to configuration {version}")
        self._versions[name] = (process, version)

    def finish(self) -> None:
        """Check what must hold in the end, with all faults mended."""
        self.violations.extend(self._fleet.observer.violations)
        runs: Counter[RequestId] = Counter()
        keyed: Counter[str] = Counter()
        for server in self._fleet.servers.values():
            runs += server.counts.runs
            keyed += server.counts.keyed_runs
            if server.counts.over_slots:
                self._complain(f"{server.server} got more than its slots")
            if server.counts.after_leaving:
                self._complain(f"{server.server} got requests after it left")
        for request in self._not_run:
            if runs[request]:
                self._complain(f"{request} was said not to have run, but did")
        for key, count in keyed.items():
            if count > 1:
                self._complain(f"key {key} ran {count} times")
        self._check_tasks()
        self._check_current()

    def _check_tasks(self) -> None:
        for task, attempts in self._fleet.observer.finished.items():
            if len(attempts) > 1:
                self._complain(f"task {task} finished {len(attempts)} times")

    def _check_current(self) -> None:
        """All processes have the latest configuration, and no command is lost."""
        states = [one.fleet_state for one in self._fleet.controllers.values()]
        latest = max(state.configuration.version for state in states)
        for name, entry in self._fleet.entries.items():
            if entry.in_force.configuration.version != latest:
                self._complain(f"entry {name} lacks configuration {latest}")
        for (_, number, _), record in self._records.items():
            for state in states:
                if state.table.records.get(str(number)) != record:
                    self._complain(f"command {number} is not in every log")
                    break
        self._check_jobs()

    def _check_jobs(self) -> None:
        for controller in self._fleet.controllers.values():
            for job in controller.fleet_state.jobs.values():
                if job.is_open and job.request.kind.value == "batch":
                    self._complain(
                        f"job {job.id} is still {job.state.value}: {job.reason}"
                    )
            return

    def _complain(self, violation: str) -> None:
        if len(self.violations) < MOST_VIOLATIONS:
            self.violations.append(violation)
