"""The subcommand that merges the logs of several processes about one request."""

from __future__ import annotations

from rhubarbfield.cli.registry import Invocation, subcommand
from rhubarbfield.exceptions import UsageError

EXIT_NO_MATCH = 1  # no line mentions the id


@subcommand(
    "explain-log",
    help="Put the lines of several processes about one request in order.",
    usage="ID FILE…",
)
def explain_log(invocation: Invocation) -> int:
    """Print the timeline of a job, task or worker."""
    from rhubarbfield.logtimeline import format_timeline, read_lines

    wanted, *paths = invocation.arguments or ("",)
    if not paths:
        raise UsageError("an id and a file are missing", "explain-log ID FILE…")
    lines = []
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                lines.extend(read_lines(path, file))
        except OSError as error:
            raise UsageError(f"{path} can't be read: {error.strerror}") from None
    timeline = format_timeline(wanted, lines)
    if not timeline:
        invocation.write_error(f"no line in {len(paths)} files mentions '{wanted}'")
        return EXIT_NO_MATCH
    for line in timeline:
        invocation.write(line)
    return 0
