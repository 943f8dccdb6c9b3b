"""Exchange of free slot counts and requests with peer entries."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

import msgspec
import trio
from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.peering import (
    CallFailure,
    CallFailureKind,
    ConnectionPool,
    MessageStream,
    PeerLinks,
    Transport,
    serve_link,
)
from rhubarbfield.protocol import (
    FORWARD_CALL,
    FREE_SLOTS_LINK,
    ForwardAnswer,
    FreeSlotsReport,
    ServiceFreeSlots,
)
from rhubarbfield.routing import (
    BackendAnswer,
    CallerRequest,
    OwnedServers,
    PeerEntry,
    Refusal,
    RefusalReason,
    Router,
)
from rhubarbfield.types import FailureDomain, InstanceName, Outcome, ServiceName

# A fixed log area, independent of the module's name.
logger = logging.getLogger("rhubarbfield.entry.siblings")

REPORT_INTERVAL = timedelta(milliseconds=250)
REPORT_LIFETIME = timedelta(seconds=2)
REPEAT_INTERVAL = timedelta(seconds=1)
FORWARD_GRACE = timedelta(milliseconds=500)
RETRY_AFTER = timedelta(seconds=1)


class ReportedSlots(msgspec.Struct):
    """The free slots of a peer entry, by its latest report."""

    domain: FailureDomain
    last_contact_at: timedelta
    services: dict[ServiceName, int]


class PeerEntries:
    """The :class:`~rhubarbfield.routing.PeerEntryPort` of an entry.

    Parameters
    ----------
    name, domain
        This instance and its failure domain.
    peers
        Host and peer port of each peer entry.
    servers
        The backend servers owned by this entry; their free slots are reported.
    is_served
        Returns whether the domain's directory lists a backend server of a
        service, even one without an owner.
    transport
        Connects to peer entries.
    clock
        The entry's clock.
    """

    def __init__(
        self,
        name: InstanceName,
        domain: FailureDomain,
        *,
        peers: Mapping[InstanceName, tuple[str, int]],
        servers: OwnedServers,
        is_served: Callable[[ServiceName], bool],
        transport: Transport,
        clock: Clock,
    ) -> None:
        self._name = name
        self._is_served = is_served
        self._domain = domain
        self._peers = tuple(peers)
        self._servers = servers
        self._transport = transport
        self._clock = clock
        self._links = PeerLinks(name, dict(peers), FREE_SLOTS_LINK, transport)
        self._pool = ConnectionPool(peers, transport, clock)
        self._reported: dict[InstanceName, ReportedSlots] = {}
        self._stopping = False

    async def run(self) -> None:
        """Report free slots to the peer entries until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._links.run)
            nursery.start_soon(self._send_reports)

    def stop(self) -> None:
        """Refuse requests from peer entries; those in progress continue."""
        self._stopping = True

    async def serve(
        self,
        host: str,
        port: int,
        router: Router,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve the peer entries until cancelled.

        Parameters
        ----------
        host, port
            Where to listen.
        router
            Routes the requests that peer entries forward.
        task_status
            Started once the port accepts connections.
        """

        async def handle_link(stream: MessageStream) -> None:
            await serve_link(stream, self._handle_report)

        async def handle_forward(request: CallerRequest) -> ForwardAnswer:
            if self._stopping:
                return ForwardAnswer(refusal=_refuse_stopping())
            result = await router.route(request)
            free_slots = self._servers.count_free_slots(request.service)
            match result:
                case Success(answer):
                    return ForwardAnswer(answer=answer, free_slots=free_slots)
                case Failure(refusal):
                    return ForwardAnswer(refusal=refusal, free_slots=free_slots)
            raise AssertionError

        await self._transport.serve(
            host,
            port,
            streams={FREE_SLOTS_LINK: handle_link},
            calls={FORWARD_CALL: handle_forward},
            task_status=task_status,
        )

    def list_peer_entries(self, service: ServiceName) -> Sequence[PeerEntry]:
        """Return the entries that own backend servers of ``service``."""
        oldest = self._clock.monotonic() - REPORT_LIFETIME
        found = [
            PeerEntry(
                entry=entry,
                domain=reported.domain,
                same_domain=reported.domain == self._domain,
                free_slots=reported.services[service],
            )
            for entry, reported in self._reported.items()
            if service in reported.services and reported.last_contact_at > oldest
        ]
        if not found and self._is_served(service):
            return [self._make_placeholder()]
        return found

    def _make_placeholder(self) -> PeerEntry:
        """Return a peer without free slots, for a service whose owner was lost."""
        return PeerEntry(
            entry=self._name, domain=self._domain, same_domain=True, free_slots=0
        )

    async def forward(
        self, entry: InstanceName, request: CallerRequest
    ) -> Result[BackendAnswer, Refusal]:
        """Forward ``request``, whose hop count is already raised, to ``entry``."""
        connection = self._pool.get(entry)
        reply = await connection.call(
            FORWARD_CALL, request, request.timeout + FORWARD_GRACE
        )
        match reply:
            case Success(ForwardAnswer() as answer):
                return self._read_answer(entry, request, answer)
            case Failure(CallFailure() as failure):
                self._pool.retire(entry, connection)
                if failure.kind is CallFailureKind.UNREACHABLE:
                    self._clear_free_slots(entry)
                return Failure(_refuse(entry, failure))
        raise AssertionError

    def _clear_free_slots(self, entry: InstanceName) -> None:
        """Forward nothing more to ``entry`` until its next report."""
        reported = self._reported.get(entry)
        if reported is not None:
            reported.services = dict.fromkeys(reported.services, 0)

    def _read_answer(
        self, entry: InstanceName, request: CallerRequest, answer: ForwardAnswer
    ) -> Result[BackendAnswer, Refusal]:
        reported = self._reported.get(entry)
        if reported is not None and request.service in reported.services:
            reported.services[request.service] = answer.free_slots
        if answer.answer is not None:
            return Success(answer.answer)
        assert answer.refusal is not None
        return Failure(answer.refusal)

    def _handle_report(self, sender: InstanceName, report: FreeSlotsReport) -> None:
        self._reported[sender] = ReportedSlots(
            domain=report.domain,
            last_contact_at=self._clock.monotonic(),
            services={each.service: each.free_slots for each in report.services},
        )

    async def _send_reports(self) -> None:
        """Send a report after each change, and at a fixed interval without one."""
        last: FreeSlotsReport | None = None
        sent_at = timedelta()
        while True:
            report = self._make_report()
            now = self._clock.monotonic()
            if report != last or now - sent_at >= REPEAT_INTERVAL:
                for peer in self._peers:
                    self._links.send(peer, report)
                last, sent_at = report, now
            await self._clock.sleep(REPORT_INTERVAL)

    def _make_report(self) -> FreeSlotsReport:
        if self._stopping:
            return FreeSlotsReport(self._domain, ())
        services = tuple(
            ServiceFreeSlots(service, self._servers.count_free_slots(service))
            for service in sorted(self._servers.list_services())
        )
        return FreeSlotsReport(self._domain, services)


def _refuse_stopping() -> Refusal:
    return Refusal(
        outcome=Outcome.NOT_RUN,
        reason=RefusalReason.NO_ROOM,
        sentence="the entry is stopping",
        retry_after=RETRY_AFTER,
    )


def _refuse(entry: InstanceName, failure: CallFailure) -> Refusal:
    outcome, reason = Outcome.NOT_RUN, RefusalReason.BACKEND_UNREACHABLE
    if failure.kind is CallFailureKind.TIMEOUT:
        outcome, reason = Outcome.UNKNOWN, RefusalReason.ANSWER_LOST
    elif failure.kind is CallFailureKind.UNREACHABLE:
        reason = RefusalReason.NO_ROOM
    return Refusal(
        outcome=outcome,
        reason=reason,
        sentence=f"entry {entry} did not answer: {failure.detail}",
        retry_after=RETRY_AFTER,
    )
