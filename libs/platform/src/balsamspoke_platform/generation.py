"""One answer of an engine, read as it is produced."""

from datetime import timedelta

import orjson
from balsamspoke_types.exceptions import (
    BackendLost,
    BackendRefused,
    BackendUnreachable,
)
from balsamspoke_types.ports import Generation
from twisted.internet.protocol import Protocol

from .event_stream import EventStreamParser
from .exceptions import EventStreamError, HttpFailure, NotSent
from .http import read_body

CANCEL_TIMEOUT = timedelta(seconds=2)
_OK = 200
_FIRST_SERVER_ERROR = 500
_LONGEST_TEXT_OF_ERROR = 200


class HttpGeneration(Generation):
    """A running GenerationOrder on an engine.

    Parameters
    ----------
    caller : HttpCaller
        Calls the engine.
    order : GenerationOrder
        What is run.
    sink : GenerationSink
        Takes the answer.
    """

    def __init__(self, caller, order, sink):
        self._caller = caller
        self._order = order
        self._sink = sink
        self._offset = order.resume_offset
        self._reason = ""
        self._ended = False
        self._paused = False
        self._opening = None
        self._reader = None

    def start(self, document):
        """Send the order; called once."""
        is_chat = "messages" in document
        path = "/v1/chat/completions" if is_chat else "/v1/completions"
        order = self._order
        headers = (
            ("Content-Type", "application/json"),
            ("X-Request-Id", order.request),
            ("X-Fencing", str(order.fencing)),
            ("X-Priority", str(order.priority)),
            ("X-Resume-Offset", str(order.resume_offset)),
        )
        body = orjson.dumps(document)
        self._opening = self._caller.open("POST", path, headers, body)
        self._opening.addCallback(self._read_response)
        self._opening.addErrback(self._fail_with)

    def cancel(self):
        """Stop it at the engine; nothing more reaches the sink."""
        if self._ended:
            return
        self._ended = True
        if self._reader is not None:
            self._reader.stop()
        else:
            self._opening.cancel()
        path = f"/v1/requests/{self._order.request}/cancel"
        asked = self._caller.call("POST", path, CANCEL_TIMEOUT)
        # The closed connection tells the engine too.
        asked.addErrback(lambda failure: failure.trap(HttpFailure))

    def pause(self):
        """Stop reading the answer until it is resumed."""
        self._paused = True
        if self._reader is not None:
            self._reader.transport.pauseProducing()

    def resume(self):
        """Read on."""
        self._paused = False
        if self._reader is not None:
            self._reader.transport.resumeProducing()

    def take_event(self, data):
        """Take the data of one event, as bytes.

        Raises
        ------
        EventStreamError
            If it isn't a chunk of an answer.
        """
        text, count, reason = _read_chunk(data)
        if text:
            offset = self._offset
            self._offset += count
            self._sink.add_tokens(offset, text, count)
        if reason:
            self._reason = reason

    def take_end(self, is_whole):
        """Take the end of the stream; ``is_whole`` tells whether it said so."""
        if self._ended:
            return
        if not is_whole or not self._reason:
            self.fail(BackendLost("the stream ended before the answer did"))
            return
        self._ended = True
        self._sink.finish(self._reason, self._offset)

    def fail(self, error):
        """Take a BackendError, unless the answer has ended."""
        if not self._ended:
            self._ended = True
            self._sink.fail(error)

    @property
    def has_ended(self):
        """Whether nothing more may reach the sink."""
        return self._ended

    def _read_response(self, response):
        if response.code != _OK:
            return read_body(response).addCallback(self._refuse, response.code)
        self._reader = _StreamReader(self)
        response.deliverBody(self._reader)
        if self._ended:
            self._reader.stop()
        elif self._paused:
            self._reader.transport.pauseProducing()
        return None

    def _refuse(self, content, status):
        text = content[:_LONGEST_TEXT_OF_ERROR].decode(errors="replace")
        message = f"the engine answered {status}: {text}"
        if status >= _FIRST_SERVER_ERROR:
            self.fail(BackendLost(message))
        else:
            self.fail(BackendRefused(message, status))

    def _fail_with(self, failure):
        if failure.check(NotSent):
            self.fail(BackendUnreachable(failure.getErrorMessage()))
        else:
            self.fail(BackendLost(failure.getErrorMessage()))


class _StreamReader(Protocol):
    def __init__(self, generation):
        self._generation = generation
        self._parser = EventStreamParser()

    def dataReceived(self, data):
        generation = self._generation
        if generation.has_ended:
            return
        try:
            for event in self._parser.feed(data):
                generation.take_event(event)
                if generation.has_ended:
                    return
        except EventStreamError as error:
            generation.fail(BackendLost(str(error)))
            self.stop()
            return
        if self._parser.done:
            generation.take_end(True)

    def connectionLost(self, reason):
        self._generation.take_end(self._parser.done)

    def stop(self):
        if self.transport is not None:
            self.transport.loseConnection()


def _read_chunk(data):
    """Return text, number of tokens and finish reason of an event's data."""
    try:
        document = orjson.loads(data)
        choices = document.get("choices")
        if not choices:
            _expect_no_error(document)
            return "", 0, None
        choice = choices[0]
        delta = choice.get("delta")
        text = choice.get("text") if delta is None else delta.get("content")
        count = len(choice.get("token_ids") or ()) or 1
        return text, count, choice.get("finish_reason")
    except (ValueError, TypeError, AttributeError) as error:
        raise EventStreamError(f"not a chunk of an answer: {error!r}") from error


def _expect_no_error(document):
    if "error" in document:
        text = str(document["error"])[:_LONGEST_TEXT_OF_ERROR]
        raise EventStreamError(f"the engine failed in mid-answer: {text}")
