"""Workers ranked for alike tasks, kept up to date while a round adds tasks."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Collection, Sequence

from rhubarbfield.scheduling.headroom import WorkerHeadroom
from rhubarbfield.types import WorkerId

Cost = tuple[float, ...]
Evaluator = Callable[[WorkerHeadroom], Cost | None]


class CandidateRanking:
    """Workers in the order in which they suit tasks of one kind.

    A worker is evaluated once, and again after each change of its headroom.

    Parameters
    ----------
    candidates
        The workers; of two with the same cost the first is better.
    evaluate
        Returns the cost of placing a task on a worker, or None if the worker
        can't take it. The lowest cost is best.
    changes
        Workers in the order in which their headroom changed. The caller appends
        to it.
    """

    def __init__(
        self,
        candidates: Sequence[WorkerHeadroom],
        evaluate: Evaluator,
        changes: Sequence[WorkerId],
    ) -> None:
        self._candidates = candidates
        self._evaluate = evaluate
        self._changes = changes
        self._changes_seen = len(changes)
        self._positions = {
            headroom.worker.worker: position
            for position, headroom in enumerate(candidates)
        }
        self._versions = [0] * len(candidates)
        self._entries: list[tuple[Cost, int, int]] = []
        for position, headroom in enumerate(candidates):
            cost = evaluate(headroom)
            if cost is not None:
                self._entries.append((cost, position, 0))
        heapq.heapify(self._entries)

    @property
    def is_empty(self) -> bool:
        """Whether no worker can take a task."""
        self._update()
        self._drop_outdated()
        return not self._entries

    def choose(
        self, excluded: Collection[WorkerId], avoided: Collection[WorkerId]
    ) -> WorkerHeadroom | None:
        """Return the best worker, or None if no worker can take a task.

        Parameters
        ----------
        excluded
            Workers that are not considered.
        avoided
            Workers that are considered only if there is no other.
        """
        passed: list[tuple[Cost, int, int]] = []
        best: WorkerHeadroom | None = None
        best_avoided: WorkerHeadroom | None = None
        while best is None and not self.is_empty:
            headroom = self._candidates[self._entries[0][1]]
            worker = headroom.worker.worker
            if worker not in excluded and worker not in avoided:
                best = headroom
                break
            if worker not in excluded and best_avoided is None:
                best_avoided = headroom
            passed.append(heapq.heappop(self._entries))
        for entry in passed:
            heapq.heappush(self._entries, entry)
        return best or best_avoided

    def _drop_outdated(self) -> None:
        while self._entries:
            _, position, version = self._entries[0]
            if version == self._versions[position]:
                return
            heapq.heappop(self._entries)

    def _update(self) -> None:
        """Evaluate the workers whose headroom has changed."""
        if self._changes_seen == len(self._changes):
            return
        changed = dict.fromkeys(self._changes[self._changes_seen :])
        self._changes_seen = len(self._changes)
        for worker in changed:
            position = self._positions.get(worker)
            if position is None:
                continue
            self._versions[position] += 1
            cost = self._evaluate(self._candidates[position])
            if cost is not None:
                entry = (cost, position, self._versions[position])
                heapq.heappush(self._entries, entry)
