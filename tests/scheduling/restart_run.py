"""Random days on which all controllers are killed beside workers that are silent.

``python -m tests.scheduling.restart_run --seeds 50`` plays them. They are those of
:mod:`tests.scheduling.late_controllers_run`, with restarts of all controllers at once,
before which workers fall silent, and one worker whose clock jumps ahead.
"""

from __future__ import annotations

from datetime import timedelta
from functools import partial

import trio

from tests.scheduling import late_days
from tests.scheduling.inputs import Call
from tests.scheduling.late_controllers_run import KINDS, ControllersDay
from tests.scheduling.late_days import RandomDay
from tests.scheduling.late_orders import LateWorker, Trouble

SILENT_SECONDS = (0.5, 6.0)  # of workers, until all controllers are killed
LOST_SECONDS = (6.0, 14.0)  # from then on
MARKING_SECONDS = (2.5, 4.5)
HEARD_SECONDS = (0.2, 3.0)
JUMPS = 0.5  # share of these restarts beside which a clock jumps
RETURNS = 0.4  # share of the workers that are heard again before
LOST_WORKERS = (1, 2)
JUMP_SECONDS = (1.0, 60.0)
RESTARTS = ("silence and kill all",) * 4
RESTART_KINDS = (*KINDS, *RESTARTS, "kill all", "jump")


class RestartDay(ControllersDay):
    """A day with restarts of all controllers."""

    kinds = RESTART_KINDS

    def disturb_once(self, kind: str, nursery: trio.Nursery) -> None:
        """Begin a disturbance of a kind, of which ``nursery`` runs the rest."""
        match kind:
            case "kill all":
                self._kill_all()
            case "silence and kill all":
                nursery.start_soon(self._silence_and_kill)
            case "jump":
                self._jump()
            case _:
                super().disturb_once(kind, nursery)

    def _jump(self) -> None:
        worker = self.fleet.find_latest(self._workers[0])
        assert isinstance(worker, LateWorker)
        worker.jump(timedelta(seconds=self.random.uniform(*JUMP_SECONDS)))

    def _kill_all(self) -> None:
        for nursery in list(self._nurseries.values()):
            nursery.cancel_scope.cancel()

    async def _silence_and_kill(self) -> None:
        """Kill all controllers beside silent workers, which may be marked by then.

        Some of the workers were heard again after an earlier silence.
        """
        number = self.random.randint(*LOST_WORKERS)
        workers = self.random.sample(self._list_workers(), number)
        if self.random.random() < RETURNS:
            self._set_trouble(workers, Trouble.DEAF)
            await trio.sleep(self.random.uniform(*MARKING_SECONDS))
            self._set_trouble(workers, Trouble.NONE)
            await trio.sleep(self.random.uniform(*HEARD_SECONDS))
        self._set_trouble(workers, Trouble.DEAF)
        await trio.sleep(self.random.uniform(*SILENT_SECONDS))
        self._count_marks()
        self._kill_all()
        if self.random.random() < JUMPS:
            self._jump()
        await trio.sleep(self.random.uniform(*LOST_SECONDS))
        self._set_trouble(workers, Trouble.NONE)

    def _set_trouble(self, workers: list[LateWorker], trouble: Trouble) -> None:
        for worker in workers:
            worker.trouble = trouble
            worker.troubled_calls = frozenset(Call)

    def _count_marks(self) -> None:
        for leader in self.controllers.list_leaders():
            workers = leader.log.state.scheduling.workers.values()
            self.counts["marked when all are killed"] += sum(
                each.silent for each in workers
            )
            self.counts["of these with two witnesses"] += sum(
                len(each.witnesses) > 1 for each in workers
            )


def play_day(
    seed: int, *, has_single_lease: bool = False, is_wide: bool = False
) -> RandomDay:
    """Play the day of a seed and return it."""
    make_day = partial(
        RestartDay, seed, has_single_lease=has_single_lease, is_wide=is_wide
    )
    return late_days.play_day(make_day, seed)


if __name__ == "__main__":
    late_days.run_days(play_day, has_wide_days=True)
