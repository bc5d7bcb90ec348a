"""Structured logs of an entry or side process on standard output."""

import dataclasses
import os
from datetime import timedelta

from balsamspoke_gateway.observing import (
    ANSWERED,
    AttemptEnded,
    DependencyLost,
    Observer,
    ProgramFailed,
    RequestEnded,
    RequestsEnded,
)
from loguru import logger

from .log_lines import add_line, choose_format

STANDARD_OUTPUT = 1
# Lines a second that are written on average, and at once; more are counted and
# left out, so that a flood of refusals does not cost the processor.
LINES_PER_SECOND = 50
LINES_AT_ONCE = 300
# Beyond that, the ids of requests that ended alike share a line, this often.
GATHERING_TIME = timedelta(seconds=1)
# Bounds the memory and the lines of one gathering.
MOST_GATHERED = 1000

_LEVELS = {DependencyLost: "WARNING", ProgramFailed: "ERROR"}


class LineWriter:
    """Write lines to a file descriptor and never wait for its reader.

    Parameters
    ----------
    descriptor : int
        Made non-blocking.

    Attributes
    ----------
    dropped : int
        Lines that the reader was too slow for.
    """

    def __init__(self, descriptor):
        self.descriptor = descriptor
        self._rest = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message):
        """Write a line, or drop it if the pipe is full."""
        data = message.encode()
        if self._rest:
            self._rest = self._write(self._rest)
        if self._rest:
            self.dropped += 1
            return
        # A part of a line that was written is completed before the next one.
        rest = self._write(data)
        if len(rest) == len(data):
            self.dropped += 1
        else:
            self._rest = rest

    def _write(self, data):
        try:
            return data[os.write(self.descriptor, data) :]
        except BlockingIOError:
            return data
        except OSError:
            # The reader is gone; there is nobody left to tell.
            return b""


def set_up_logs(vm, descriptor=STANDARD_OUTPUT):
    """Send logs to a file descriptor as JSON lines; return the LineWriter."""
    writer = LineWriter(descriptor)
    logger.remove()
    logger.configure(extra={"vm": vm}, patcher=add_line)
    logger.add(
        writer, level="INFO", format=choose_format, diagnose=False, backtrace=False
    )
    return writer


class LogObserver(Observer):
    """Log what changes a belief or explains how a request ended.

    Parameters
    ----------
    clock : Clock
        Bounds the lines of a second.

    Attributes
    ----------
    left_out : int
        Lines on requests that were left out since the start.
    """

    def __init__(self, clock):
        self._clock = clock
        self.left_out = 0
        self._allowance = float(LINES_AT_ONCE)
        self._updated = clock.monotonic()
        self._left_out = 0
        self._gathered = {}
        self._gathered_count = 0

    def observe(self, event):
        """Log an event, unless it is the usual end of a request."""
        if isinstance(event, AttemptEnded) and event.outcome == ANSWERED:
            return
        if isinstance(event, RequestEnded) and event.outcome == ANSWERED:
            if event.attempts == 0:
                return
        is_request = isinstance(event, (AttemptEnded, RequestEnded))
        if not is_request or self._allow():
            self._write(event)
        elif isinstance(event, RequestEnded) and self._gathered_count < MOST_GATHERED:
            self._gather(event)
        else:
            self._left_out += 1
            self.left_out += 1

    def _gather(self, event):
        """Keep the id for a line on all requests that ended alike."""
        if not self._gathered:
            self._clock.call_later(GATHERING_TIME, self._write_gathered)
        key = (event.route, event.team, event.outcome, event.status)
        self._gathered.setdefault(key, []).append(event)
        self._gathered_count += 1

    def _write_gathered(self):
        gathered, self._gathered = self._gathered, {}
        self._gathered_count = 0
        for (route, team, outcome, status), events in gathered.items():
            first = events[0]
            ids = tuple(event.request for event in events)
            line = RequestsEnded(
                route, team, outcome, first.reason, status, first.configuration, ids
            )
            self._write(line)

    def _allow(self):
        now = self._clock.monotonic()
        gained = LINES_PER_SECOND * ((now - self._updated) / timedelta(seconds=1))
        self._updated = now
        self._allowance = min(LINES_AT_ONCE, self._allowance + gained)
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _write(self, event):
        fields = {
            field.name: _simplify(getattr(event, field.name))
            for field in dataclasses.fields(event)
        }
        if self._left_out:
            fields["left_out"], self._left_out = self._left_out, 0
        level = _LEVELS.get(type(event), "INFO")
        logger.bind(event=type(event).__name__, **fields).log(level, "")


def _simplify(value):
    if isinstance(value, timedelta):
        return round(value.total_seconds(), 4)
    return value
