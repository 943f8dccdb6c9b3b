"""Tests of the ownership commands."""

from __future__ import annotations

import random
import unittest
from datetime import UTC, datetime

import msgspec
from returns.result import Failure, Success

from rhubarbfield.exceptions import BrokenInvariantError
from rhubarbfield.machine import Command, Done, Refused, Reply, SectionedMachine
from rhubarbfield.ownership import (
    OWNERSHIP_REPLIES,
    AssignServer,
    EndEntrySession,
    ForgetServer,
    OpenEntrySession,
    OwnedElsewhere,
    OwnedServer,
    OwnershipEndProof,
    OwnershipState,
    ReassignServer,
    ReleaseServer,
    ServerAssigned,
    ServerDescription,
    SessionEpoch,
    SetServerState,
    SettleServer,
    StaleEpoch,
    UpdateServer,
    list_directory,
    ownership_commands,
    plan_claim,
)
from rhubarbfield.types import (
    BackendServerId,
    BackendServerState,
    Epoch,
    Incarnation,
    InstanceName,
    LogIndex,
    ServiceName,
)

AT = datetime(2026, 1, 1, tzinfo=UTC)
A, B = InstanceName("entry-a"), InstanceName("entry-b")
RUNNER = BackendServerId("runner-1")


def make_description(slots: int = 8) -> ServerDescription:
    return ServerDescription(
        service=ServiceName("boards"),
        host="127.0.0.1",
        port=9000,
        slots=slots,
        connections=64,
    )


def make_assignment(entry: InstanceName, session: Epoch) -> AssignServer:
    return AssignServer(
        server=RUNNER,
        description=make_description(),
        entry=entry,
        session=session,
        at=AT,
    )


class OwnershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = OwnershipState()
        self.a = self.open_session(A, "1")
        self.b = self.open_session(B, "1")

    def apply(self, command: Command) -> Reply:
        return ownership_commands.apply(self.state, command)

    def open_session(self, entry: InstanceName, incarnation: str) -> Epoch:
        reply = self.apply(
            OpenEntrySession(
                entry=entry,
                incarnation=Incarnation(incarnation),
                address=f"{entry}:1",
                at=AT,
            )
        )
        assert isinstance(reply, SessionEpoch), reply
        return reply.epoch

    def end_session(self, entry: InstanceName, session: Epoch) -> Reply:
        return self.apply(
            EndEntrySession(
                entry=entry,
                session=session,
                proof=OwnershipEndProof.LEASE_LAPSED,
                at=AT,
            )
        )

    def assign_server(self, entry: InstanceName, session: Epoch) -> ServerAssigned:
        reply = self.apply(make_assignment(entry, session))
        assert isinstance(reply, ServerAssigned), reply
        return reply

    def reassign(self, former: Epoch, proof: OwnershipEndProof) -> Reply:
        return self.apply(
            ReassignServer(
                server=RUNNER,
                description=make_description(),
                former_epoch=former,
                proof=proof,
                entry=B,
                session=self.b,
                at=AT,
            )
        )

    def test_an_owner_is_confirmed_and_others_are_redirected_to_it(self) -> None:
        first = self.assign_server(A, self.a)
        self.assertEqual(self.assign_server(A, self.a), first)
        self.assertTrue(first.settled)
        self.assertEqual(
            self.apply(make_assignment(B, self.b)),
            OwnedElsewhere(owner=A, address="entry-a:1", epoch=first.epoch),
        )

    def test_a_server_is_reassigned_only_after_its_owner_lapsed(self) -> None:
        first = self.assign_server(A, self.a)
        for proof in OwnershipEndProof:
            self.assertIsInstance(self.reassign(first.epoch, proof), OwnedElsewhere)
        self.assertEqual(self.end_session(A, self.a), Done())
        second = self.reassign(first.epoch, OwnershipEndProof.LEASE_LAPSED)
        assert isinstance(second, ServerAssigned)
        self.assertGreater(second.epoch, first.epoch)
        self.assertFalse(second.settled, "requests of the lost owner may run")
        self.assertEqual(
            self.reassign(first.epoch, OwnershipEndProof.LEASE_LAPSED),
            StaleEpoch(epoch=second.epoch),
        )

    def test_a_server_stays_unsettled_when_its_new_owner_releases_it(self) -> None:
        first = self.assign_server(A, self.a)
        self.end_session(A, self.a)
        second = self.reassign(first.epoch, OwnershipEndProof.LEASE_LAPSED)
        assert isinstance(second, ServerAssigned)
        self.apply(ReleaseServer(server=RUNNER, epoch=second.epoch, settled=False))
        self.assertFalse(self.assign_server(B, self.b).settled)

    def test_proof_settles_a_server(self) -> None:
        first = self.assign_server(A, self.a)
        self.end_session(A, self.a)
        second = self.reassign(first.epoch, OwnershipEndProof.LEASE_LAPSED)
        assert isinstance(second, ServerAssigned)
        self.apply(SettleServer(server=RUNNER, epoch=second.epoch))
        self.assertTrue(self.assign_server(B, self.b).settled)

    def test_a_restarted_entry_waits_until_its_former_session_ends(self) -> None:
        again = OpenEntrySession(
            entry=A, incarnation=Incarnation("2"), address="entry-a:1", at=AT
        )
        self.assertIsInstance(self.apply(again), Refused)
        self.assertEqual(self.open_session(A, "1"), self.a)
        self.end_session(A, self.a)
        self.assertGreater(self.open_session(A, "2"), self.b)

    def test_commands_of_an_ended_session_or_epoch_change_nothing(self) -> None:
        first = self.assign_server(A, self.a)
        stale = Epoch(first.epoch - 1)
        commands = (
            ReleaseServer(server=RUNNER, epoch=stale, settled=True),
            ForgetServer(server=RUNNER, epoch=stale, settled=True),
            SetServerState(
                server=RUNNER, epoch=stale, state=BackendServerState.LEAVING
            ),
            UpdateServer(server=RUNNER, epoch=stale, description=make_description(1)),
        )
        before = msgspec.msgpack.encode(self.state)
        for command in commands:
            self.assertEqual(self.apply(command), StaleEpoch(epoch=first.epoch))
        self.assertEqual(msgspec.msgpack.encode(self.state), before)
        self.end_session(A, self.a)
        update = UpdateServer(
            server=RUNNER, epoch=first.epoch, description=make_description(1)
        )
        self.assertIsInstance(self.apply(update), StaleEpoch)
        self.assertIsInstance(self.apply(make_assignment(A, self.a)), StaleEpoch)

    def test_an_entry_with_servers_cannot_release_its_session(self) -> None:
        first = self.assign_server(A, self.a)
        end = EndEntrySession(
            entry=A, session=self.a, proof=OwnershipEndProof.RELEASED, at=AT
        )
        self.assertIsInstance(self.apply(end), Refused)
        self.apply(ReleaseServer(server=RUNNER, epoch=first.epoch, settled=True))
        self.assertEqual(self.apply(end), Done())
        self.assertNotIn(A, self.state.sessions)

    def test_an_unsettled_server_is_not_forgotten(self) -> None:
        first = self.assign_server(A, self.a)
        unsettled = ForgetServer(server=RUNNER, epoch=first.epoch, settled=False)
        self.assertIsInstance(self.apply(unsettled), Refused)
        self.apply(ForgetServer(server=RUNNER, epoch=first.epoch, settled=True))
        self.assertEqual(self.state.servers, {})
        self.assertGreater(self.assign_server(A, self.a).epoch, first.epoch)

    def test_the_directory_omits_owners_that_have_lapsed(self) -> None:
        self.assign_server(A, self.a)
        (seen,) = list_directory(self.state)
        self.assertEqual((seen.owner, seen.owner_address), (A, "entry-a:1"))
        self.end_session(A, self.a)
        (seen,) = list_directory(self.state)
        self.assertEqual((seen.owner, seen.owner_address), (None, ""))

    def test_claims_are_planned_by_the_state_of_the_owner(self) -> None:
        claim = make_assignment(B, self.b)
        self.assertEqual(plan_claim(self.state, claim), Success(claim))
        self.assign_server(A, self.a)
        self.assertIsInstance(plan_claim(self.state, claim), Failure)
        self.end_session(A, self.a)
        planned = plan_claim(self.state, claim).unwrap()
        self.assertIsInstance(planned, ReassignServer)
        self.assertIsInstance(self.apply(planned), ServerAssigned)

    def test_a_second_owner_breaks_an_invariant(self) -> None:
        self.state.servers[RUNNER] = OwnedServer(
            server=RUNNER,
            description=make_description(),
            owner=A,
            owner_session=self.a,
            epoch=Epoch(99),
        )
        self.end_session(A, self.a)
        with self.assertRaises(BrokenInvariantError):
            self.reassign(Epoch(99), OwnershipEndProof.LEASE_LAPSED)


class Sections(msgspec.Struct):
    ownership: OwnershipState = msgspec.field(default_factory=OwnershipState)


class RandomCommandsTest(unittest.TestCase):
    """Checks random commands; owners are derived from the replies alone."""

    def test_epochs_grow_and_owners_never_overlap(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                self.run_commands(random.Random(seed))

    def run_commands(self, rng: random.Random) -> None:
        machine = SectionedMachine(
            Sections, {"ownership": ownership_commands}, OWNERSHIP_REPLIES
        )
        owners: dict[BackendServerId, tuple[InstanceName, Epoch]] = {}
        highest = Epoch(0)
        for index in range(400):
            state = machine.state.ownership
            command = self.pick_command(rng, state)
            data = machine.encode_command(command)
            reply = machine.decode_reply(machine.apply(LogIndex(index), data))
            if isinstance(command, EndEntrySession) and isinstance(reply, Done):
                owners = {
                    server: owner
                    for server, owner in owners.items()
                    if owner != (command.entry, command.session)
                }
            removes_owner = isinstance(command, ReleaseServer | ForgetServer)
            if removes_owner and isinstance(reply, Done):
                owners.pop(command.server, None)
            if isinstance(reply, ServerAssigned):
                assert isinstance(command, AssignServer | ReassignServer)
                owner = (command.entry, command.session)
                if owners.get(command.server) != owner:
                    self.assertNotIn(command.server, owners)
                    self.assertGreater(reply.epoch, highest)
                    highest = reply.epoch
                owners[command.server] = owner
            machine.restore(machine.take_snapshot())

    def pick_command(self, rng: random.Random, state: OwnershipState) -> Command:
        entry = rng.choice((A, B))
        session = state.sessions.get(entry)
        epoch = session.epoch if session else Epoch(0)
        server = BackendServerId(f"runner-{rng.randrange(3)}")
        known = state.servers.get(server)
        owner_epoch = known.epoch if known else Epoch(0)
        match rng.randrange(6):
            case 0:
                return OpenEntrySession(
                    entry=entry,
                    incarnation=Incarnation(str(rng.randrange(2))),
                    address="x:1",
                    at=AT,
                )
            case 1:
                proof = rng.choice(tuple(OwnershipEndProof))
                return EndEntrySession(entry=entry, session=epoch, proof=proof, at=AT)
            case 2:
                return ReassignServer(
                    server=server,
                    description=make_description(),
                    former_epoch=owner_epoch,
                    proof=rng.choice(tuple(OwnershipEndProof)),
                    entry=entry,
                    session=epoch,
                    at=AT,
                )
            case 3:
                return ReleaseServer(server=server, epoch=owner_epoch, settled=True)
            case 4:
                settled = rng.random() < 0.5
                return ForgetServer(server=server, epoch=owner_epoch, settled=settled)
        return msgspec.structs.replace(make_assignment(entry, epoch), server=server)
