"""State machines of the two kinds of replicated log."""

from __future__ import annotations

import msgspec

from rhubarbfield.fleet import FLEET_REPLY_TYPES, FleetState, fleet_commands
from rhubarbfield.machine import SectionedMachine
from rhubarbfield.ownership import (
    OWNERSHIP_REPLIES,
    OwnershipState,
    ownership_commands,
)
from rhubarbfield.placement import WorkState, work_commands, work_replies
from rhubarbfield.records import RECORD_REPLIES, RecordState, record_commands


class DomainLogState(msgspec.Struct):
    """State of the log of one failure domain.

    Attributes
    ----------
    work
        Workers, jobs, tasks and their attempts.
    ownership
        Backend servers and the entries that own them.
    records
        Requests that must run at most once, and their answers.
    """

    work: WorkState = msgspec.field(default_factory=WorkState)
    ownership: OwnershipState = msgspec.field(default_factory=OwnershipState)
    records: RecordState = msgspec.field(default_factory=RecordState)


class FleetLogState(msgspec.Struct):
    """State of the log of the whole fleet.

    Attributes
    ----------
    fleet
        Configuration, jobs and their delegation, and operators' commands.
    """

    fleet: FleetState = msgspec.field(default_factory=FleetState)


def make_domain_machine() -> SectionedMachine[DomainLogState]:
    """Return an empty state machine for the log of a failure domain."""
    return SectionedMachine(
        DomainLogState,
        {
            "work": work_commands,
            "ownership": ownership_commands,
            "records": record_commands,
        },
        (*work_replies, *OWNERSHIP_REPLIES, *RECORD_REPLIES),
    )


def make_fleet_machine() -> SectionedMachine[FleetLogState]:
    """Return an empty state machine for the log of the fleet."""
    return SectionedMachine(FleetLogState, {"fleet": fleet_commands}, FLEET_REPLY_TYPES)
