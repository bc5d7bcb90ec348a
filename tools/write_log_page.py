"""Write docs/reference/gateway-logs.md from the docstrings of the event classes."""

import dataclasses
import inspect
import re
from pathlib import Path

from balsamspoke_gateway import observing

PAGE = Path(__file__).resolve().parent.parent / "docs/reference/gateway-logs.md"
HEAD = """# Log lines of the processes on the users' platform

Each line on standard output is one JSON object with `time`, `level`, `vm` and `event`;
the other fields depend on the event. Durations are in seconds. This page is written by
`bash tools/run python tools/write_log_page.py`; a test checks it against the code.

Events of single requests are `AttemptEnded`, written for attempts that were not
answered, and `RequestEnded`, written for requests that were not answered at the first
attempt. Each process writes at most 50 of these lines a second on average and 300 at
once. Beyond that, requests with the same route, team, outcome and status share one line
a second (`RequestsEnded`, at most 1000 request ids a second). Any further request and
all further attempts are left out; the next line counts them in `left_out`. While the
pipe is full, lines are dropped, and the metric `balsamspoke_log_lines_dropped` counts
them. No line contains a key.

`Started`, `Stopping`, `Stopped`, `Ended`, `Reloaded` and `ReloadFailed` are events of
the process itself. `Stopping` and `Stopped` have the field `open_requests`, and
`ReloadFailed` has `reason`.
"""


def format_section(event_class):
    """Return the page's section about one event class."""
    text = inspect.getdoc(event_class)
    summary = text.partition("\n")[0]
    descriptions = dict(
        re.findall(r"^([\w, ]+) : .*\n((?:    .*\n?)+)", text, re.MULTILINE)
    )
    meanings = {}
    for names, description in descriptions.items():
        for name in names.split(","):
            meanings[name.strip()] = " ".join(description.split())
    lines = [
        f"## `{event_class.__name__}`",
        "",
        summary,
        "",
        "| field | meaning |",
        "| --- | --- |",
    ]
    for field in dataclasses.fields(event_class):
        lines.append(f"| `{field.name}` | {meanings.get(field.name, '')} |")
    return "\n".join(lines)


def main():
    """Write the page with a section for each event class."""
    event_classes = [
        event_class
        for event_class in vars(observing).values()
        if dataclasses.is_dataclass(event_class)
    ]
    sections = [HEAD, *(format_section(event_class) for event_class in event_classes)]
    PAGE.write_text("\n".join(sections).replace("\n\n\n", "\n\n") + "\n")


if __name__ == "__main__":
    main()
