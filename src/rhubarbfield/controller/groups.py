"""Replication groups of the fleet's and the domains' logs, and their members."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from rhubarbfield.settings import Settings
from rhubarbfield.types import FailureDomain, GroupId, InstanceName

FLEET_GROUP = GroupId("fleet")
DOMAIN_GROUP_PREFIX = "domain-"


def make_domain_group_id(domain: FailureDomain) -> GroupId:
    """Return the identifier of the group of a failure domain's log."""
    return GroupId(f"{DOMAIN_GROUP_PREFIX}{domain}")


class DomainGroup(msgspec.Struct, frozen=True):
    """The group of one failure domain's log.

    Attributes
    ----------
    domain
        The failure domain.
    voters
        Instances that vote in the group; one may be in another domain.
    members
        The voters, and all other instances of the domain, which are learners.
    controllers
        The instances of the domain, whose controllers can serve it as leader.
    """

    domain: FailureDomain
    voters: tuple[InstanceName, ...]
    members: tuple[InstanceName, ...]
    controllers: tuple[InstanceName, ...]


def list_domain_groups(settings: Settings) -> tuple[DomainGroup, ...]:
    """Return the group of each failure domain."""
    groups = []
    for domain, members in settings.fleet.domains.items():
        voters = tuple(InstanceName(name) for name in members.voters)
        own = tuple(
            InstanceName(one.name)
            for one in settings.fleet.instances
            if one.failure_domain == domain
        )
        learners = tuple(name for name in own if name not in voters)
        group = DomainGroup(FailureDomain(domain), voters, voters + learners, own)
        groups.append(group)
    return tuple(groups)


def map_controller_addresses(
    settings: Settings,
) -> Mapping[InstanceName, tuple[str, int]]:
    """Return the host and peer port of each instance's controller."""
    return {
        InstanceName(one.name): (one.host, one.controller_peer_port)
        for one in settings.fleet.instances
    }


def map_member_addresses(
    settings: Settings, members: tuple[InstanceName, ...]
) -> Mapping[InstanceName, tuple[str, int]]:
    """Return the host and peer port of the controllers of ``members``."""
    controllers = map_controller_addresses(settings)
    return {name: controllers[name] for name in members}
