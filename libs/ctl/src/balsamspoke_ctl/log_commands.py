"""Command that traces one request through collected log lines."""

import sys
from dataclasses import dataclass

import orjson

from .exceptions import NoSuchItem
from .exit_codes import ExitCode

# Events that record the state on which a process bases its decisions.
_STATE_EVENTS = frozenset(
    (
        "ConfigurationAdopted", "ReplicasListed", "ReplicaChanged", "EntriesListed",
        "DependencyLost", "DependencyRegained", "AdapterAnnounced", "Started",
        "PrefillRateLimitChanged", "Stopping", "Reloaded",
    )
)  # fmt: skip
# Fields that every line has; ``LogLine`` leaves them out of its ``fields``.
_COMMON_FIELDS = frozenset(("time", "level", "message", "vm", "event"))


@dataclass(frozen=True, slots=True)
class LogLine:
    """A parsed log line.

    Attributes
    ----------
    time : str
        Timestamp.
    vm : str
        Id of the VM that wrote the line.
    event : str
        Class name of the event; empty if the line has none.
    fields : dict
        Fields of the event, by name.
    """

    time: str
    vm: str
    event: str
    fields: dict

    def mentions(self, request):
        """Return whether the line names a request, alone or in a group."""
        is_sole_request = self.fields.get("request") == request
        return is_sole_request or request in self.fields.get("requests", ())

    def format(self):
        """Return the line as readable text."""
        shown = dict(self.fields)
        if "requests" in shown:
            shown["requests"] = f"{len(shown['requests'])} alike"
        details = " ".join(
            f"{name}={value}" for name, value in shown.items() if value != ""
        )
        return f"{self.time}  {self.vm}  {self.event}  {details}"


def trace(arguments, context):
    """Show a request's log lines, preceded by state events up to its last line.

    Lines are read from the files, or from standard input if there are none. Text before
    a line's JSON object is skipped, as are lines without one.
    """
    lines = list(_read_lines(arguments.files))
    request_lines = [line for line in lines if line.mentions(arguments.request)]
    if not request_lines:
        raise NoSuchItem(f"no log line mentions request {arguments.request}")
    for line in [
        *_find_state_lines(lines, request_lines, arguments.beliefs),
        *request_lines,
    ]:
        document = {"time": line.time, "vm": line.vm, "event": line.event}
        context.output.show({**document, **line.fields}, line.format())
    return ExitCode.OK


def _read_lines(files):
    if not files:
        yield from _parse_lines(sys.stdin.buffer)
    for path in files:
        try:
            stream = path.open("rb")
        except OSError as error:
            reason = f"can't read the log file {path}: {error.strerror}"
            raise NoSuchItem(reason) from error
        with stream:
            yield from _parse_lines(stream)


def _parse_lines(stream):
    for text in stream:
        json_start = text.find(b'{"time"')
        if json_start < 0:
            continue
        try:
            record = orjson.loads(text[json_start:])
        except orjson.JSONDecodeError:
            # The last line of a file may be truncated.
            continue
        fields = {
            name: value for name, value in record.items() if name not in _COMMON_FIELDS
        }
        yield LogLine(
            record["time"], record.get("vm", ""), record.get("event", ""), fields
        )


def _find_state_lines(lines, request_lines, count):
    """Return state events on the request's VMs up to its last line.

    These are all events of the request's replicas and the last ``count`` of any kind.
    """
    vms = {line.vm for line in request_lines}
    end = max(line.time for line in request_lines)
    replicas = {line.fields.get("replica") for line in request_lines} - {None}
    state_lines = [
        line
        for line in lines
        if line.vm in vms and line.event in _STATE_EVENTS and line.time <= end
    ]
    about_replicas = [
        line for line in state_lines if line.fields.get("replica") in replicas
    ]
    latest = state_lines[-count:] if count else []
    return [line for line in state_lines if line in about_replicas or line in latest]
