"""Telling a request's story from the logs of several processes."""

from __future__ import annotations

from rhubarbfield.cli.registry import Call, subcommand
from rhubarbfield.exceptions import UsageError

MISSING = 1  # exit code where no line concerns the id


@subcommand(
    "explain-log",
    help="Put the lines of several processes about one request in order.",
    usage="ID FILE…",
)
def explain_log(call: Call) -> int:
    """Print the story of a job, task or worker."""
    from rhubarbfield.logstory import read_lines, tell_story

    wanted, *paths = call.arguments or ("",)
    if not paths:
        raise UsageError("an id and a file are missing", "explain-log ID FILE…")
    lines = []
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                lines.extend(read_lines(path, file))
        except OSError as error:
            raise UsageError(f"{path} can't be read: {error.strerror}") from None
    story = tell_story(wanted, lines)
    if not story:
        call.complain(f"no line of {len(paths)} files concerns '{wanted}'")
        return MISSING
    for line in story:
        call.write(line)
    return 0
