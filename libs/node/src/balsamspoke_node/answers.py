"""Formatting of answers in the OpenAI-compatible completions formats."""

from abc import ABC, abstractmethod

import orjson

from .responses import JSON_HEADER, describe_refusal, write_refusal, write_response

EVENT_STREAM_HEADERS = (
    ("content-type", "text/event-stream"),
    ("cache-control", "no-store"),
)
_END_OF_STREAM_EVENT = b"data: [DONE]\n\n"
_OK_STATUS = 200


class AnswerWriter(ABC):
    """Format the answer to one completions request and send it.

    Parameters
    ----------
    responder : Responder
        Receives the HTTP response.
    request_id : str
        Id of the caller's request.
    completion : CompletionRequest
        Parameters of the request, which determine the format.
    created : int
        Time of the answer, in seconds since the Unix epoch.
    """

    def __init__(self, responder, request_id, completion, created):
        self._responder = responder
        self._request_id = request_id
        self._completion = completion
        self._created = created

    @abstractmethod
    def add_text(self, text):
        """Add the text of the next tokens."""

    @abstractmethod
    def finish(self, reason, tokens):
        """End a complete answer, with its finish reason and token count."""

    @abstractmethod
    def refuse(self, refusal):
        """End the answer with a refusal."""

    def _build_object(self, choices, usage=None):
        chat = self._completion.is_chat
        fields = {
            "id": self._request_id,
            "object": self._get_object_name(chat),
            "created": self._created,
            "model": self._completion.model_name,
            "choices": choices,
        }
        if usage is not None:
            fields["usage"] = usage
        return fields

    def _build_usage(self, tokens):
        prompt = self._completion.prompt_tokens
        return {
            "prompt_tokens": prompt,
            "completion_tokens": tokens,
            "total_tokens": prompt + tokens,
        }

    @staticmethod
    @abstractmethod
    def _get_object_name(is_chat):
        """Return the value of the ``object`` field."""


class WholeAnswerWriter(AnswerWriter):
    """Buffer the text and send the answer as one JSON response."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._texts = []

    def add_text(self, text):
        """Buffer the text."""
        self._texts.append(text)

    def finish(self, reason, tokens):
        """Send the buffered text as a complete answer."""
        text = "".join(self._texts)
        choice = {"index": 0, "finish_reason": reason, "logprobs": None}
        if self._completion.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        fields = self._build_object([choice], self._build_usage(tokens))
        headers = (JSON_HEADER, ("x-request-id", self._request_id))
        write_response(self._responder, _OK_STATUS, headers, orjson.dumps(fields))

    def refuse(self, refusal):
        """Send the refusal as the response; nothing has been sent before."""
        write_refusal(self._responder, refusal, self._request_id)

    @staticmethod
    def _get_object_name(is_chat):
        return "chat.completion" if is_chat else "text_completion"


class StreamedAnswerWriter(AnswerWriter):
    """Send server-sent events as tokens arrive."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._started = False
        self._event_prefix, self._event_suffix = self._encode_event_template()

    def add_text(self, text):
        """Send an event with the text."""
        self._start()
        self._responder.write(
            self._event_prefix + orjson.dumps(text) + self._event_suffix
        )

    def finish(self, reason, tokens):
        """Send the last events: finish reason, usage if requested, and end mark."""
        self._start()
        self._write_event(self._build_object([self._build_choice("", reason)]))
        if self._completion.includes_usage:
            self._write_event(self._build_object([], self._build_usage(tokens)))
        self._responder.write(_END_OF_STREAM_EVENT)
        self._responder.end()

    def refuse(self, refusal):
        """Send the refusal; after the first event, send it as an event and abort."""
        if not self._started:
            write_refusal(self._responder, refusal, self._request_id)
            return
        self._write_event(describe_refusal(refusal, self._request_id))
        self._responder.abort()

    def _start(self):
        if not self._started:
            self._started = True
            headers = (*EVENT_STREAM_HEADERS, ("x-request-id", self._request_id))
            self._responder.start(_OK_STATUS, headers)

    def _encode_event_template(self):
        """Return the encoded parts of an event before and after its text.

        Only the text differs between events, so the rest is encoded once.
        """
        placeholder = "\ue000"
        event = self._encode(
            self._build_object([self._build_choice(placeholder, None)])
        )
        before, after = event.split(orjson.dumps(placeholder))
        return before, after

    def _build_choice(self, text, reason):
        choice = {"index": 0, "finish_reason": reason, "logprobs": None}
        if self._completion.is_chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        return choice

    def _write_event(self, fields):
        self._responder.write(self._encode(fields))

    @staticmethod
    def _encode(fields):
        return b"data: " + orjson.dumps(fields) + b"\n\n"

    @staticmethod
    def _get_object_name(is_chat):
        return "chat.completion.chunk" if is_chat else "text_completion"
