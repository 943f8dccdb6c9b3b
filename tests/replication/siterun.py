"""Random days of a small site on a virtual clock.

``python -m tests.replication.siterun --seeds 50`` plays that many days on which
disks are lost one after another, controllers replaced, cut off, frozen and left
without power, as often as the site tolerates. The same seed gives the same run.
"""

from __future__ import annotations

import sys
from collections import Counter
from random import Random

import msgspec
import trio
from absl import app, flags

from tests.replication.determinism import run_deterministic
from tests.replication.group import Group
from tests.replication.sitefaults import CLOCK_DRIFT, Site, beside, disruptions
from tests.replication.test_founding import SETTINGS as SITE_SETTINGS

SETTINGS = msgspec.structs.replace(SITE_SETTINGS, snapshot_after=150, kept_entries=60)
RECOVERY_SECONDS = 12.0
MEAN_PAUSES_SECONDS = (0.03, 0.3, 3.0, 30.0)  # between commands


class SiteRun:
    """One day of a site, and its event counts."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.random = site.random
        self._mean_pause = self.random.choice(MEAN_PAUSES_SECONDS)

    async def run(self, rounds: int) -> None:
        group = self.site.group
        await group.wait_leader()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._propose)
            nursery.start_soon(self._watch)
            for _ in range(rounds):
                await self._disrupt()
            nursery.cancel_scope.cancel()
        await self._recover()
        last = await group.propose_many("last", 1)
        await group.wait_until_all_at(last)
        group.observer.check_outcomes()

    async def _disrupt(self) -> None:
        """Run one disruption, and sometimes others beside it."""
        name = self.random.choice(sorted(disruptions))
        self.site.counts[name] += 1
        async with trio.open_nursery() as nursery:
            if self.random.random() < 0.5:
                other = self.random.choice(sorted(beside))
                self.site.counts[other] += 1
                nursery.start_soon(beside[other], self.site)
                await trio.sleep(self.random.uniform(0, 2))
            await disruptions[name](self.site)
        await self.site.wait_caught_up()
        if self.random.random() < 0.5:
            await self._recover()

    async def _recover(self) -> None:
        began = trio.current_time()
        await self.site.group.wait_leader(RECOVERY_SECONDS)
        waited = int(1000 * (trio.current_time() - began))
        counts = self.site.counts
        counts["longest wait, ms"] = max(counts["longest wait, ms"], waited)

    async def _watch(self) -> None:
        while True:
            await trio.sleep(0.05)
            self.site.group.check()

    async def _propose(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.random.expovariate(1 / self._mean_pause))
                nursery.start_soon(self.site.propose)


def run_seed(seed: int, rounds: int) -> Counter[str]:
    """Run one day and return its event counts; raises on the first violation."""

    async def run() -> Counter[str]:
        async with trio.open_nursery() as nursery:
            group = Group(
                nursery,
                seed,
                settings=SETTINGS,
                drift=CLOCK_DRIFT,
                has_first_start=True,
            )
            await group.start()
            site = Site(group, Random(seed))
            await SiteRun(site).run(rounds)
            nursery.cancel_scope.cancel()
        return site.counts

    return run_deterministic(run, seed)


def main(_: list[str]) -> None:
    """Run the seeds given by the flags and print what happened in them."""
    total: Counter[str] = Counter()
    failed = 0
    for seed in range(flags.FLAGS.first, flags.FLAGS.first + flags.FLAGS.seeds):
        try:
            counts = run_seed(seed, flags.FLAGS.rounds)
        except Exception as error:  # the next seeds still run
            failed += 1
            print(f"seed {seed}: {error!r}", flush=True)
            continue
        longest = max(total.pop("longest wait, ms", 0), counts["longest wait, ms"])
        total.update(counts)
        total["longest wait, ms"] = longest
    for name, count in sorted(total.items()):
        print(f"  {name:56} {count}")
    print(f"{failed} of {flags.FLAGS.seeds} days failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    flags.DEFINE_integer("first", 1, "The first seed.")
    flags.DEFINE_integer("seeds", 50, "How many seeds to run, one after the other.")
    flags.DEFINE_integer("rounds", 12, "Disruptions of each day.")
    app.run(main)
