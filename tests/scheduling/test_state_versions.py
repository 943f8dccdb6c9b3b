"""Tests of rules that take effect only once all controllers know them."""

from __future__ import annotations

import unittest
from datetime import timedelta

import msgspec
import trio

from rhubarbfield.exceptions import BrokenInvariantError
from rhubarbfield.machine import Command, SectionedMachine
from rhubarbfield.scheduling.appliers import SchedulingLogState, make_scheduling_machine
from rhubarbfield.scheduling.commands import RaiseStateVersion, scheduling_commands
from rhubarbfield.scheduling.heartbeats import HeartbeatDigest
from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.model import (
    LATE_SUCCESS_VERSION,
    STATE_VERSION,
    StateVersion,
    Step,
)
from rhubarbfield.scheduling.state_versions import CHECK_INTERVAL, MAX_REPORT_AGE
from rhubarbfield.types import InstanceName, LogIndex
from tests.scheduling.controllers import Controllers, with_controllers
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment
from tests.scheduling.test_late_successes import (
    WORK,
    count_starts,
    run_through_cut,
)

CHECK_SECONDS = 2 * CHECK_INTERVAL.total_seconds()
OTHERS = (InstanceName("b"), InstanceName("c"))


def tell(leader: SchedulingLeader, name: InstanceName, version: int) -> None:
    """Let the leader receive a digest of another controller."""
    leader.handle_digest(HeartbeatDigest((), name, StateVersion(version)))


class StateVersionsTest(unittest.TestCase):
    def check(self, deployment: Deployment, expected: int) -> None:
        self.assertEqual(deployment.state.version, expected)

    @with_deployment()
    async def test_version_is_raised_once_all_members_know_it(
        self, deployment: Deployment
    ) -> None:
        deployment.others = OTHERS
        async with deployment.lead() as leader:
            await trio.sleep(CHECK_SECONDS)
            self.check(deployment, 0)
            tell(leader, OTHERS[0], STATE_VERSION)
            await trio.sleep(CHECK_SECONDS)
            self.check(deployment, 0)
            for name in OTHERS:
                tell(leader, name, STATE_VERSION)
            await trio.sleep(CHECK_SECONDS)
            self.check(deployment, STATE_VERSION)

    @with_deployment()
    async def test_version_is_not_raised_beside_a_member_of_an_earlier_version(
        self, deployment: Deployment
    ) -> None:
        deployment.others = OTHERS
        async with deployment.lead() as leader:
            tell(leader, OTHERS[0], STATE_VERSION)
            leader.handle_digest(HeartbeatDigest(()))  # it does not tell its name
            await trio.sleep(CHECK_SECONDS)
            self.check(deployment, 0)

    @with_deployment()
    async def test_version_is_not_raised_by_what_a_lost_member_told_before(
        self, deployment: Deployment
    ) -> None:
        """It may come back with an earlier version."""
        deployment.others = OTHERS
        async with deployment.lead() as leader:
            tell(leader, OTHERS[0], STATE_VERSION)
            await trio.sleep(2 * MAX_REPORT_AGE.total_seconds())
            tell(leader, OTHERS[1], STATE_VERSION)
            await trio.sleep(CHECK_SECONDS)
            self.check(deployment, 0)

    @with_deployment()
    async def test_late_success_has_no_effect_beside_a_member_of_an_earlier_version(
        self, deployment: Deployment
    ) -> None:
        """Its replica would keep the task waiting, and start it again as a leader."""
        deployment.others = OTHERS
        worker = deployment.add_worker("w1", duration=WORK)
        async with deployment.lead():
            await run_through_cut(deployment, (Step(demand=ONE_CORE),), worker)
            self.assertEqual(deployment.state.version, 0)
        self.assertEqual(count_starts(deployment, "j"), 2)

    def test_earlier_version_stops_once_a_rule_is_in_effect_that_it_lacks(self) -> None:
        machine = make_scheduling_machine()
        raised = RaiseStateVersion(version=LATE_SUCCESS_VERSION)
        encoded = machine.encode_command(raised)
        earlier = SectionedMachine(
            SchedulingLogState, {"scheduling": EarlierCommands()}, ()
        )
        with self.assertRaises(BrokenInvariantError):
            earlier.apply(LogIndex(1), encoded)

    def test_version_is_in_snapshots_and_missing_in_earlier_ones(self) -> None:
        machine = make_scheduling_machine()
        raised = RaiseStateVersion(version=LATE_SUCCESS_VERSION)
        machine.apply(LogIndex(1), machine.encode_command(raised))
        snapshot = machine.take_snapshot()
        machine.restore(snapshot)
        self.assertEqual(machine.state.scheduling.version, LATE_SUCCESS_VERSION)
        earlier = msgspec.msgpack.decode(snapshot, strict=False)
        del earlier["scheduling"]["version"]
        machine.restore(msgspec.msgpack.encode(earlier))
        self.assertEqual(machine.state.scheduling.version, 0)

    @with_controllers()
    async def test_controllers_of_a_deployment_agree_on_the_latest_version(
        self, controllers: Controllers
    ) -> None:
        await trio.sleep(timedelta(seconds=5).total_seconds())
        state = controllers.leader.log.state.scheduling
        self.assertEqual(state.version, STATE_VERSION)


class EarlierCommands(type(scheduling_commands)):  # type: ignore[misc]
    """The commands that an earlier version knows."""

    @property
    def command_types(self) -> tuple[type[Command], ...]:
        known = scheduling_commands.command_types
        return tuple(each for each in known if each is not RaiseStateVersion)


if __name__ == "__main__":
    unittest.main()
