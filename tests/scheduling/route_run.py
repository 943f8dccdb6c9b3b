"""Random days on which routes come, go and change beside submissions and lost replies.

``python -m tests.scheduling.route_run --seeds 50`` plays that many days on a virtual
clock, each with other luck, and prints what went wrong. The same seed gives the same
day. Names, hosts and prefixes are given again; connections between entries and
controllers are reset, or fall silent, at the moment of a change.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

import trio

from rhubarbfield.peering import open_streamed_calls
from rhubarbfield.scheduling.controller import SchedulingController
from rhubarbfield.scheduling.gateway import Gateway, Undecided
from rhubarbfield.scheduling.model import (
    JobSubmission,
    Queue,
    QueueConfiguration,
    QueueName,
    Step,
    WorkerService,
)
from rhubarbfield.scheduling.requests import (
    JOB_CALL,
    JOB_STREAM,
    Accepted,
    JobReply,
    JobRequest,
    JobStatus,
    JobVerb,
    NoSuchQueue,
)
from rhubarbfield.testing.memory_transport import MemoryTransport
from rhubarbfield.types import ServiceName
from tests.scheduling import late_days
from tests.scheduling.controllers import NAMES, make_settings
from tests.scheduling.deployments import CONFIGURATION, ONE_CORE
from tests.scheduling.late_controllers_run import DAY_SECONDS, ControllersDay
from tests.scheduling.late_days import RandomDay
from tests.scheduling.route_records import Change, Handed

ENTRIES = ("e1", "e2")
SERVICES = (ServiceName("s"), ServiceName("t"))
ROUTE_NAMES = ("r1", "r2", "r3")
ADDRESSES = (
    *(("h1", prefix) for prefix in ("/", "/a/", "/a/b/", "/a", "/c/")),
    *(("h2", prefix) for prefix in ("/a/", "/c/")),
)
CLIENTS = 4
PAUSE_SECONDS = (0.0, 1.5)
CHANGE_SECONDS = (0.1, 3.0)
RETRY_SECONDS = 0.5
MAX_ATTEMPTS = 8
READS = 4
LOST_REPLY_SECONDS = (0.0, 0.02)  # from a submission until its connection is disturbed
PAIRED_CHANGES = 0.3  # share of the jobs
LOST_REPLIES = 0.2  # share of the attempts
PAIRED_LOST_REPLIES = 0.6  # the same, beside a paired change
SILENCE_SECONDS = (0.0, 0.8)  # before a reset
PAIRED_CHANGE_SECONDS = (0.0, 1.0)  # from a submission to a change of its route
CALLER_TIMEOUT = timedelta(seconds=3)
APPLY_SECONDS = 1.0  # from the acknowledgement of a configuration until it is obeyed
# Ends long enough before the day for accepted jobs to be done.
LAST_DISTURBANCE = DAY_SECONDS - 40
KINDS = ("cut", "cut one way", "slow", "kill", "release", "crash", "silent", "reset")


class RouteDay(ControllersDay):
    """One day of changing routes, and what was seen to go wrong on it."""

    kinds = KINDS
    services = SERVICES

    def __init__(self, seed: int, *, has_single_lease: bool = False) -> None:
        super().__init__(seed, has_single_lease=has_single_lease)
        self._gateways: dict[str, Gateway] = {}
        self._changes = [Change(CONFIGURATION, 0.0)]
        self._jobs: list[Handed] = []
        self._ends_at = 0.0

    def list_activities(self) -> list[Callable[[], Awaitable[None]]]:
        """Return what goes on during the day."""
        self._ends_at = trio.current_time() + LAST_DISTURBANCE
        clients = [self._run_client] * CLIENTS
        entries = [partial(self._run_entry, name) for name in ENTRIES]
        work = [self._operate, self._disturb_until_calm, self._watch, self._report]
        return [*entries, *work, *clients]

    async def play(self) -> None:
        """Play the day, and judge what was seen of each job."""
        await super().play()
        for job in self._jobs:
            self._judge(job)

    async def _run_entry(self, name: str) -> None:
        plain = MemoryTransport(self.controllers.network, name)
        async with open_streamed_calls(plain, JOB_CALL, JOB_STREAM) as transport:
            gateway = Gateway(make_settings(name), transport, self.controllers.clock)
            self._gateways[name] = gateway
            await gateway.run()

    async def _disturb_until_calm(self) -> None:
        with trio.move_on_at(self._ends_at):
            await self._disturb()
        self.controllers.network.heal_all()

    def disturb_once(self, kind: str, nursery: trio.Nursery) -> None:
        """Begin a disturbance of a kind."""
        if kind not in ("silent", "reset"):
            super().disturb_once(kind, nursery)
            return
        for entry in ENTRIES:
            if self.random.random() < 0.5:
                self._disturb_connection(kind, entry, self.random.choice(NAMES))

    def _disturb_connection(self, kind: str, entry: str, controller: str) -> None:
        """Reset or silence the open connections of an entry to a controller."""
        network = self.controllers.network
        disturb = network.reset if kind == "reset" else network.blackhole
        disturb(entry, controller)

    async def _operate(self) -> None:
        while trio.current_time() < self._ends_at:
            await trio.sleep(self.random.uniform(*CHANGE_SECONDS))
            await self._change(self._draw_routes())

    def _draw_routes(self) -> dict[tuple[str, str], Queue]:
        draw = self.random
        count = draw.randint(1, len(ADDRESSES))
        return {
            (host, prefix): Queue(
                name=QueueName(draw.choice(ROUTE_NAMES)),
                host=host,
                prefix=prefix,
                service=draw.choice(SERVICES),
                priority=draw.randint(0, 2),
                max_attempts=3,
            )
            for host, prefix in draw.sample(ADDRESSES, count)
        }

    async def _change(self, routes: dict[tuple[str, str], Queue]) -> None:
        """Send a configuration until it is acknowledged."""
        version = self._changes[-1].configuration.version + 1
        services = tuple(WorkerService(name=name) for name in SERVICES)
        configuration = QueueConfiguration(
            version=version,
            queues=tuple(routes.values()),
            services=services,
            document=str(version).encode(),
        )
        change = Change(configuration)
        self._changes.append(change)
        self.counts["changes"] += 1
        while change.acknowledged_at is None:
            name = self.random.choice(NAMES)
            reply = await self._ask(
                name, partial(_put_configuration, configuration=configuration)
            )
            if isinstance(reply, Accepted):
                change.acknowledged_at = trio.current_time()
            await trio.sleep(0.05)

    async def _run_client(self) -> None:
        draw = self.random
        while trio.current_time() < self._ends_at:
            await trio.sleep(draw.uniform(*PAUSE_SECONDS))
            # A letter could be taken for the end of a prefix.
            name = f"0{draw.getrandbits(60):015x}"
            job = Handed(name, *draw.choice(ADDRESSES))
            self._jobs.append(job)
            async with trio.open_nursery() as nursery:
                is_paired = draw.random() < PAIRED_CHANGES
                if is_paired:
                    nursery.start_soon(self._remove_route_of, job)
                losses = PAIRED_LOST_REPLIES if is_paired else LOST_REPLIES
                await self._hand_in(job, losses)
            if job.accepted:
                await self._ask_for(job)

    async def _hand_in(self, job: Handed, losses: float) -> None:
        """Submit a job until it is accepted or refused, or for a few attempts."""
        submission = JobSubmission(
            payload="p",
            steps=(
                Step(demand=ONE_CORE, estimate_ms=1000),
                Step(demand=ONE_CORE, estimate_ms=1000, after=(0,)),
            ),
        )
        while len(job.attempts) < MAX_ATTEMPTS:
            sent_at = trio.current_time()
            entry = self.random.choice(ENTRIES)
            async with trio.open_nursery() as nursery:
                if self.random.random() < losses:
                    nursery.start_soon(self._lose_reply, entry)
                reply = await self._request(JobVerb.SUBMIT, job, entry, submission)
            is_first = not job.attempts
            job.attempts.append(reply)
            self.counts[_describe(reply)] += 1
            if is_first:
                self._check_configuration(job, reply, sent_at)
            if not (isinstance(reply, Undecided) and reply.in_doubt):
                job.accepted = isinstance(reply, Accepted)
                return
            await trio.sleep(RETRY_SECONDS)

    async def _lose_reply(self, entry: str) -> None:
        """Disturb the connections of an entry under a submission.

        They are reset, or fall silent, or are reset after a silence.
        """
        kinds = self.random.choice((("reset",), ("silent",), ("silent", "reset")))
        await trio.sleep(self.random.uniform(*LOST_REPLY_SECONDS))
        for kind in kinds:
            for controller in NAMES:
                self._disturb_connection(kind, entry, controller)
            await trio.sleep(self.random.uniform(*SILENCE_SECONDS))

    async def _remove_route_of(self, job: Handed) -> None:
        await trio.sleep(self.random.uniform(*PAIRED_CHANGE_SECONDS))
        routes = self._draw_routes()
        routes.pop((job.host, job.prefix), None)
        await self._change(routes)

    async def _ask_for(self, job: Handed) -> None:
        """Read an accepted job a few times, and perhaps cancel it."""
        for _ in range(self.random.randint(1, READS)):
            await trio.sleep(self.random.uniform(*PAUSE_SECONDS))
            verb = JobVerb.CANCEL if self.random.random() < 0.1 else JobVerb.READ
            job.cancelled = job.cancelled or verb is JobVerb.CANCEL
            reply = await self._request(verb, job, self.random.choice(ENTRIES))
            self.counts[verb.value] += 1
            if not isinstance(reply, Undecided | JobStatus | Accepted):
                self.faults.append(
                    f"LOST: {verb.value} of {job.path} is answered {reply}"
                )

    async def _request(
        self,
        verb: JobVerb,
        job: Handed,
        entry: str,
        submission: JobSubmission | None = None,
    ) -> JobReply | Undecided:
        request = JobRequest(
            verb=verb,
            host=job.host,
            path=job.path,
            submission=submission,
            knows_rejection=True,
        )
        return await self._gateways[entry].forward(request, CALLER_TIMEOUT)

    def _check_configuration(
        self, job: Handed, reply: JobReply | Undecided, sent_at: float
    ) -> None:
        """Check a decision against the configurations that may have made it."""
        obeyed = [
            number
            for number, each in enumerate(self._changes)
            if each.acknowledged_at is not None
            and each.acknowledged_at <= sent_at - APPLY_SECONDS
        ]
        possible = self._changes[max(obeyed, default=0) :]
        found = [each.find(job.host, job.path) is not None for each in possible]
        if isinstance(reply, Accepted) and not any(found):
            self.faults.append(f"CONFIG: {job.path} is accepted without a route")
        if isinstance(reply, NoSuchQueue) and all(found):
            self.faults.append(f"CONFIG: {job.path} is refused beside its route")

    def _judge(self, job: Handed) -> None:
        """Check where the tasks of a job were started, and that they were done."""
        started: set[ServiceName] = set()
        for worker in self.fleet.lives:
            for task, _, _ in worker.started:
                if task.startswith(f"{job.name}."):
                    started.add(worker.service)
        if started and job.is_rejected:
            self.faults.append(f"REFUSED: {job.path} ran: {job.attempts}")
        routed = set()
        for change in self._changes:
            queue = change.find(job.host, job.path)
            if queue is not None:
                routed.add(queue.service)
        if not started <= routed:
            self.faults.append(f"ROUTE: {job.path} was started on {started - routed}")
        done = {
            each.task.split(".")[2]
            for worker in self.fleet.lives
            for each in worker.done
            if each.task.startswith(f"{job.name}.")
        }
        if job.accepted and not job.cancelled and len(done) < 2:
            self.faults.append(f"LOST: {job.path} was accepted and not done")
        self.counts["jobs run"] += bool(started)


async def _put_configuration(
    member: SchedulingController, configuration: QueueConfiguration
) -> object:
    return await member.service.put_configuration(configuration)


def _describe(reply: JobReply | Undecided) -> str:
    if isinstance(reply, Undecided):
        return "in doubt" if reply.in_doubt else "no leader"
    return type(reply).__name__


def play_day(seed: int, *, has_single_lease: bool = False) -> RandomDay:
    """Play the day of a seed and return it."""
    make_day = partial(RouteDay, seed, has_single_lease=has_single_lease)
    return late_days.play_day(make_day, seed)


if __name__ == "__main__":
    late_days.run_days(play_day)
