"""Checks of rules that several cases share, from what the runners saw."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import TYPE_CHECKING

from standins.record import Record

if TYPE_CHECKING:
    from standins.case import Fleet
    from standins.system import System

STILL_SECONDS = 3.0


def find_two_runs(record: Record) -> list[str]:
    """Return each start of a task that was active on another runner."""
    breaks = []
    active: dict[str, dict[int, str]] = {}
    for each in record.events:
        if each["event"] == "start":
            runs = active.setdefault(each["task"], {})
            breaks += [
                f"TWICE: at {each['at']} s run {each['run']} of {each['task']} starts on"
                f" {each['runner']} (token {each['token']}) while run {run} is active"
                f" on {runner}"
                for run, runner in runs.items()
            ]
            runs[each["run"]] = each["runner"]
        elif each["event"] in ("end", "gone"):
            active.get(each["task"], {}).pop(each["run"], None)
    return breaks


async def find_still_jobs(
    system: System,
    fleet: Fleet,
    hostname: str,
    prefix: str,
    jobs: Mapping[str, dict],
) -> list[str]:
    """Return each job that is not done, and of which nothing runs for 3 s.

    A job counts only while tasks whose turn has come wait, and while the runners have
    capacity for them twice over and less than half of it is in use.
    """
    record = system.record
    began = record.now()
    used_most = 0
    while record.now() < began + STILL_SECONDS:
        used = [each.needs[task][0] for each in fleet.runners for task in each.active]
        used_most = max(used_most, sum(used))
        await asyncio.sleep(0.05)
    until = record.now()
    capacity = sum(each.capacity["Cpu"] for each in fleet.runners)
    done = {each["task"] for each in record.select("end", how="done")}
    breaks = []
    for job, body in jobs.items():
        waiting = list_turns(job, body, done)
        starts = record.select("start")
        seen = [each for each in starts if each["task"].split(".")[0] == job]
        active = [t for r in fleet.runners for t in r.active if t.split(".")[0] == job]
        is_still = not active and all(each["at"] < began for each in seen)
        status, state = await system.read_state(hostname, prefix, job, attempts=1)
        wanted = sum(need for _, need in waiting)
        record.write(
            "job", job=job, status=status, state=state, still=is_still,
            waiting=[task for task, _ in waiting], since=began, until=until,
            cores_used=used_most, cores=capacity,
        )  # fmt: skip
        has_room = capacity - used_most >= 2 * wanted and used_most * 2 < capacity
        if waiting and is_still and has_room:
            breaks.append(
                f"LOST: job {job} is shown as {state} (status {status}); its tasks"
                f" {', '.join(task for task, _ in waiting)} wait, and nothing of it"
                f" ran from {began} to {until} s, with {used_most} of {capacity}"
                " millicores in use"
            )
    return breaks


def list_turns(job: str, body: dict, done: set[str]) -> list[tuple[str, int]]:
    """Return the tasks of a job that are not done and whose turn has come."""
    steps = body["Steps"]
    names = [
        [f"{job}.0.{number}.{index}" for index in range(step["Count"])]
        for number, step in enumerate(steps)
    ]
    return [
        (task, step.get("Cpu", 0))
        for number, step in enumerate(steps)
        for task in names[number]
        if task not in done
        and all(set(names[before]) <= done for before in step.get("StartAfter", []))
    ]


def find_starts_beyond_budget(record: Record, max_attempts: int) -> list[str]:
    """Return each start after so many failed ends of its task were taken note of."""
    failed: dict[str, set[int]] = {}
    noted: dict[str, set[int]] = {}
    breaks = []
    for each in record.events:
        task, run = each.get("task", ""), each.get("run", 0)
        if each["event"] == "end" and each["how"] == "failed":
            failed.setdefault(task, set()).add(run)
        elif each["event"] == "end-noted" and run in failed.get(task, ()):
            noted.setdefault(task, set()).add(run)
        elif each["event"] == "start" and len(noted.get(task, ())) >= max_attempts:
            breaks.append(
                f"BUDGET: at {each['at']} s run {run} of {task} starts on"
                f" {each['runner']}, after runs {sorted(noted[task])} have failed and"
                f" were taken note of, of {max_attempts} that are allowed"
            )
    return breaks
