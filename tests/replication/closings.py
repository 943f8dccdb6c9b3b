"""What goes on at a site as its day is closed by a loss of disks."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from tests.replication.sitefaults import CATCH_UP_SECONDS, Site, replace_oldest

# Returns how many disks count as lost already.
Before = Callable[[Site, int, trio.Nursery], Awaitable[int]]
before_closing: dict[str, Before] = {}


def before(function: Before) -> Before:
    """Register what goes on as a day is closed."""
    before_closing[function.__name__] = function
    return function


@before
async def nothing(site: Site, tolerated: int, nursery: trio.Nursery) -> int:
    return 0


@before
async def slow_disk(site: Site, tolerated: int, nursery: trio.Nursery) -> int:
    node = site.random.choice([*site.nodes, site.find_leader()])
    node.sync_seconds = site.random.uniform(0.02, 0.8)
    await trio.sleep(site.random.uniform(0, 2))
    return 0


@before
async def stalled_disk_of_the_leader(
    site: Site, tolerated: int, nursery: trio.Nursery
) -> int:
    site.find_leader().sync_seconds = 60.0
    await trio.sleep(site.random.uniform(0, 4))
    return 0


@before
async def member_that_stands_still(
    site: Site, tolerated: int, nursery: trio.Nursery
) -> int:
    """Stop a member as the sync of a stalled disk does, which blocks its loop."""
    site.random.choice(site.nodes).clock.freeze()
    await trio.sleep(site.random.uniform(0, 4))
    return 0


@before
async def power_lost_in_a_file_operation(
    site: Site, tolerated: int, nursery: trio.Nursery
) -> int:
    node = site.random.choice(site.nodes)
    node.files.operations_until_crash = site.random.randint(1, 6)
    return 0


@before
async def members_cut_off(site: Site, tolerated: int, nursery: trio.Nursery) -> int:
    site.split(site.random.sample(site.nodes, site.random.randint(1, tolerated)))
    await trio.sleep(site.random.uniform(0, 6))
    return 0


@before
async def member_catching_up(site: Site, tolerated: int, nursery: trio.Nursery) -> int:
    """Heal a cut, so that the closing meets the entries or the snapshot it lacks."""
    site.split([site.random.choice(site.nodes)])
    await trio.sleep(site.random.uniform(2, 12))
    site.heal()
    await trio.sleep(site.random.uniform(0, 0.3))
    return 0


@before
async def one_way_cut(site: Site, tolerated: int, nursery: trio.Nursery) -> int:
    source, target = site.random.sample(site.nodes, 2)
    site.group.network.cut(source.name, target.name)
    await trio.sleep(site.random.uniform(0, 4))
    return 0


@before
async def planned_change_of_leader(
    site: Site, tolerated: int, nursery: trio.Nursery
) -> int:
    leader = site.find_leader()
    if leader.replica is not None:
        leader.replica.release_leadership()
    await trio.sleep(site.random.uniform(0, 0.5))
    return 0


@before
async def member_repaired_just_now(
    site: Site, tolerated: int, nursery: trio.Nursery
) -> int:
    """Lose a disk, and close the day as soon as that no longer counts."""
    node = site.random.choice([*site.nodes, site.find_leader()])
    await node.lose_disk()
    await site.restart(node)
    await site.wait_caught_up()
    return 0


@before
async def member_replaced_just_now(
    site: Site, tolerated: int, nursery: trio.Nursery
) -> int:
    await replace_oldest(site)
    await site.wait_caught_up()
    return 0


@before
async def voter_replaced_by_a_learner(
    site: Site, tolerated: int, nursery: trio.Nursery
) -> int:
    """Cut a voter off for about the time after which a learner replaces it."""
    await site.boot(site.add())
    await site.wait_caught_up()
    site.split([site.random.choice(site.nodes)])
    await trio.sleep(site.random.uniform(2.2, 3.2))
    return 0


@before
async def lost_disk_not_repaired_yet(
    site: Site, tolerated: int, nursery: trio.Nursery
) -> int:
    """Lose a disk or a member, and close the day while that counts."""
    if tolerated == 1:
        return await member_repaired_just_now(site, tolerated, nursery)
    if site.random.random() < 0.5:
        nursery.start_soon(replace_oldest, site)
    else:
        node = site.random.choice(site.nodes)
        await node.lose_disk()
        nursery.start_soon(site.restart, node)
    await trio.sleep(site.random.uniform(0, CATCH_UP_SECONDS))
    return 1
