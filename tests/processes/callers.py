"""Callers behind a simple load balancer, with counts of their outcomes."""

from __future__ import annotations

import threading
import time
from collections import Counter

import httpx

from tests.processes.fleet import ProcessFleet

REQUEST_PAUSE_SECONDS = 0.02
READINESS_INTERVAL_SECONDS = 0.3


class Callers:
    """Threads that keep sending requests to the entries that are ready.

    Attributes
    ----------
    outcomes
        How often requests had each outcome.
    latest_answer
        Reading of the monotonic clock at the last success.
    """

    def __init__(self, fleet: ProcessFleet, count: int = 4) -> None:
        self.outcomes: Counter[str] = Counter()
        self.latest_answer = 0.0
        self._fleet = fleet
        self._ready: list[str] = list(fleet.instances)
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._call, args=(number,))
            for number in range(count)
        ]
        self._threads.append(threading.Thread(target=self._check_readiness))

    def __enter__(self) -> Callers:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _check_readiness(self) -> None:
        while not self._stop.wait(READINESS_INTERVAL_SECONDS):
            self._ready = [
                name for name in self._fleet.instances if self._is_ready(name)
            ]

    def _is_ready(self, name: str) -> bool:
        url = f"{self._fleet.instances[name].callers}/-/ready"
        try:
            return httpx.get(url, timeout=0.5).is_success
        except httpx.HTTPError:
            return False

    def _call(self, number: int) -> None:
        turn = number
        while not self._stop.wait(REQUEST_PAUSE_SECONDS):
            ready = self._ready
            if not ready:
                continue
            turn += 1
            self.outcomes[self._send_request(ready[turn % len(ready)])] += 1

    def _send_request(self, instance: str) -> str:
        try:
            answer = self._fleet.send_request(instance)
        except httpx.HTTPError as error:
            return f"cut off: {type(error).__name__}"
        if answer.is_success:
            self.latest_answer = time.monotonic()
            return "answered"
        refusal = answer.json()
        return f"{answer.status_code} {refusal['outcome']}: {refusal['sentence']}"
