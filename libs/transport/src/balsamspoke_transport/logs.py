"""Structured logs of an entry or side process on standard output."""

import dataclasses
import os
from datetime import timedelta

from balsamspoke_gateway.observing import (
    ANSWERED,
    AttemptEnded,
    DependencyLost,
    HeaderUnreadable,
    Observer,
    ProgramFailed,
    ReplicaCrashed,
    RequestEnded,
    RequestsEnded,
    RetryDecided,
    StreamResumed,
    TimersLate,
    WatchFailed,
)
from loguru import logger

from .log_lines import add_json_line, get_line_format

STANDARD_OUTPUT = 1
# Rate and burst of the token bucket for lines on single requests. Further lines are
# not written, so that a flood of refusals does not take up the CPU.
LINES_PER_SECOND = 50
BURST_LINES = 300
# Requests beyond that rate share lines: once an interval, a line lists the ids of
# those with the same route, team, outcome and status.
GROUPING_INTERVAL = timedelta(seconds=1)
# Limits the memory and the number of lines of one interval.
MAX_GROUPED_REQUESTS = 1000

# Least time between two lines of such an event from one source: a server may send it in
# each answer.
REPEATED_LINE_INTERVAL = timedelta(minutes=1)

# Events of single requests, whose lines are limited in rate.
_REQUEST_EVENTS = (
    AttemptEnded,
    RequestEnded,
    ReplicaCrashed,
    RetryDecided,
    StreamResumed,
)
_LEVELS = {
    DependencyLost: "WARNING",
    ProgramFailed: "ERROR",
    TimersLate: "WARNING",
    WatchFailed: "WARNING",
}


class LineWriter:
    """Write lines to a file descriptor without ever blocking on its reader.

    Parameters
    ----------
    descriptor : int
        File descriptor, usually of a pipe; it is set to non-blocking mode.

    Attributes
    ----------
    descriptor : int
        The file descriptor.
    dropped_lines : int
        Lines dropped since the start because the pipe was full.
    """

    def __init__(self, descriptor):
        self.descriptor = descriptor
        self._unwritten = b""
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message):
        """Write a line, or drop it if the pipe is full."""
        data = message.encode()
        if self._unwritten:
            self._unwritten = self._write(self._unwritten)
        if self._unwritten:
            self.dropped_lines += 1
            return
        # The rest of a partly written line is written before the next line.
        rest = self._write(data)
        if len(rest) == len(data):
            self.dropped_lines += 1
        else:
            self._unwritten = rest

    def _write(self, data):
        """Write bytes; return those that did not fit into the pipe."""
        try:
            return data[os.write(self.descriptor, data) :]
        except BlockingIOError:
            return data
        except OSError:
            # The reader has closed the pipe: discard the data, since the failure
            # can't be logged anywhere.
            return b""


def set_up_logs(vm, descriptor=STANDARD_OUTPUT):
    """Configure Loguru to write JSON lines to a file descriptor.

    Parameters
    ----------
    vm : str
        VM of this process, written in each line.
    descriptor : int
        File descriptor to write to.

    Returns
    -------
    LineWriter
    """
    writer = LineWriter(descriptor)
    logger.remove()
    logger.configure(extra={"vm": vm}, patcher=add_json_line)
    logger.add(
        writer, level="INFO", format=get_line_format, diagnose=False, backtrace=False
    )
    return writer


class LogObserver(Observer):
    """Log all events except successful attempts and first-attempt answers.

    Lines on single requests are limited in rate. Beyond the rate, the ids of requests
    with the same outcome share a line, and lines on attempts are left out.

    Parameters
    ----------
    clock : Clock
        Measures the rate of lines and schedules the grouped ones.

    Attributes
    ----------
    left_out : int
        Lines on requests that were left out since the start.
    """

    def __init__(self, clock):
        self._clock = clock
        self.left_out = 0
        self._available_lines = float(BURST_LINES)
        self._updated_at = clock.monotonic()
        self._unreported_left_out = 0
        self._groups = {}
        self._grouped_count = 0
        self._repeated_lines = {}

    def observe(self, event):
        """Log an event, unless it is a success or beyond the rate."""
        if isinstance(event, AttemptEnded) and event.outcome == ANSWERED:
            return
        if isinstance(event, RequestEnded) and event.outcome == ANSWERED:
            if event.attempts == 0:
                return
        if isinstance(event, HeaderUnreadable) and not self._is_due(event):
            return
        is_request = isinstance(event, _REQUEST_EVENTS)
        if not is_request or self._take_line():
            self._write(event)
        elif (
            isinstance(event, RequestEnded)
            and self._grouped_count < MAX_GROUPED_REQUESTS
        ):
            self._add_to_group(event)
        else:
            self._unreported_left_out += 1
            self.left_out += 1

    def _is_due(self, event):
        """Return whether an equal event was not logged lately."""
        now = self._clock.monotonic()
        logged_at = self._repeated_lines.get(event)
        if logged_at is not None and now - logged_at < REPEATED_LINE_INTERVAL:
            return False
        if len(self._repeated_lines) >= MAX_GROUPED_REQUESTS:
            self._repeated_lines.clear()
        self._repeated_lines[event] = now
        return True

    def _add_to_group(self, event):
        """Add a request to the line of its route, team, outcome and status."""
        if not self._groups:
            self._clock.call_later(GROUPING_INTERVAL, self._write_groups)
        key = (event.route, event.team, event.outcome, event.status)
        self._groups.setdefault(key, []).append(event)
        self._grouped_count += 1

    def _write_groups(self):
        groups, self._groups = self._groups, {}
        self._grouped_count = 0
        for (route, team, outcome, status), events in groups.items():
            first = events[0]
            ids = tuple(event.request for event in events)
            line = RequestsEnded(
                route, team, outcome, first.reason, status, first.configuration, ids
            )
            self._write(line)

    def _take_line(self):
        """Take a line from the token bucket; return whether there was one."""
        now = self._clock.monotonic()
        added = LINES_PER_SECOND * ((now - self._updated_at) / timedelta(seconds=1))
        self._updated_at = now
        self._available_lines = min(BURST_LINES, self._available_lines + added)
        if self._available_lines < 1:
            return False
        self._available_lines -= 1
        return True

    def _write(self, event):
        fields = {
            field.name: _convert_value(getattr(event, field.name))
            for field in dataclasses.fields(event)
        }
        if self._unreported_left_out:
            fields["left_out"], self._unreported_left_out = self._unreported_left_out, 0
        level = _LEVELS.get(type(event), "INFO")
        logger.bind(event=type(event).__name__, **fields).log(level, "")


def _convert_value(value):
    """Return a timedelta as rounded seconds, any other value unchanged."""
    if isinstance(value, timedelta):
        return round(value.total_seconds(), 4)
    return value
