"""Send the calls of a load plan and note what comes back."""

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
from .tokens import get_length, make_text

BOOKING_ATTEMPTS = 4
REPEAT_SECONDS = 0.5
_OK = 200
_FIRST_ERROR = 400


class LoadRun:
    """One run of the load tool.

    Parameters
    ----------
    reactor : IReactorTime
        Gives the time.
    callers : sequence of HttpCaller
        The entries.
    plan : LoadPlan
        What to send.

    Attributes
    ----------
    tallies : dict
        TeamTally by team.
    """

    def __init__(self, reactor, callers, plan):
        self._reactor = reactor
        self._callers = callers
        self._plan = plan
        self._settings = plan.settings
        self._open = 0
        self._sends = True
        self._finished = Deferred()
        self.tallies = {}

    def start(self):
        """Send for the whole duration; return a Deferred for the last answer."""
        self._reactor.callLater(self._settings.duration, self._stop)
        self._send_next()
        return self._finished

    def _send_next(self):
        if not self._sends:
            return
        call = self._plan.draw_call()
        tally = self.tallies.setdefault(call.team.name, TeamTally())
        tally.requests += 1
        self._open += 1
        is_generation = isinstance(call, GenerationCall)
        send = self._generate if is_generation else self._book
        send(call, tally).addBoth(self._close)
        self._reactor.callLater(self._plan.draw_pause(), self._send_next)

    def _stop(self):
        self._sends = False
        self._finish_if_idle()

    def _close(self, result):
        self._open -= 1
        self._finish_if_idle()
        return result

    def _finish_if_idle(self):
        if not self._sends and self._open == 0 and not self._finished.called:
            self._finished.callback(self.tallies)

    @inlineCallbacks
    def _generate(self, call, tally):
        caller = self._plan.draw_entry(self._callers)
        headers = _make_headers(call.team)
        body = orjson.dumps(call.document)
        reader = _AnswerReader(self._reactor, tally)
        opening = caller.open("POST", "/v1/completions", headers, body)
        expiry = self._reactor.callLater(
            self._settings.timeout, lambda: (opening.cancel(), reader.stop())
        )
        try:
            response = yield opening
            if response.code >= _FIRST_ERROR:
                content = yield read_body(response)
                tally.refused[_read_cause(content, response.code)] += 1
                return
            response.deliverBody(reader)
            yield reader.finished
            self._judge(call.document, reader, tally)
        except HttpFailure as error:
            tally.broken[type(error).__name__] += 1
        finally:
            if expiry.active():
                expiry.cancel()

    def _judge(self, document, reader, tally):
        tally.tokens += reader.count
        length, _ = get_length(document)
        text = "".join(reader.texts)
        if reader.cause:
            tally.broken[reader.cause] += 1
        elif not reader.is_whole:
            tally.broken["cut"] += 1
        elif reader.count < length:
            tally.short += 1
        elif self._settings.verifies and text != make_text(
            document["model"], document, 0, length
        ):
            tally.wrong += 1
        else:
            tally.answered += 1

    @inlineCallbacks
    def _book(self, call, tally):
        headers = _make_headers(call.team)
        body = None
        if call.reference:
            headers += (("Idempotency-Key", call.reference),)
            body = orjson.dumps({"reference": call.reference})
        for attempt in range(BOOKING_ATTEMPTS):
            if attempt:
                tally.repeats += 1
                yield deferLater(self._reactor, REPEAT_SECONDS, lambda: None)
            cause = yield self._call_service(call, headers, body)
            if cause is None:
                tally.answered += 1
                tally.bookings += bool(call.reference)
                return
        tally.refused[cause] += 1

    @inlineCallbacks
    def _call_service(self, call, headers, body):
        caller = self._plan.draw_entry(self._callers)
        timeout = timedelta(seconds=self._settings.timeout)
        try:
            reply = yield caller.call(call.method, call.path, timeout, headers, body)
        except HttpFailure as error:
            return type(error).__name__
        if reply.status < _FIRST_ERROR:
            return None
        return _read_cause(reply.body, reply.status)


class _AnswerReader(Protocol):
    def __init__(self, reactor, tally):
        self.finished = Deferred()
        self.texts = []
        self.count = 0
        self.cause = ""
        self.is_whole = False
        self._reactor = reactor
        self._tally = tally
        self._parser = EventStreamParser()
        self._begin = self._last = reactor.seconds()

    def stop(self):
        if self.transport is not None and not self.finished.called:
            self.transport.loseConnection()

    def dataReceived(self, data):
        try:
            for event in self._parser.feed(data):
                self._take(orjson.loads(event))
        except (EventStreamError, ValueError, KeyError, AttributeError):
            self.cause = "not-an-answer"
            self.stop()

    def connectionLost(self, reason):
        self.is_whole = self._parser.done and bool(reason.check(ResponseDone))
        self.finished.callback(None)

    def _take(self, document):
        if "error" in document:
            self.cause = str(document["error"].get("code") or "error")
            return
        choices = document.get("choices")
        text = choices[0].get("text") if choices else None
        if not text:
            return
        now = self._reactor.seconds()
        # A process between may join several tokens into one event.
        count = max(1, text.count(" "))
        if self.count:
            spread = (now - self._last) / count
            self._tally.between_tokens.extend([spread] * count)
        else:
            self._tally.first_token.append(now - self._begin)
        self._last = now
        self.count += count
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
