"""Processor time, memory and network traffic of running daemons.

``rhubarbfield measure control --secret_file FILE URL…`` reads the metrics of
the daemons at the URLs twice and prints the differences as rates.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Sequence

import httpx
import msgspec
from absl import flags
from prometheus_client.parser import text_string_to_metric_families
from returns.result import Failure, Success

from rhubarbfield.exceptions import UsageError
from rhubarbfield.language import Table, format_table
from rhubarbfield.settings.secrets import load_secret

COLUMNS = ("daemon", "core_percent", "memory_mb", "sent_kb_s", "received_kb_s")
MESSAGE_COLUMNS = ("sent_per_s", "received_per_s")
BYTES_IN_KB = 1000
BYTES_IN_MB = 1_000_000
PERCENT = 100
READ_TIMEOUT_SECONDS = 5.0


class Reading(msgspec.Struct, frozen=True, kw_only=True):
    """Counters of a daemon at one moment.

    Attributes
    ----------
    at
        Monotonic time of this program, in seconds.
    cpu_seconds
        Processor time spent, in seconds.
    memory_bytes
        Resident memory, in bytes.
    sent_bytes, received_bytes
        Bytes exchanged with other processes.
    sent_messages, received_messages
        Messages exchanged with other processes.
    """

    at: float
    cpu_seconds: float
    memory_bytes: float
    sent_bytes: float
    received_bytes: float
    sent_messages: float
    received_messages: float


def read_daemon(url: str, secret: str) -> Reading:
    """Read the metrics of the daemon at ``url``.

    Raises
    ------
    UsageError
        If the request fails or is answered with an error.
    """
    headers = {"Authorization": f"Bearer {secret}"}
    try:
        answer = httpx.get(
            f"{url}/-/metrics", headers=headers, timeout=READ_TIMEOUT_SECONDS
        )
        answer.raise_for_status()
    except httpx.HTTPError as error:
        raise UsageError(f"{url} shows no metrics: {error}") from error
    values = {
        (sample.name, sample.labels.get("direction", "")): sample.value
        for family in text_string_to_metric_families(answer.text)
        for sample in family.samples
    }
    return Reading(
        at=time.monotonic(),
        cpu_seconds=values["process_cpu_seconds_total", ""],
        memory_bytes=values["process_resident_memory_bytes", ""],
        sent_bytes=values["rhubarbfield_peering_bytes_total", "sent"],
        received_bytes=values["rhubarbfield_peering_bytes_total", "received"],
        sent_messages=values["rhubarbfield_peering_messages_total", "sent"],
        received_messages=values["rhubarbfield_peering_messages_total", "received"],
    )


def make_row(name: str, first: Reading, last: Reading) -> tuple[str | float, ...]:
    """Return a row of the table from two readings of a daemon."""
    seconds = last.at - first.at
    return (
        name,
        round(PERCENT * (last.cpu_seconds - first.cpu_seconds) / seconds, 2),
        round(last.memory_bytes / BYTES_IN_MB, 1),
        round((last.sent_bytes - first.sent_bytes) / seconds / BYTES_IN_KB, 2),
        round((last.received_bytes - first.received_bytes) / seconds / BYTES_IN_KB, 2),
        round((last.sent_messages - first.sent_messages) / seconds, 1),
        round((last.received_messages - first.received_messages) / seconds, 1),
    )


def measure_daemons(
    urls: Sequence[str], secret: str, seconds: float
) -> list[tuple[str | float, ...]]:
    """Measure all daemons over ``seconds`` and return a row for each."""
    first = {url: read_daemon(url, secret) for url in urls}
    time.sleep(seconds)
    return [make_row(url, first[url], read_daemon(url, secret)) for url in urls]


def main(argv: Sequence[str]) -> int:
    """Measure the daemons at the URLs in ``argv`` and print the table.

    Raises
    ------
    UsageError
        If the arguments or the secret file are invalid, or a daemon does not
        answer.
    """
    values = flags.FlagValues()
    flags.DEFINE_string("secret_file", None, "The shared secret.", flag_values=values)
    flags.DEFINE_float("seconds", 30, "For how long.", 1, flag_values=values)
    try:
        urls = values(["control", *argv])[1:]
    except flags.Error as error:
        raise UsageError(str(error)) from error
    if not urls or values.secret_file is None:
        raise UsageError("name --secret_file and the URLs of daemons")
    match load_secret(values.secret_file):
        case Success(found):
            secret = found.decode()
        case Failure(errors):
            raise UsageError(errors.format())
    rows = tuple(measure_daemons(urls, secret, values.seconds))
    print(format_table(Table(columns=(*COLUMNS, *MESSAGE_COLUMNS), rows=rows)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
