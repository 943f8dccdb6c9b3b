"""Tests of other workers' clocks by which the leases of marked workers are counted."""

from __future__ import annotations

import unittest
from datetime import timedelta
from unittest.mock import patch

import msgspec
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from rhubarbfield.replication import NoQuorum
from rhubarbfield.scheduling.commands import EndRuns, RemoveWorker, UpdateWorkers
from rhubarbfield.scheduling.witnesses import (
    ClockReading,
    Witness,
    find_unextended_since,
)
from rhubarbfield.types import Term, WorkerId
from tests.scheduling.deployments import Deployment, with_deployment
from tests.scheduling.losses import (
    DOWN_SECONDS,
    DRIFT,
    LEASE_SECONDS,
    LIMIT_SECONDS,
    MARKED_SECONDS,
    OTHERS,
    Loss,
)
from tests.scheduling.test_appliers import Log, make_report

JUMP = timedelta(hours=1)
SECOND = timedelta(seconds=1)


class EarlierEndRuns(msgspec.Struct, tag="EndRuns"):
    """A mark as an earlier version reads it."""

    workers: tuple[()]
    silent: tuple[str, ...] = ()
    heard: tuple[str, ...] = ()


class EarlierWorker(msgspec.Struct):
    """A worker's record as an earlier version reads it."""

    worker: str
    silent: bool = False


class WrongClockTest(unittest.TestCase):
    @with_deployment()
    async def test_clock_that_jumps_ahead_does_not_shorten_the_wait(
        self, deployment: Deployment
    ) -> None:
        loss = Loss(deployment, rate=1 - DRIFT)
        async with deployment.lead():
            await loss.begin()
            await trio.sleep(MARKED_SECONDS)
            loss.others[0].jumped += JUMP
        async with loss.restart():
            took = await loss.measure()
        self.assertLess(took, LIMIT_SECONDS)
        self.assertGreater(took, LEASE_SECONDS)

    @with_deployment()
    async def test_single_clock_does_not_shorten_the_wait(
        self, deployment: Deployment
    ) -> None:
        loss = Loss(deployment, others=1, rate=1 - DRIFT)
        async with deployment.lead():
            await loss.begin()
            await trio.sleep(MARKED_SECONDS)
            loss.others[0].jumped += JUMP
        async with loss.restart():
            self.assertGreater(await loss.measure(), LIMIT_SECONDS)

    @with_deployment()
    async def test_clocks_that_stand_still_or_run_backwards_only_lengthen_the_wait(
        self, deployment: Deployment
    ) -> None:
        for wrong, limit in ((2, LIMIT_SECONDS), (3, 2 * LIMIT_SECONDS)):
            for jump in (-JUMP, -(MARKED_SECONDS + DOWN_SECONDS) * SECOND):
                with self.subTest(wrong=wrong, jump=jump):
                    deployment = Deployment()
                    await deployment.configure()
                    loss = Loss(deployment, rate=1 - DRIFT)
                    async with deployment.lead():
                        await loss.begin()
                        await trio.sleep(MARKED_SECONDS)
                        for worker in loss.others[:wrong]:
                            worker.jumped += jump
                    async with loss.restart():
                        self.assertLess(await loss.measure(), limit)

    @with_deployment()
    async def test_reading_that_runs_backwards_is_logged(
        self, deployment: Deployment
    ) -> None:
        loss = Loss(deployment)
        async with deployment.lead():
            await loss.begin()
            await trio.sleep(MARKED_SECONDS)
        loss.others[0].jumped -= JUMP
        with self.assertLogs("rhubarbfield.scheduling", "INFO") as logs:
            async with loss.restart():
                await loss.measure()
        lines = [line for line in logs.output if "witness-ignored" in line]
        self.assertEqual(len(lines), 1)
        self.assertTrue(any("lease-counted" in line for line in logs.output))


class LostWitnessTest(unittest.TestCase):
    @with_deployment()
    async def test_witnesses_that_are_gone_or_silent_tell_nothing(
        self, deployment: Deployment
    ) -> None:
        """Their next lives have other clocks, which may be ahead."""
        for crashed, limit in ((2, LIMIT_SECONDS), (3, 2 * LIMIT_SECONDS)):
            with self.subTest(crashed=crashed):
                deployment = Deployment()
                await deployment.configure()
                loss = Loss(deployment, rate=1 - DRIFT)
                async with deployment.lead():
                    await loss.begin()
                    await trio.sleep(MARKED_SECONDS)
                    deployment.fleet.restart_delay = timedelta(seconds=0.5)
                    for worker in loss.others[:crashed]:
                        deployment.fleet.crash(worker)
                with self.assertLogs("rhubarbfield.scheduling", "WARNING") as logs:
                    async with loss.restart():
                        took = await loss.measure()
                        self.assertLess(took, limit)
                lines = [line for line in logs.output if "witness-ignored" in line]
                self.assertEqual(len(lines), crashed)
                if crashed == 3:
                    self.assertGreater(took, LIMIT_SECONDS)

    def test_witnesses_are_dropped_with_their_workers_and_their_mark(self) -> None:
        names = tuple(WorkerId(f"w{number}") for number in range(3))
        witnesses = tuple(Witness(name, SECOND, SECOND) for name in names[1:])
        mark = EndRuns(workers=(), silent=(names[0],), witnesses={names[0]: witnesses})
        log = Log()
        log.apply(UpdateWorkers(reports=tuple(map(make_report, names))))
        for removal in (
            RemoveWorker(worker=names[0]),
            EndRuns(workers=(), heard=names),
        ):
            log.apply(UpdateWorkers(reports=tuple(map(make_report, names))))
            log.apply(mark)
            log.restart()
            self.assertEqual(log.state.workers[names[0]].witnesses, witnesses)
            log.apply(removal)
            log.apply(UpdateWorkers(reports=tuple(map(make_report, names))))
            self.assertEqual(log.state.workers[names[0]].witnesses, ())
        log.apply(mark)
        log.apply(RemoveWorker(worker=names[1]))
        self.assertEqual(log.state.workers[names[0]].witnesses, witnesses[1:])
        log.apply(mark)
        self.assertEqual(log.state.workers[names[0]].witnesses, witnesses[1:])

    def test_earlier_version_reads_a_mark_and_a_worker_with_witnesses(self) -> None:
        name, other = WorkerId("w1"), WorkerId("w2")
        mark = EndRuns(
            workers=(),
            silent=(name,),
            witnesses={name: (Witness(other, SECOND, SECOND),)},
        )
        log = Log()
        encoded = log.machine.encode_command(mark)
        self.assertEqual(
            msgspec.msgpack.decode(encoded, type=EarlierEndRuns).silent, (name,)
        )
        log.apply(UpdateWorkers(reports=(make_report(name), make_report(other))))
        log.apply(mark)
        worker = msgspec.msgpack.encode(log.state.workers[name])
        self.assertTrue(msgspec.msgpack.decode(worker, type=EarlierWorker).silent)

    def test_mark_of_an_earlier_version_drops_the_witnesses_of_the_one_before(
        self,
    ) -> None:
        """They were read before its leader extended the lease."""
        name, other = WorkerId("w1"), WorkerId("w2")
        witnesses = {name: (Witness(other, SECOND, SECOND),)}
        log = Log()
        log.apply(UpdateWorkers(reports=(make_report(name), make_report(other))))
        log.apply(EndRuns(workers=(), silent=(name,), witnesses=witnesses))
        fields = msgspec.to_builtins(EndRuns(workers=(), silent=(name,)))
        del fields["witnesses"]
        log.apply(msgspec.convert(fields, EndRuns))
        self.assertTrue(log.state.workers[name].silent)
        self.assertEqual(log.state.workers[name].witnesses, ())


class ChoiceTest(unittest.TestCase):
    @with_deployment()
    async def test_readings_from_before_the_last_extension_are_not_recorded(
        self, deployment: Deployment
    ) -> None:
        """Workers without runs are not called but for this."""
        loss = Loss(deployment)
        readings = {}
        async with deployment.lead() as leader:
            await loss.begin()
            session = leader.get_session(loss.lost.worker)
            assert session is not None
            for worker in loss.others:
                other = leader.get_session(worker.worker)
                assert other is not None
                assert other.reading is not None
                self.assertLess(other.reading.sent_at, session.unextended_since)
                readings[worker.worker] = other.reading
            await trio.sleep(MARKED_SECONDS)
            extended_at = session.unextended_since
        record = deployment.state.workers[loss.lost.worker]
        self.assertEqual(len(record.witnesses), OTHERS)
        for witness in record.witnesses:
            self.assertGreater(witness.clock, extended_at)
            self.assertGreaterEqual(witness.age, timedelta())

    @with_deployment()
    async def test_readings_that_come_after_the_mark_are_recorded(
        self, deployment: Deployment
    ) -> None:
        """Each was older than the last extension when the worker was marked."""
        loss = Loss(deployment, rate=1 - DRIFT)
        async with deployment.lead():
            await loss.begin()
            for worker in loss.others:
                worker.is_unreachable = True
            while not loss.is_marked:
                await trio.sleep(0.02)
            self.assertEqual(loss.read_witnesses(), ())
            for worker in loss.others:
                worker.is_unreachable = False
            await trio.sleep(MARKED_SECONDS / 2)
            self.assertGreater(len(loss.read_witnesses()), 1)
        async with loss.restart():
            self.assertLess(await loss.measure(), LIMIT_SECONDS)

    @with_deployment()
    async def test_worker_that_is_back_under_a_lease_is_not_marked_by_a_late_commit(
        self, deployment: Deployment
    ) -> None:
        """The mark was proposed again after the worker was removed and came back."""
        loss = Loss(deployment)
        propose = deployment.replica.propose
        refused = 0

        async def refuse_marks(command: bytes, term: Term | None = None) -> object:
            nonlocal refused
            if msgspec.msgpack.decode(command).get("silent") and refused >= 0:
                refused += 1
                return Failure(NoQuorum())
            return await propose(command, term)

        with patch.object(deployment.replica, "propose", refuse_marks):
            async with deployment.lead():
                await loss.begin()
                while not refused:
                    await trio.sleep(0.02)
                await deployment.propose(RemoveWorker(worker=loss.lost.worker))
                loss.lost.is_unreachable = False
                await trio.sleep(2)
                self.assertIn(loss.lost.worker, deployment.state.workers)
                refused = -1
                await trio.sleep(2)
                self.assertFalse(loss.is_marked)

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.floats(1 - DRIFT, 1 + DRIFT),  # rate of a witness
                st.floats(0, 5),  # from the extension to its call
                st.floats(0, 2),  # how long the call takes
                st.floats(0, 100),  # until it is read again
                st.floats(0, 2),
            ),
            min_size=2,
            max_size=5,
        ),
        st.booleans(),
    )
    def test_time_that_witnesses_tell_is_never_before_the_last_extension(
        self, draws: list[tuple[float, float, float, float, float]], jumps: bool
    ) -> None:
        witnesses, readings = [], {}
        for number, (rate, age, took, passed, replied) in enumerate(draws):
            name = WorkerId(f"w{number}")
            read_at = age + took
            witnesses.append(Witness(name, read_at * rate * SECOND, age * SECOND))
            again_at = read_at + passed
            clock = again_at * rate * SECOND
            if jumps and number == 0:
                clock += JUMP
            received_at = (again_at + replied) * SECOND
            readings[name] = ClockReading(again_at * SECOND, received_at, clock)
        since = find_unextended_since(witnesses, readings, DRIFT)
        assert since is not None
        self.assertGreaterEqual(since, -timedelta(microseconds=2))


if __name__ == "__main__":
    unittest.main()
