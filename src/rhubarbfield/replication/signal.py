"""A wake-up event for one task."""

from __future__ import annotations

import trio


class Signal:
    """Wakes one waiting task; stays set until that task waits for it."""

    def __init__(self) -> None:
        self._event = trio.Event()

    def set(self) -> None:
        """Wake the task, now or when it next waits."""
        self._event.set()

    async def wait(self) -> None:
        """Wait until the signal is set, then clear it."""
        await self._event.wait()
        self._event = trio.Event()
