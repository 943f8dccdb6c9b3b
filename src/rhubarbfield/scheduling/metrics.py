"""Metrics of the daemons of a deployment whose workers are called.

Labels come from closed sets: kinds of calls, verbs, outcomes. Jobs, tasks,
workers and queues never become labels.
"""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

SECONDS_BUCKETS = (
    0.005,
    0.01,
    0.02,
    0.03,
    0.05,
    0.1,
    0.15,
    0.3,
    0.6,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)
_PREFIX = "rhubarbfield_scheduling"

REQUEST_SECONDS = Histogram(
    f"{_PREFIX}_request_seconds",
    "Time from a caller's request to its answer, at an entry.",
    ["verb", "outcome"],
    buckets=SECONDS_BUCKETS,
)
JOBS = Counter(f"{_PREFIX}_jobs", "Jobs by what was decided.", ["decision"])
FIRST_START_SECONDS = Histogram(
    f"{_PREFIX}_first_start_seconds",
    "Time from a job's acceptance to its first run, by the leader that saw both.",
    buckets=SECONDS_BUCKETS,
)
ROUND_SECONDS = Histogram(
    f"{_PREFIX}_round_seconds",
    "Time that one round of placing took, without its commit.",
    buckets=SECONDS_BUCKETS,
)
START_STAGE_SECONDS = Histogram(
    f"{_PREFIX}_start_stage_seconds",
    "Time that the stages of a start took, at the leader.",
    ["stage"],
    buckets=SECONDS_BUCKETS,
)
WORKER_CALL_SECONDS = Histogram(
    f"{_PREFIX}_worker_call_seconds",
    "Time of calls to workers; a view waits for ends.",
    ["call", "outcome"],
    buckets=SECONDS_BUCKETS,
)
WORKER_CALLS_ROUTED = Counter(
    f"{_PREFIX}_worker_calls_routed",
    "Calls to workers, direct or relayed by another controller.",
    ["route"],
)
RUNS_ENDED = Counter(f"{_PREFIX}_runs_ended", "Ends of runs.", ["end"])
ENDS_LISTED_LATE = Counter(
    f"{_PREFIX}_ends_listed_late",
    "Ends that workers listed of runs which were recorded as ended otherwise.",
    ["end"],
)
RUNS_PLACED = Counter(f"{_PREFIX}_runs_placed", "Runs that were given a worker.")
RUNS_DISTURBED = Counter(
    f"{_PREFIX}_runs_disturbed", "Runs that were stopped or slowed.", ["reason"]
)
LEASES_LAPSED = Counter(
    f"{_PREFIX}_leases_lapsed", "Workers whose lease ended unheard."
)
WORKERS_GONE = Counter(
    f"{_PREFIX}_workers_gone", "Incarnations of workers that ended.", ["cause"]
)
TASKS_GIVEN_UP = Counter(
    f"{_PREFIX}_tasks_given_up", "Tasks that crashed the workers that started them."
)
HEARTBEATS = Counter(f"{_PREFIX}_heartbeats", "Reports of workers.", ["outcome"])
LEADING = Gauge(f"{_PREFIX}_leading", "1 while this instance leads.")
OPEN_JOBS = Gauge(f"{_PREFIX}_open_jobs", "Jobs that have not ended.")
WAITING_JOBS = Gauge(f"{_PREFIX}_waiting_jobs", "Open jobs of which nothing has run.")
JOBS_BY_OUTLOOK = Gauge(
    f"{_PREFIX}_jobs_by_outlook",
    "Open jobs by whether they can still reach their goal, at the leader.",
    ["outlook"],
)
WORKERS = Gauge(f"{_PREFIX}_workers", "Workers in the state.")
CONFIGURATION_VERSION = Gauge(
    f"{_PREFIX}_configuration_version", "Version of the configuration applied here."
)
