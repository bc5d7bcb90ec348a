"""Answers in the OpenAI-compatible completions formats."""

from abc import ABC, abstractmethod

import orjson

from .responses import JSON_HEADER, describe_refusal, write_refusal, write_response

EVENT_STREAM_HEADERS = (
    ("content-type", "text/event-stream"),
    ("cache-control", "no-store"),
)
_END_OF_EVENTS = b"data: [DONE]\n\n"
_OK = 200


class AnswerWriter(ABC):
    """Write the answer to one completions request.

    Parameters
    ----------
    responder : Responder
        Where it goes.
    request_id : str
        Id of the caller's request.
    completion : CompletionRequest
        What was asked for.
    created : int
        Seconds since the epoch.
    """

    def __init__(self, responder, request_id, completion, created):
        self._responder = responder
        self._request_id = request_id
        self._completion = completion
        self._created = created

    @abstractmethod
    def add_text(self, text):
        """Write the next tokens' text."""

    @abstractmethod
    def finish(self, reason, tokens):
        """Write the end of a whole answer of so many tokens."""

    @abstractmethod
    def refuse(self, refusal):
        """Write that there is no whole answer."""

    def _describe(self, choices, usage=None):
        chat = self._completion.is_chat
        described = {
            "id": self._request_id,
            "object": self._object_name(chat),
            "created": self._created,
            "model": self._completion.model_name,
            "choices": choices,
        }
        if usage is not None:
            described["usage"] = usage
        return described

    def _describe_usage(self, tokens):
        prompt = self._completion.prompt_tokens
        return {
            "prompt_tokens": prompt,
            "completion_tokens": tokens,
            "total_tokens": prompt + tokens,
        }

    @staticmethod
    @abstractmethod
    def _object_name(is_chat):
        """Return the format's name for what is written."""


class WholeAnswerWriter(AnswerWriter):
    """Write the answer at once when it is whole."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._texts = []

    def add_text(self, text):
        """Keep the text."""
        self._texts.append(text)

    def finish(self, reason, tokens):
        """Write the answer."""
        text = "".join(self._texts)
        choice = {"index": 0, "finish_reason": reason, "logprobs": None}
        if self._completion.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        described = self._describe([choice], self._describe_usage(tokens))
        headers = (JSON_HEADER, ("x-request-id", self._request_id))
        write_response(self._responder, _OK, headers, orjson.dumps(described))

    def refuse(self, refusal):
        """Write the refusal; nothing was written before it."""
        write_refusal(self._responder, refusal, self._request_id)

    @staticmethod
    def _object_name(is_chat):
        return "chat.completion" if is_chat else "text_completion"


class StreamedAnswerWriter(AnswerWriter):
    """Write server-sent events as tokens come."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._started = False
        self._before_text, self._after_text = self._prepare_event()

    def add_text(self, text):
        """Write one event."""
        self._start()
        self._responder.write(self._before_text + orjson.dumps(text) + self._after_text)

    def finish(self, reason, tokens):
        """Write the last events."""
        self._start()
        self._write_event(self._describe([self._make_choice("", reason)]))
        if self._completion.wants_usage:
            self._write_event(self._describe([], self._describe_usage(tokens)))
        self._responder.write(_END_OF_EVENTS)
        self._responder.end()

    def refuse(self, refusal):
        """Write the refusal, or break off after an event that tells of it."""
        if not self._started:
            write_refusal(self._responder, refusal, self._request_id)
            return
        self._write_event(describe_refusal(refusal, self._request_id))
        self._responder.abort()

    def _start(self):
        if not self._started:
            self._started = True
            headers = (*EVENT_STREAM_HEADERS, ("x-request-id", self._request_id))
            self._responder.start(_OK, headers)

    def _prepare_event(self):
        """Encode all of an event but its text, which alone changes."""
        mark = "\ue000"
        event = self._encode(self._describe([self._make_choice(mark, None)]))
        before, after = event.split(orjson.dumps(mark))
        return before, after

    def _make_choice(self, text, reason):
        choice = {"index": 0, "finish_reason": reason, "logprobs": None}
        if self._completion.is_chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        return choice

    def _write_event(self, described):
        self._responder.write(self._encode(described))

    @staticmethod
    def _encode(described):
        return b"data: " + orjson.dumps(described) + b"\n\n"

    @staticmethod
    def _object_name(is_chat):
        return "chat.completion.chunk" if is_chat else "text_completion"
