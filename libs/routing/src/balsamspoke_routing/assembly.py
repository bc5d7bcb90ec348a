"""Reassembly of an answer from the token chunks of several attempts."""


class AnswerAssembly:
    """Deliver the chunks of an answer in order and buffer those that arrive early.

    Parameters
    ----------
    deliver : callable
        Called with the text and the number of tokens, in order, without gaps or
        repeats.
    maximum_buffered_chunks : int
        Most chunks that are buffered while earlier ones are missing.

    Attributes
    ----------
    offset : int
        Number of tokens delivered.
    finish_reason : str or None
        Finish reason of the engine; None until the current attempt reports the end
        of the answer.
    """

    def __init__(self, deliver, maximum_buffered_chunks):
        self._deliver = deliver
        self._maximum_buffered_chunks = maximum_buffered_chunks
        self._buffered = {}
        self._texts = []
        self._text_length = 0
        # Text length at offset 0 and at each offset where a delivered chunk ended.
        self._text_lengths = {0: 0}
        self._end_offset = None
        self.offset = 0
        self.finish_reason = None

    @property
    def text(self):
        """Text delivered so far."""
        return "".join(self._texts)

    @property
    def is_complete(self):
        """Whether the end was reported and every token before it was delivered."""
        return self._end_offset is not None and self._end_offset == self.offset

    @property
    def has_gap(self):
        """Whether tokens before a buffered chunk or before the end are missing."""
        return bool(self._buffered) or (
            self._end_offset is not None and self._end_offset > self.offset
        )

    def begin_attempt(self):
        """Discard the buffered chunks and the end of the previous attempt."""
        self._buffered.clear()
        self._end_offset = None
        self.finish_reason = None

    def add(self, chunk):
        """Deliver or buffer a TokenChunk of the current attempt.

        Returns
        -------
        bool
            Whether the chunk was delivered or buffered; False if it was dropped.
        """
        if chunk.count <= 0:
            return False
        if chunk.offset > self.offset:
            return self._buffer_chunk(chunk)
        if not self._append(chunk):
            return False
        self._deliver_buffered()
        return True

    def end(self, offset, reason):
        """Record the end of the current attempt's answer.

        Parameters
        ----------
        offset : int
            Number of tokens of the complete answer.
        reason : str
            Finish reason of the engine.

        Returns
        -------
        bool
            False if more tokens than ``offset`` were delivered already.
        """
        if offset < self.offset:
            return False
        self._end_offset = offset
        self.finish_reason = reason
        return True

    def _buffer_chunk(self, chunk):
        if (
            chunk.offset in self._buffered
            or len(self._buffered) >= self._maximum_buffered_chunks
        ):
            return False
        self._buffered[chunk.offset] = chunk
        return True

    def _deliver_buffered(self):
        while self._buffered:
            earliest = min(self._buffered)
            if earliest > self.offset:
                return
            self._append(self._buffered.pop(earliest))

    def _append(self, chunk):
        end = chunk.offset + chunk.count
        if end <= self.offset:
            return False
        text = self._trim(chunk)
        if text is None:
            return False
        count = end - self.offset
        self._texts.append(text)
        self._text_length += len(text)
        self.offset = end
        self._text_lengths[end] = self._text_length
        self._deliver(text, count)
        return True

    def _trim(self, chunk):
        """Return the part of a chunk's text that wasn't delivered yet.

        Returns
        -------
        str or None
            None if the chunk's offset is at no known chunk boundary, or if its text
            differs from what was delivered.
        """
        start = self._text_lengths.get(chunk.offset)
        if start is None:
            return None
        repeated = self._text_length - start
        if repeated and not chunk.text.startswith(self.text[start:]):
            return None
        return chunk.text[repeated:]
