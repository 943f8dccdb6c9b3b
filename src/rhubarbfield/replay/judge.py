"""Judging a fleet from outside, by what the stand-ins counted."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import trio

from rhubarbfield.fleet import CommandRecord, FleetState
from rhubarbfield.replay.events import Command
from rhubarbfield.replay.fleet import MemoryFleet
from rhubarbfield.routing import BackendAnswer, CallerRequest, Refusal
from rhubarbfield.types import (
    IdempotencyKey,
    Outcome,
    RequestId,
    Tenant,
    WorkKind,
)

MOST_VIOLATIONS = 50
IN_FORCE_SECONDS = 8.0
RECOVERY_SECONDS = 20.0


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
        self._of_key: dict[tuple[Tenant, IdempotencyKey], set[str]] = {}
        self._idempotent: set[RequestId] = set()
        self._records: dict[int, tuple[Command, CommandRecord]] = {}
        self._newest = 0
        self._newest_since = 0.0
        self._disturbed_at = 0.0
        self._versions: dict[str, tuple[object, int]] = {}
        self.violations: list[str] = []

    def name_request(self) -> str:
        """Return an id that no request had before."""
        self._requests += 1
        return f"r{self._requests}"

    def note_request(self, request: CallerRequest) -> None:
        """Remember a request that is about to be routed."""
        if request.idempotent:
            self._idempotent.add(request.request_id)
        if request.idempotency_key is not None:
            key = (request.tenant, request.idempotency_key)
            self._of_key.setdefault(key, set()).add(request.request_id)

    def note_answer(self, request: CallerRequest, answer: BackendAnswer) -> None:
        """Check that an answer is to this request, or to another of its key."""
        allowed = {str(request.request_id)}
        if answer.repeated and request.idempotency_key is not None:
            allowed = self._of_key[request.tenant, request.idempotency_key]
        if answer.body.decode() not in allowed:
            self._complain(f"{request.request_id} was answered {answer.body!r}")

    def note_disturbance(self) -> None:
        """Note that a fault begins or ends, or still lasts."""
        self._disturbed_at = trio.current_time()

    def note_refusal(self, request: CallerRequest, refusal: Refusal) -> None:
        """Remember what was said not to have been run."""
        if refusal.outcome is Outcome.NOT_RUN:
            self._not_run.append(request.request_id)

    def note_record(self, event: Command, record: CommandRecord) -> None:
        """Check that a number stands for one command, with one answer for ever."""
        first, answer = self._records.setdefault(event.number, (event, record))
        if (first.operator, first.text) != (event.operator, event.text):
            self._complain(f"number {event.number} stands for two commands")
        elif answer != record:
            self._complain(f"command {event.number} was answered differently")

    def watch(self) -> None:
        """Check what must hold at every moment."""
        processes = list(self._iterate_processes())
        for name, process, version in processes:
            self._check_version(name, process, version)
        newest = max((version for _, _, version in processes), default=0)
        if newest > self._newest:
            self._newest = newest
            self._newest_since = trio.current_time()
        since = max(self._newest_since, self._disturbed_at + RECOVERY_SECONDS)
        if trio.current_time() <= since + IN_FORCE_SECONDS:
            return
        for name, _, version in processes:
            if version < self._newest:
                self._complain(f"{name} has not taken configuration {self._newest}")

    def _iterate_processes(self) -> Iterator[tuple[str, object, int]]:
        for name, controller in self._fleet.controllers.items():
            version = controller.in_force.configuration.version
            yield f"controller {name}", controller, version
        for name, entry in self._fleet.entries.items():
            yield f"entry {name}", entry, entry.in_force.configuration.version

    def _check_version(self, name: str, process: object, version: int) -> None:
        same, before = self._versions.get(name, (process, 0))
        if same is process and version < before:
            self._complain(f"{name} went back to configuration {version}")
        self._versions[name] = (process, version)

    def finish(self) -> None:
        """Check what must hold in the end, with all faults mended."""
        self.violations.extend(self._fleet.observer.violations)
        self._check_servers()
        self._check_requests()
        for task, attempts in self._fleet.observer.finished.items():
            if len(attempts) > 1:
                self._complain(f"task {task} finished {len(attempts)} times")
        for unsettled in self.find_unsettled():
            self._complain(unsettled)

    def _check_servers(self) -> None:
        for server in self._fleet.servers.values():
            if server.counts.over_slots:
                self._complain(f"{server.server} got more than its slots")
            if server.counts.after_leaving:
                self._complain(f"{server.server} got requests after it left")

    def _check_requests(self) -> None:
        runs: Counter[RequestId] = Counter()
        keyed: Counter[str] = Counter()
        for server in self._fleet.servers.values():
            runs += server.counts.runs
            keyed += server.counts.keyed_runs
        for request in self._not_run:
            if runs[request]:
                self._complain(f"{request} was said not to have run, but did")
        for request, count in runs.items():
            if count > 1 and request not in self._idempotent:
                self._complain(f"{request} is not idempotent and ran {count} times")
        for key, count in keyed.items():
            if count > 1:
                self._complain(f"key {key} ran {count} times")

    def find_unsettled(self) -> list[str]:
        """Return a sentence for all that still has to happen.

        All processes have the latest configuration, all controllers know each
        command and its jobs, and no batch is open.
        """
        unsettled = [
            f"{name} lacks configuration {self._newest}"
            for name, _, version in self._iterate_processes()
            if version != self._newest
        ]
        for name, controller in self._fleet.controllers.items():
            unsettled += self._find_lost(name, controller.fleet_state)
            unsettled += [
                f"controller {name} has {job.id} {job.state.value}: {job.reason}"
                for job in controller.fleet_state.jobs.values()
                if job.is_open and job.request.kind is WorkKind.BATCH
            ]
        return unsettled

    def _find_lost(self, name: str, state: FleetState) -> list[str]:
        lost = []
        for number, (event, record) in self._records.items():
            if state.table.records.get(str(number)) != record:
                lost.append(f"controller {name} lacks command {number}")
            created = record.accepted and event.text.startswith("create ")
            if created and not all(job in state.jobs for job in record.jobs):
                lost.append(f"controller {name} lacks the job of {number}")
        return lost

    def _complain(self, violation: str) -> None:
        if violation in self.violations:
            return
        if len(self.violations) < MOST_VIOLATIONS:
            self.violations.append(violation)
