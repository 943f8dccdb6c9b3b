"""Disturbances in pairs, on the days on which orders are carried out late."""

from __future__ import annotations

import trio

from tests.scheduling import inputs
from tests.scheduling.inputs import Call, Inputs
from tests.scheduling.late_orders import LateWorker, Trouble


async def silence_after_late_starts(worker: LateWorker, drawn: Inputs) -> None:
    """Let starts on a worker be late, and soon after that the worker be silent."""
    worker.trouble = Trouble.LATE
    worker.troubled_calls = frozenset((Call.START,))
    await trio.sleep(drawn.draw(inputs.PAIR_SECONDS))
    worker.trouble = Trouble(drawn.choose(inputs.PAIR_SILENCE))
    worker.troubled_calls = frozenset(Call)
    await trio.sleep(drawn.draw(inputs.SILENCE_SECONDS))
    worker.trouble = Trouble.NONE
