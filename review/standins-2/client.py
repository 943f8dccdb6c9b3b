"""A client of the system."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

from record import Record
from wire import call


class Client:
    """Hands jobs in, asks for their state and cancels them, and repeats as a client does."""

    def __init__(self, fronts: list[str], host: str, prefix: str, record: Record) -> None:
        self._fronts, self._host, self._prefix = fronts, host, prefix
        self._record = record

    def use_only(self, fronts: list[str]) -> None:
        """Send requests to these entries alone."""
        self._fronts = fronts

    async def request(
        self, method: str, job: str, content: Any = None, deadline_ms: int = 3000
    ) -> tuple[int, Any]:
        """Send one request to one entry."""
        status, answer, _ = await call(
            random.choice(self._fronts),
            method,
            self._prefix + job,
            content,
            headers={"Host": self._host, "X-Deadline-Ms": str(deadline_ms)},
            timeout=deadline_ms / 1000,
        )
        self._record.write(f"client {method} {self._prefix}{job}: {status} {answer}")
        return status, answer

    async def submit(self, job: str, steps: list[dict[str, Any]], spec: Any) -> None:
        """Hand a job in until it is accepted."""
        body = {"Spec": json.dumps({"steps": spec}), "Steps": steps}
        while True:
            status, _ = await self.request("POST", job, body)
            if status == 200:
                return
            await asyncio.sleep(0.5)

    async def read(self, job: str) -> str:
        """Return the state of a job, "" if it can't be read."""
        status, answer = await self.request("GET", job)
        return answer["State"] if status == 200 else ""

    async def cancel(self, job: str) -> None:
        """Cancel a job until that is acknowledged."""
        while True:
            status, _ = await self.request("DELETE", job)
            if status in (200, 410):
                return
            await asyncio.sleep(0.3)


def make_id() -> str:
    return f"{random.getrandbits(64):016x}"
