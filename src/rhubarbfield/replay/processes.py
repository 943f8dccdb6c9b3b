"""A simulated process: a group of tasks that can be killed as a whole."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio


class Process:
    """One process of an in-memory fleet.

    Parameters
    ----------
    name
        Name of the process, such as ``controller a1``.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self._scope = trio.CancelScope()
        self._ended = trio.Event()
        self._nursery: trio.Nursery | None = None

    async def run(
        self,
        body: Callable[..., Awaitable[None]],
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run ``body``, which takes ``task_status``, until the process is killed."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    self._nursery = nursery
                    await body(task_status=task_status)
        finally:
            self._ended.set()

    async def run_inside(self, body: Callable[[], Awaitable[None]]) -> bool:
        """Run ``body`` in the process's nursery.

        Returns
        -------
        bool
            Whether ``body`` finished before the process was killed.
        """
        finished = trio.Event()

        async def run() -> None:
            await body()
            finished.set()

        if self._nursery is None or self._ended.is_set():
            return False
        self._nursery.start_soon(run)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_wait_then_cancel, finished, nursery.cancel_scope)
            nursery.start_soon(_wait_then_cancel, self._ended, nursery.cancel_scope)
        return finished.is_set()

    async def kill(self) -> None:
        """Cancel all tasks of the process and wait until they have ended."""
        self._scope.cancel()
        await self._ended.wait()


async def _wait_then_cancel(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
