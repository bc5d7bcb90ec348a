"""One answer of the engine stand-in."""

import orjson

from .serving import make_json_answer, write_answer
from .tokens import get_length, get_prompt, make_text, make_token_prefix

_MARK = "@TOKEN@"


class TokenStream:
    """Write one token at each step, or the whole answer at the end.

    Parameters
    ----------
    request : twisted.web.server.Request
        Where the answer goes.
    document : dict
        The caller's request.
    name : str
        The engine's name of it.
    priority : int
        Lower runs first.
    offset : int
        Tokens that the caller has already.
    on_end : callable
        Called with the stream once its last token is written.
    """

    def __init__(self, request, document, name, priority, offset, on_end):
        self.name = name
        self.model = document["model"]
        self.priority = priority
        self.has_ended = False
        self._request = request
        self._document = document
        self._first = offset
        self._offset = offset
        self._end, self._reason = get_length(document)
        self._streams = bool(document.get("stream"))
        self._is_chat = "messages" in document
        self._paused = False
        self._on_end = on_end
        self._before, self._after = self._make_chunk_parts()

    def begin(self):
        """Send the headers of a stream, so that the caller knows it was taken."""
        if self._streams:
            self._request.setHeader("Content-Type", "text/event-stream")
            self._request.registerProducer(self, True)

    def step(self):
        """Produce one token."""
        if self._paused:
            return
        if self._offset < self._end:
            if self._streams:
                number = b"%d" % self._offset
                self._request.write(self._before + number + self._after)
            self._offset += 1
        if self._offset >= self._end:
            self._on_end(self)
            self._finish()

    def abort(self):
        """Cut the connection in mid-answer."""
        self.has_ended = True
        if self._request.channel is not None:
            self._request.transport.abortConnection()

    def pauseProducing(self):
        """Produce nothing while the caller doesn't read."""
        self._paused = True

    def resumeProducing(self):
        """Go on."""
        self._paused = False

    def stopProducing(self):
        """Do nothing: the lost connection is noticed otherwise."""

    def _finish(self):
        if self._streams:
            self._request.unregisterProducer()
            end = orjson.dumps(self._make_document("", self._reason))
            self._request.write(b"data: %s\n\ndata: [DONE]\n\n" % end)
        else:
            text = make_text(self.model, self._document, self._first, self._end)
            whole = make_json_answer(self._make_document(text, self._reason))
            self._request.write(write_answer(self._request, whole))
        self._request.finish()

    def _make_chunk_parts(self):
        prefix = make_token_prefix(self.model, get_prompt(self._document))
        chunk = orjson.dumps(self._make_document(f"{prefix}{_MARK} ", None))
        before, after = chunk.split(_MARK.encode())
        return b"data: " + before, after + b"\n\n"

    def _make_document(self, text, reason):
        choice = {"index": 0, "finish_reason": reason}
        if not self._is_chat:
            choice["text"] = text
        elif self._streams:
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
                "completion_tokens": self._end,
                "total_tokens": words + self._end,
            }
        return document
