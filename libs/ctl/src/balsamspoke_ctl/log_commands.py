"""Commands on collected log lines: what happened to one request."""

import sys
from dataclasses import dataclass

import orjson

from .exceptions import NoSuchItem
from .exit_codes import ExitCode

# Events that tell what a process believed when it decided.
_BELIEFS = frozenset(
    (
        "ConfigurationAdopted", "ReplicasListed", "ReplicaChanged", "EntriesListed",
        "DependencyLost", "DependencyRegained", "AdapterAnnounced", "Started",
        "Stopping", "Reloaded",
    )
)  # fmt: skip
# Fields of every line, which the table shows in columns of their own.
_COMMON = frozenset(("time", "level", "message", "vm", "event"))


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log line, and the other fields of its event as text."""

    time: str
    vm: str
    event: str
    fields: dict

    def concerns(self, request):
        """Whether the line tells of a request, alone or among others."""
        is_only = self.fields.get("request") == request
        return is_only or request in self.fields.get("requests", ())

    def format(self):
        """Return the line for people."""
        shown = dict(self.fields)
        if "requests" in shown:
            shown["requests"] = f"{len(shown['requests'])} alike"
        details = " ".join(
            f"{name}={value}" for name, value in shown.items() if value != ""
        )
        return f"{self.time}  {self.vm}  {self.event}  {details}"


def trace(arguments, context):
    """Show each attempt of a request, and what was believed before, from log lines.

    Lines come from files or standard input; text before a line's JSON is passed over,
    and so are lines without any.
    """
    lines = list(_read_lines(arguments.files))
    own = [line for line in lines if line.concerns(arguments.request)]
    if not own:
        raise NoSuchItem(f"no line tells of request {arguments.request}")
    for line in [*_find_beliefs(lines, own, arguments.beliefs), *own]:
        document = {"time": line.time, "vm": line.vm, "event": line.event}
        context.output.show({**document, **line.fields}, line.format())
    return ExitCode.OK


def _read_lines(files):
    if not files:
        yield from _parse(sys.stdin.buffer)
    for path in files:
        with path.open("rb") as stream:
            yield from _parse(stream)


def _parse(stream):
    for text in stream:
        begin = text.find(b'{"time"')
        if begin < 0:
            continue
        try:
            found = orjson.loads(text[begin:])
        except orjson.JSONDecodeError:
            # A line that was cut at the end of a file.
            continue
        fields = {name: value for name, value in found.items() if name not in _COMMON}
        yield LogLine(
            found["time"], found.get("vm", ""), found.get("event", ""), fields
        )


def _find_beliefs(lines, own, count):
    """Return the last belief lines of the request's VMs before it ended."""
    vms = {line.vm for line in own}
    end = max(line.time for line in own)
    replicas = {line.fields.get("replica") for line in own} - {None}
    beliefs = [
        line
        for line in lines
        if line.vm in vms and line.event in _BELIEFS and line.time <= end
    ]
    about_own = [line for line in beliefs if line.fields.get("replica") in replicas]
    latest = beliefs[-count:] if count else []
    return [line for line in beliefs if line in about_own or line in latest]
