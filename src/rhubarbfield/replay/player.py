"""Replay of a trace on an in-memory fleet, with checks of its outcomes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from typing import Any

import msgspec
import trio
from returns.result import Failure, Success

from rhubarbfield.language import CommandStatement, parse
from rhubarbfield.operators import Submission
from rhubarbfield.replay.checker import FleetChecker
from rhubarbfield.replay.events import (
    AnyEvent,
    Ask,
    Burst,
    CheckConfiguration,
    CheckJob,
    Command,
    Cut,
    FailEverything,
    Freeze,
    HealAll,
    Kill,
    Leave,
    LoseDisk,
    Reset,
    Silence,
    Slow,
    Start,
    Trace,
    TraceEvent,
)
from rhubarbfield.replay.fleet import SERVICE, MemoryFleet
from rhubarbfield.replay.names import list_instances, list_workers
from rhubarbfield.routing import CallerRequest
from rhubarbfield.types import (
    CommandNumber,
    IdempotencyKey,
    OperatorName,
    RequestClass,
    RequestId,
    Tenant,
)

START_SECONDS = 15.0
CHECK_INTERVAL_SECONDS = 0.5
MIN_SETTLE_SECONDS = 15.0
FAULT_EVENTS = (Cut, HealAll, Kill, LoseDisk, Reset, Silence, Slow, Start)


class EventResult(msgspec.Struct, frozen=True):
    """An event and its observed outcome."""

    event: AnyEvent
    outcome: str

    @property
    def differs(self) -> bool:
        """Whether the observed outcome is not one of the expected ones."""
        expected = self.event.outcome
        return bool(expected) and self.outcome not in expected.split("|")


class ReplayResult(msgspec.Struct, frozen=True, kw_only=True):
    """The result of replaying a trace.

    Attributes
    ----------
    event_results
        The events in order, with their observed outcomes.
    violations
        A sentence for each violated guarantee.
    """

    event_results: tuple[EventResult, ...]
    violations: tuple[str, ...]

    @property
    def differences(self) -> tuple[EventResult, ...]:
        """The events whose observed outcome was not expected."""
        return tuple(one for one in self.event_results if one.differs)

    @property
    def passed(self) -> bool:
        """Whether all outcomes were expected and no guarantee was violated."""
        return not self.differences and not self.violations


async def play_trace(trace: Trace) -> ReplayResult:
    """Replay ``trace`` in the running trio loop.

    Raises
    ------
    BrokenInvariantError
        If the program itself detected a violated invariant.
    """
    async with trio.open_nursery() as nursery:
        fleet = MemoryFleet(trace.fleet, nursery)
        player = _Player(fleet, nursery, trace)
        replay_result = await player.play()
        nursery.cancel_scope.cancel()
    return replay_result


class _Player:
    def __init__(self, fleet: MemoryFleet, nursery: trio.Nursery, trace: Trace) -> None:
        self._fleet = fleet
        self._nursery = nursery
        self._trace = trace
        self._checker = FleetChecker(fleet)
        self._outcomes: dict[int, str] = {}
        self._unfinished_events = 0
        self._handlers: dict[type[TraceEvent], Callable[[Any], Awaitable[str]]] = {
            Ask: self._ask,
            Burst: self._burst,
            Command: self._command,
            Kill: self._kill,
            Start: self._start,
            LoseDisk: self._lose_disk,
            Cut: self._cut,
            HealAll: self._heal_all,
            Silence: self._silence,
            Reset: self._reset,
            Slow: self._slow,
            FailEverything: self._fail_everything,
            Freeze: self._freeze,
            Leave: self._leave,
            CheckJob: self._check_job,
            CheckConfiguration: self._check_configuration,
        }

    async def play(self) -> ReplayResult:
        await self._fleet.start()
        await trio.sleep(START_SECONDS)
        self._nursery.start_soon(self._check_repeatedly)
        begin = trio.current_time()
        for number, event in enumerate(self._trace.events):
            await trio.sleep_until(begin + event.at)
            self._unfinished_events += 1
            self._nursery.start_soon(self._play_event, number, event)
        await self._repair_all()
        await self._settle()
        self._checker.check_configuration()
        self._checker.check_final_state()
        event_results = tuple(
            EventResult(event, self._outcomes[number])
            for number, event in enumerate(self._trace.events)
        )
        return ReplayResult(
            event_results=event_results, violations=tuple(self._checker.violations)
        )

    async def _settle(self) -> None:
        """Wait until all work has completed, at most as long as the trace allows."""
        await trio.sleep(MIN_SETTLE_SECONDS)
        with trio.move_on_after(self._trace.fleet.settle_seconds):
            while self._checker.find_unsettled():
                await trio.sleep(CHECK_INTERVAL_SECONDS)
        while self._unfinished_events:
            await trio.sleep(CHECK_INTERVAL_SECONDS)

    async def _repair_all(self) -> None:
        """Restart all killed processes and remove all other faults."""
        self._checker.record_fault()
        self._fleet.network.heal_all()
        for name in list_instances(self._trace.fleet):
            await self._fleet.start_process(f"controller {name}")
            await self._fleet.start_process(f"entry {name}")
        for name in list_workers(self._trace.fleet):
            await self._fleet.start_process(f"worker {name}")
            self._fleet.set_failing(name, False)

    async def _check_repeatedly(self) -> None:
        while True:
            if self._fleet.has_active_faults:
                self._checker.record_fault()
            self._checker.check_configuration()
            await trio.sleep(CHECK_INTERVAL_SECONDS)

    async def _play_event(self, number: int, event: AnyEvent) -> None:
        if isinstance(event, FAULT_EVENTS):
            self._checker.record_fault()
        self._outcomes[number] = await self._handlers[type(event)](event)
        self._unfinished_events -= 1

    async def _ask(self, event: Ask) -> str:
        entry = self._fleet.entries.get(event.entry)
        if entry is None:
            return "refused"
        request = CallerRequest(
            request_id=RequestId(self._checker.make_request_id()),
            tenant=Tenant(event.tenant),
            service=SERVICE,
            request_class=RequestClass.INTERACTIVE,
            method="POST" if event.key else "GET",
            path=f"/{event.key}",
            timeout=timedelta(seconds=event.timeout_seconds),
            idempotent=not event.key,
            idempotency_key=IdempotencyKey(event.key) if event.key else None,
        )
        self._checker.record_request(request)
        result = await self._call_inside(
            f"entry {event.entry}", partial(entry.router.route, request)
        )
        match result:
            case None:
                return "refused"
            case Success(answer):
                self._checker.check_answer(request, answer)
                return "answered"
            case Failure(refusal):
                self._checker.record_refusal(request, refusal)
                return str(refusal.outcome.value)
        raise AssertionError

    async def _burst(self, event: Burst) -> str:
        outcomes: list[str] = []

        async def ask(number: int) -> None:
            await trio.sleep(number * event.over_seconds / event.requests)
            request = Ask(
                at=event.at,
                entry=event.entry,
                tenant=event.tenant,
                timeout_seconds=event.timeout_seconds,
            )
            outcomes.append(await self._ask(request))

        async with trio.open_nursery() as nursery:
            for number in range(event.requests):
                nursery.start_soon(ask, number)
        return "answered" if set(outcomes) == {"answered"} else "mixed"

    async def _call_inside(
        self, name: str, call: Callable[[], Awaitable[Any]]
    ) -> Any | None:
        """Run ``call`` inside a process and return its result.

        Returns None if the process is not running or is killed meanwhile.
        """
        process = self._fleet.processes.get(name)
        results: list[Any] = []

        async def run() -> None:
            results.append(await call())

        if process is None or not await process.run_inside(run):
            return None
        return results[0]

    async def _command(self, event: Command) -> str:
        controller = self._fleet.controllers.get(event.controller)
        if controller is None:
            return "refused"
        match parse(event.text):
            case Success(CommandStatement() as statement):
                submission = Submission(
                    operator=OperatorName(event.operator),
                    number=CommandNumber(event.number),
                    text=event.text,
                    statement=statement,  # type: ignore[arg-type]
                )
            case _:
                return "syntax"
        result = await self._call_inside(
            f"controller {event.controller}",
            partial(controller.operators.command, submission),
        )
        match result:
            case None:
                return "refused"
            case Success(record):
                self._checker.check_command_record(event, record)
                return "accepted" if record.accepted else "declined"
            case Failure(failure):
                return str(failure.kind.value)
        raise AssertionError

    async def _kill(self, event: Kill) -> str:
        await self._fleet.kill_process(event.process)
        return "killed"

    async def _start(self, event: Start) -> str:
        await self._fleet.start_process(event.process)
        return "started"

    async def _lose_disk(self, event: LoseDisk) -> str:
        await self._fleet.lose_disk(event.instance)
        return "lost"

    async def _cut(self, event: Cut) -> str:
        for source in self._fleet.expand(event.sources):
            for target in self._fleet.expand(event.targets):
                if source == target:
                    continue
                self._fleet.network.cut(source, target)
                if not event.one_way:
                    self._fleet.network.cut(target, source)
        return "cut"

    async def _heal_all(self, event: HealAll) -> str:
        self._fleet.network.heal_all()
        return "healed"

    async def _silence(self, event: Silence) -> str:
        (one,) = self._fleet.expand((event.one,))
        (other,) = self._fleet.expand((event.other,))
        self._fleet.network.blackhole(one, other)
        return "silent"

    async def _reset(self, event: Reset) -> str:
        (one,) = self._fleet.expand((event.one,))
        (other,) = self._fleet.expand((event.other,))
        self._fleet.network.reset(one, other)
        return "reset"

    async def _slow(self, event: Slow) -> str:
        self._fleet.network.delay_factor = event.factor
        return "slow"

    async def _fail_everything(self, event: FailEverything) -> str:
        self._fleet.set_failing(event.worker, event.fails)
        return "failing" if event.fails else "well"

    async def _freeze(self, event: Freeze) -> str:
        worker = self._fleet.workers.get(event.worker)
        if worker is None:
            return "refused"
        worker.freeze(timedelta(seconds=event.seconds))
        return "frozen"

    async def _leave(self, event: Leave) -> str:
        self._fleet.servers[event.server].leave()
        self._fleet.announcers[event.server].push()
        return "leaving"

    async def _check_job(self, event: CheckJob) -> str:
        controller = self._fleet.controllers.get(event.controller)
        job = controller.fleet_state.jobs.get(event.job) if controller else None
        return job.state.value if job else "unknown"

    async def _check_configuration(self, event: CheckConfiguration) -> str:
        controllers = self._fleet.controllers.values()
        versions = [one.in_force.configuration.version for one in controllers]
        entries = self._fleet.entries.values()
        versions += [one.in_force.configuration.version for one in entries]
        return str(min(versions, default=0))
