"""Checks of a fleet's guarantees, independent of the fleet's own records.

The checks compare the replies that callers and operators received with the
runs that simulated backend servers and workers counted.
"""

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

MAX_VIOLATIONS = 50
CONFIGURATION_DELAY_SECONDS = 8.0
RECOVERY_SECONDS = 20.0


class FleetChecker:
    """Checks that a fleet keeps its guarantees during a replay.

    Parameters
    ----------
    fleet
        The fleet under test.

    Attributes
    ----------
    violations
        A sentence for each violated guarantee, without repetitions. Violations
        beyond ``MAX_VIOLATIONS`` are dropped, except those that the observer of
        the workers found.
    """

    def __init__(self, fleet: MemoryFleet) -> None:
        self._fleet = fleet
        self._requests = 0
        self._not_run: list[RequestId] = []
        self._request_ids_by_key: dict[tuple[Tenant, IdempotencyKey], set[str]] = {}
        self._idempotent: set[RequestId] = set()
        self._records: dict[int, tuple[Command, CommandRecord]] = {}
        self._newest_version = 0
        self._newest_version_at = 0.0
        self._last_fault_at = 0.0
        self._versions: dict[str, tuple[object, int]] = {}
        self.violations: list[str] = []

    def make_request_id(self) -> str:
        """Return a new, unique request id."""
        self._requests += 1
        return f"r{self._requests}"

    def record_request(self, request: CallerRequest) -> None:
        """Record a request before it is routed."""
        if request.idempotent:
            self._idempotent.add(request.request_id)
        if request.idempotency_key is not None:
            key = (request.tenant, request.idempotency_key)
            self._request_ids_by_key.setdefault(key, set()).add(request.request_id)

    def check_answer(self, request: CallerRequest, answer: BackendAnswer) -> None:
        """Check that an answer belongs to the request or to one with the same key.

        Only an answer that is marked as repeated may come from another request.
        """
        allowed = {str(request.request_id)}
        if answer.repeated and request.idempotency_key is not None:
            allowed = self._request_ids_by_key[request.tenant, request.idempotency_key]
        if answer.body.decode() not in allowed:
            self._add_violation(f"{request.request_id} was answered {answer.body!r}")

    def record_fault(self) -> None:
        """Record that a fault begins, ends or is active now."""
        self._last_fault_at = trio.current_time()

    def record_refusal(self, request: CallerRequest, refusal: Refusal) -> None:
        """Record a request that was refused as not run."""
        if refusal.outcome is Outcome.NOT_RUN:
            self._not_run.append(request.request_id)

    def check_command_record(self, event: Command, record: CommandRecord) -> None:
        """Check that a number has one command, always answered with the same record."""
        first, answer = self._records.setdefault(event.number, (event, record))
        if (first.operator, first.text) != (event.operator, event.text):
            self._add_violation(f"number {event.number} stands for two commands")
        elif answer != record:
            self._add_violation(f"command {event.number} was answered differently")

    def check_configuration(self) -> None:
        """Check the configuration versions in force.

        A process never goes back to an earlier version, and it takes over a new
        version within ``CONFIGURATION_DELAY_SECONDS``. That time starts at the
        earliest ``RECOVERY_SECONDS`` after the last fault.
        """
        processes = list(self._iterate_processes())
        for name, process, version in processes:
            self._check_version(name, process, version)
        newest = max((version for _, _, version in processes), default=0)
        if newest > self._newest_version:
            self._newest_version = newest
            self._newest_version_at = trio.current_time()
        start = max(self._newest_version_at, self._last_fault_at + RECOVERY_SECONDS)
        if trio.current_time() <= start + CONFIGURATION_DELAY_SECONDS:
            return
        for name, _, version in processes:
            if version < self._newest_version:
                self._add_violation(
                    f"{name} has not taken configuration {self._newest_version}"
                )

    def _iterate_processes(self) -> Iterator[tuple[str, object, int]]:
        for name, controller in self._fleet.controllers.items():
            version = controller.in_force.configuration.version
            yield f"controller {name}", controller, version
        for name, entry in self._fleet.entries.items():
            yield f"entry {name}", entry, entry.in_force.configuration.version

    def _check_version(self, name: str, process: object, version: int) -> None:
        last_process, before = self._versions.get(name, (process, 0))
        if last_process is process and version < before:
            self._add_violation(f"{name} went back to configuration {version}")
        self._versions[name] = (process, version)

    def check_final_state(self) -> None:
        """Check the guarantees that hold once all faults are repaired."""
        self.violations.extend(self._fleet.observer.violations)
        self._check_servers()
        self._check_requests()
        for task, attempts in self._fleet.observer.finished.items():
            if len(attempts) > 1:
                self._add_violation(f"task {task} finished {len(attempts)} times")
        for unsettled in self.find_unsettled():
            self._add_violation(unsettled)

    def _check_servers(self) -> None:
        for server in self._fleet.servers.values():
            if server.counts.over_slots:
                self._add_violation(f"{server.server} got more than its slots")
            if server.counts.after_leaving:
                self._add_violation(f"{server.server} got requests after it left")

    def _check_requests(self) -> None:
        runs: Counter[RequestId] = Counter()
        keyed: Counter[str] = Counter()
        for server in self._fleet.servers.values():
            runs += server.counts.runs
            keyed += server.counts.keyed_runs
        for request in self._not_run:
            if runs[request]:
                self._add_violation(f"{request} was said not to have run, but did")
        for request, count in runs.items():
            if count > 1 and request not in self._idempotent:
                self._add_violation(
                    f"{request} is not idempotent and ran {count} times"
                )
        for key, count in keyed.items():
            if count > 1:
                self._add_violation(f"key {key} ran {count} times")

    def find_unsettled(self) -> list[str]:
        """Return a sentence for each change that has not completed yet.

        The result is empty once all processes have the latest configuration,
        all controllers have every answered command and its jobs, and no batch
        job is open.
        """
        unsettled = [
            f"{name} lacks configuration {self._newest_version}"
            for name, _, version in self._iterate_processes()
            if version != self._newest_version
        ]
        for name, controller in self._fleet.controllers.items():
            unsettled += self._find_missing(name, controller.fleet_state)
            unsettled += [
                f"controller {name} has {job.id} {job.state.value}: {job.reason}"
                for job in controller.fleet_state.jobs.values()
                if job.is_open and job.request.kind is WorkKind.BATCH
            ]
        return unsettled

    def _find_missing(self, name: str, state: FleetState) -> list[str]:
        missing = []
        for number, (event, record) in self._records.items():
            if state.table.records.get(str(number)) != record:
                missing.append(f"controller {name} lacks command {number}")
            created = record.accepted and event.text.startswith("create ")
            if created and not all(job in state.jobs for job in record.jobs):
                missing.append(f"controller {name} lacks the job of {number}")
        return missing

    def _add_violation(self, violation: str) -> None:
        if violation in self.violations:
            return
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(violation)
