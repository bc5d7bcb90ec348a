"""Response of the engine stand-in to one completions request."""

import orjson

from .serving import make_json_response, write_response
from .tokens import get_prompt, get_token_count, make_text, make_token_prefix

_NUMBER_PLACEHOLDER = "@TOKEN@"


class TokenStream:
    """Writer of one response, token by token or at once after the last token.

    Parameters
    ----------
    request : twisted.web.server.Request
        Request to respond to.
    document : dict
        JSON body of the request.
    name : str
        Request id.
    priority : int
        Lower numbers run first.
    offset : int
        Number of tokens that the caller has already received.
    on_end : callable
        Called with the stream after its last token.

    Attributes
    ----------
    model : str
        Base model, or adapter as ``adapter:version``.
    has_ended : bool
        Whether the stream has ended or was cancelled.
    """

    def __init__(self, request, document, name, priority, offset, on_end):
        self.name = name
        self.model = document["model"]
        self.priority = priority
        self.has_ended = False
        self._request = request
        self._document = document
        self._start_offset = offset
        self._offset = offset
        self._end_offset, self._finish_reason = get_token_count(document)
        self._is_streaming = bool(document.get("stream"))
        self._is_chat = "messages" in document
        self._is_paused = False
        self._on_end = on_end
        self._chunk_prefix, self._chunk_suffix = self._make_chunk_parts()

    def start(self):
        """Set up a streamed response and register as its producer."""
        if self._is_streaming:
            self._request.setHeader("Content-Type", "text/event-stream")
            self._request.registerProducer(self, True)

    def produce_token(self):
        """Produce one token, unless the consumer has paused the stream."""
        if self._is_paused:
            return
        if self._offset < self._end_offset:
            if self._is_streaming:
                number = b"%d" % self._offset
                self._request.write(self._chunk_prefix + number + self._chunk_suffix)
            self._offset += 1
        if self._offset >= self._end_offset:
            self._on_end(self)
            self._finish()

    def abort(self):
        """Abort the connection."""
        self.has_ended = True
        if self._request.channel is not None:
            self._request.transport.abortConnection()

    def pauseProducing(self):
        """Stop producing tokens while the caller doesn't read."""
        self._is_paused = True

    def resumeProducing(self):
        """Resume producing tokens."""
        self._is_paused = False

    def stopProducing(self):
        """Do nothing: EngineResource detects a lost connection by ``notifyFinish``."""

    def _finish(self):
        if self._is_streaming:
            self._request.unregisterProducer()
            end = orjson.dumps(self._make_document("", self._finish_reason))
            self._request.write(b"data: %s\n\ndata: [DONE]\n\n" % end)
        else:
            text = make_text(
                self.model, self._document, self._start_offset, self._end_offset
            )
            response = make_json_response(
                self._make_document(text, self._finish_reason)
            )
            self._request.write(write_response(self._request, response))
        self._request.finish()

    def _make_chunk_parts(self):
        prefix = make_token_prefix(self.model, get_prompt(self._document))
        chunk = orjson.dumps(
            self._make_document(f"{prefix}{_NUMBER_PLACEHOLDER} ", None)
        )
        before, after = chunk.split(_NUMBER_PLACEHOLDER.encode())
        return b"data: " + before, after + b"\n\n"

    def _make_document(self, text, reason):
        choice = {"index": 0, "finish_reason": reason}
        if not self._is_chat:
            choice["text"] = text
        elif self._is_streaming:
            choice["delta"] = {"content": text}
        else:
            choice["message"] = {"role": "assistant", "content": text}
        kind = "chat.completion" if self._is_chat else "text_completion"
        document = {
            "id": self.name,
            "object": kind,
            "created": 0,
            "model": self.model,
            "choices": [choice],
        }
        if reason is not None:
            words = len(get_prompt(self._document).split())
            document["usage"] = {
                "prompt_tokens": words,
                "completion_tokens": self._end_offset,
                "total_tokens": words + self._end_offset,
            }
        return document
