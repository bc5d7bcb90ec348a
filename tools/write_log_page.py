"""Write docs/reference/gateway-logs.md from the events in the code."""

import dataclasses
import inspect
import re
from pathlib import Path

from balsamspoke_gateway import observing

PAGE = Path(__file__).resolve().parent.parent / "docs/reference/gateway-logs.md"
HEAD = """# Log lines of the processes on the users' platform

Each line on standard output is one JSON object with `time`, `level`, `vm` and `event`;
the other fields depend on the event. Times are in seconds. This page is written by
`bash tools/run python tools/write_log_page.py`; a test checks it against the code.

Lines on single requests (`AttemptEnded`, `RequestEnded`) are written when the request
did not simply come to its answer at the first attempt: at most 50 a second on average
and 300 at once a process. Beyond that the ids of requests that ended alike share a line
a second (`RequestsEnded`, at most 1000 ids), and lines on their attempts are left out;
`left_out` counts what no line tells since the last one. A full pipe drops lines, which
the metric `balsamspoke_log_lines_dropped` counts. No line holds a key.

`Started`, `Stopping`, `Stopped`, `Ended`, `Reloaded` and `ReloadFailed` tell of the
process; `open_requests` and `reason` go with them.
"""


def describe(kind):
    """Return the section of one event."""
    text = inspect.getdoc(kind)
    summary = text.partition("\n")[0]
    notes = dict(re.findall(r"^([\w, ]+) : .*\n((?:    .*\n?)+)", text, re.MULTILINE))
    explained = {}
    for names, note in notes.items():
        for name in names.split(","):
            explained[name.strip()] = " ".join(note.split())
    lines = [
        f"## `{kind.__name__}`",
        "",
        summary,
        "",
        "| field | meaning |",
        "| --- | --- |",
    ]
    for field in dataclasses.fields(kind):
        lines.append(f"| `{field.name}` | {explained.get(field.name, '')} |")
    return "\n".join(lines)


def main():
    """Write the page."""
    kinds = [
        kind for kind in vars(observing).values() if dataclasses.is_dataclass(kind)
    ]
    sections = [HEAD, *(describe(kind) for kind in kinds)]
    PAGE.write_text("\n".join(sections).replace("\n\n\n", "\n\n") + "\n")


if __name__ == "__main__":
    main()
