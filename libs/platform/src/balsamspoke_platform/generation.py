"""Generations that an engine streams over HTTP."""

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
_MAX_ERROR_TEXT_LENGTH = 200


class HttpGeneration(Generation):
    """A running GenerationOrder on an engine.

    Parameters
    ----------
    client : HttpClient
        Sends requests to the engine.
    order : GenerationOrder
        Describes the generation.
    sink : GenerationSink
        Receives the tokens, then the end or an error.
    """

    def __init__(self, client, order, sink):
        self._client = client
        self._order = order
        self._sink = sink
        self._offset = order.resume_offset
        self._finish_reason = ""
        self._has_ended = False
        self._is_paused = False
        self._opening = None
        self._reader = None

    def start(self, document):
        """Send the request to the engine; called once.

        Parameters
        ----------
        document : dict
            Body of the request; a chat completion if it has ``messages``.
        """
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
        self._opening = self._client.open("POST", path, headers, body)
        self._opening.addCallback(self._read_response)
        self._opening.addErrback(self._handle_failure)

    def cancel(self):
        """Cancel the generation at the engine; nothing more is passed to the sink."""
        if self._has_ended:
            return
        self._has_ended = True
        if self._reader is not None:
            self._reader.stop()
        else:
            self._opening.cancel()
        path = f"/v1/requests/{self._order.request}/cancel"
        cancelled = self._client.call("POST", path, CANCEL_TIMEOUT)
        # A failure is ignored: the engine also detects the closed connection.
        cancelled.addErrback(lambda failure: failure.trap(HttpFailure))

    def pause(self):
        """Stop reading from the connection until ``resume`` is called."""
        self._is_paused = True
        if self._reader is not None:
            self._reader.transport.pauseProducing()

    def resume(self):
        """Continue reading from the connection."""
        self._is_paused = False
        if self._reader is not None:
            self._reader.transport.resumeProducing()

    def handle_event(self, data):
        """Handle one event of the stream.

        Parameters
        ----------
        data : bytes
            The event's data.

        Raises
        ------
        EventStreamError
            If the data isn't a chunk of a completion, or reports an error.
        """
        text, count, reason = _read_chunk(data)
        if text:
            offset = self._offset
            self._offset += count
            self._sink.add_tokens(offset, text, count)
        if reason:
            self._finish_reason = reason

    def handle_end(self, is_complete):
        """Handle the end of the stream.

        Parameters
        ----------
        is_complete : bool
            Whether the event ``[DONE]`` was received.
        """
        if self._has_ended:
            return
        if not is_complete or not self._finish_reason:
            self.fail(
                BackendLost(
                    "the event stream ended before [DONE] or without a finish reason"
                )
            )
            return
        self._has_ended = True
        self._sink.finish(self._finish_reason, self._offset)

    def fail(self, error):
        """Pass a BackendError to the sink, unless the generation has ended."""
        if not self._has_ended:
            self._has_ended = True
            self._sink.fail(error)

    @property
    def has_ended(self):
        """Whether the generation has ended: nothing more is passed to the sink."""
        return self._has_ended

    def _read_response(self, response):
        if response.code != _OK:
            return read_body(response).addCallback(
                self._fail_with_status, response.code
            )
        self._reader = _StreamReader(self)
        response.deliverBody(self._reader)
        if self._has_ended:
            self._reader.stop()
        elif self._is_paused:
            self._reader.transport.pauseProducing()
        return None

    def _fail_with_status(self, content, status):
        text = content[:_MAX_ERROR_TEXT_LENGTH].decode(errors="replace")
        message = f"the engine answered {status}: {text}"
        if status >= _FIRST_SERVER_ERROR:
            self.fail(BackendLost(message))
        else:
            self.fail(BackendRefused(message, status))

    def _handle_failure(self, failure):
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
                generation.handle_event(event)
                if generation.has_ended:
                    return
        except EventStreamError as error:
            generation.fail(BackendLost(str(error)))
            self.stop()
            return
        if self._parser.done:
            generation.handle_end(True)

    def connectionLost(self, reason):
        self._generation.handle_end(self._parser.done)

    def stop(self):
        if self.transport is not None:
            self.transport.loseConnection()


def _read_chunk(data):
    """Return text, token count and finish reason of an event's data."""
    try:
        document = orjson.loads(data)
        choices = document.get("choices")
        if not choices:
            _check_for_error(document)
            return "", 0, None
        choice = choices[0]
        delta = choice.get("delta")
        text = choice.get("text") if delta is None else delta.get("content")
        count = len(choice.get("token_ids") or ()) or 1
        return text, count, choice.get("finish_reason")
    except (ValueError, TypeError, AttributeError) as error:
        raise EventStreamError(f"malformed chunk of a completion: {error!r}") from error


def _check_for_error(document):
    if "error" in document:
        text = str(document["error"])[:_MAX_ERROR_TEXT_LENGTH]
        raise EventStreamError(f"the engine reported an error in the stream: {text}")
