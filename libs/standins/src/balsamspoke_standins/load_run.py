"""Run of the load tool: sends the calls of a plan and counts the results."""

from datetime import timedelta

import orjson
from balsamspoke_platform import (
    EventStreamError,
    EventStreamParser,
    HttpFailure,
    read_body,
)
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater
from twisted.web.client import ResponseDone

from .load_plan import GenerationCall
from .load_report import TeamTally
from .tokens import get_token_count, make_text

MAX_BOOKING_ATTEMPTS = 4
RETRY_INTERVAL_SECONDS = 0.5
_OK = 200
_MIN_ERROR_STATUS = 400


class LoadRun:
    """One run of the load tool.

    Parameters
    ----------
    reactor : IReactorTime
        Clock of calls and timeouts.
    clients : sequence of HttpClient
        Clients of the entry processes; may change during the run.
    plan : LoadPlan
        Source of the calls.

    Attributes
    ----------
    tallies : dict
        TeamTally by team name.
    """

    def __init__(self, reactor, clients, plan):
        self._reactor = reactor
        self._clients = clients
        self._plan = plan
        self._settings = plan.settings
        self._pending_calls = 0
        self._is_sending = True
        self._finished = Deferred()
        self.tallies = {}

    def start(self):
        """Start sending; return a Deferred that fires when the last call has ended."""
        self._reactor.callLater(self._settings.duration, self._stop)
        self._send_next()
        return self._finished

    def _send_next(self):
        if not self._is_sending:
            return
        call = self._plan.draw_call()
        tally = self.tallies.setdefault(call.team.name, TeamTally())
        tally.requests += 1
        self._pending_calls += 1
        is_generation = isinstance(call, GenerationCall)
        send = self._send_generation if is_generation else self._send_booking
        send(call, tally).addBoth(self._finish_call)
        self._reactor.callLater(self._plan.draw_interval(), self._send_next)

    def _stop(self):
        self._is_sending = False
        self._finish_if_idle()

    def _finish_call(self, result):
        self._pending_calls -= 1
        self._finish_if_idle()
        return result

    def _finish_if_idle(self):
        if (
            not self._is_sending
            and self._pending_calls == 0
            and not self._finished.called
        ):
            self._finished.callback(self.tallies)

    @inlineCallbacks
    def _send_generation(self, call, tally):
        client = self._plan.draw_entry(self._clients)
        headers = _make_headers(call.team)
        body = orjson.dumps(call.document)
        reader = _StreamReader(self._reactor, tally)
        response_deferred = client.open("POST", "/v1/completions", headers, body)
        timeout_call = self._reactor.callLater(
            self._settings.timeout, lambda: (response_deferred.cancel(), reader.stop())
        )
        try:
            response = yield response_deferred
            if response.code >= _MIN_ERROR_STATUS:
                content = yield read_body(response)
                tally.refused[_read_cause(content, response.code)] += 1
                return
            response.deliverBody(reader)
            yield reader.finished
            self._count_result(call.document, reader, tally)
        except HttpFailure as error:
            tally.broken[type(error).__name__] += 1
        finally:
            if timeout_call.active():
                timeout_call.cancel()

    def _count_result(self, document, reader, tally):
        tally.tokens += reader.token_count
        expected_count, _ = get_token_count(document)
        text = "".join(reader.texts)
        if reader.cause:
            tally.broken[reader.cause] += 1
        elif not reader.is_complete:
            tally.broken["cut"] += 1
        elif reader.token_count < expected_count:
            tally.short += 1
        elif self._settings.should_verify and text != make_text(
            document["model"], document, 0, expected_count
        ):
            tally.wrong += 1
        else:
            tally.answered += 1

    @inlineCallbacks
    def _send_booking(self, call, tally):
        headers = _make_headers(call.team)
        body = None
        if call.reference:
            headers += (("Idempotency-Key", call.reference),)
            body = orjson.dumps({"reference": call.reference})
        for attempt in range(MAX_BOOKING_ATTEMPTS):
            if attempt:
                tally.repeats += 1
                yield deferLater(self._reactor, RETRY_INTERVAL_SECONDS, lambda: None)
            cause = yield self._call_service_once(call, headers, body)
            if cause is None:
                tally.answered += 1
                tally.bookings += bool(call.reference)
                return
        tally.refused[cause] += 1

    @inlineCallbacks
    def _call_service_once(self, call, headers, body):
        client = self._plan.draw_entry(self._clients)
        timeout = timedelta(seconds=self._settings.timeout)
        try:
            reply = yield client.call(call.method, call.path, timeout, headers, body)
        except HttpFailure as error:
            return type(error).__name__
        if reply.status < _MIN_ERROR_STATUS:
            return None
        return _read_cause(reply.body, reply.status)


class _StreamReader(Protocol):
    def __init__(self, reactor, tally):
        self.finished = Deferred()
        self.texts = []
        self.token_count = 0
        self.cause = ""
        self.is_complete = False
        self._reactor = reactor
        self._tally = tally
        self._parser = EventStreamParser()
        self._started_at = self._last_token_at = reactor.seconds()

    def stop(self):
        if self.transport is not None and not self.finished.called:
            self.transport.loseConnection()

    def dataReceived(self, data):
        try:
            for event in self._parser.feed(data):
                self._handle_event(orjson.loads(event))
        except (EventStreamError, ValueError, KeyError, AttributeError):
            self.cause = "not-an-answer"
            self.stop()

    def connectionLost(self, reason):
        self.is_complete = self._parser.done and bool(reason.check(ResponseDone))
        self.finished.callback(None)

    def _handle_event(self, document):
        if "error" in document:
            self.cause = str(document["error"].get("code") or "error")
            return
        choices = document.get("choices")
        text = choices[0].get("text") if choices else None
        if not text:
            return
        now = self._reactor.seconds()
        # Entry and side processes may merge several tokens into one event.
        token_count = max(1, text.count(" "))
        if self.token_count:
            interval = (now - self._last_token_at) / token_count
            self._tally.between_tokens.extend([interval] * token_count)
        else:
            self._tally.first_token.append(now - self._started_at)
        self._last_token_at = now
        self.token_count += token_count
        self.texts.append(text)


def _make_headers(team):
    headers = (("Content-Type", "application/json"),)
    if team.key:
        headers += (("Authorization", f"Bearer {team.key}"),)
    return headers


def _read_cause(content, status):
    try:
        return str(orjson.loads(content)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return f"status-{status}"
