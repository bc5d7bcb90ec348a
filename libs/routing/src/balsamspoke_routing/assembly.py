"""Put the chunks of an answer in order, over several attempts."""


class AnswerAssembly:
    """The part of an answer that was delivered, and chunks that came too early.

    Parameters
    ----------
    deliver : callable
        Called with the text and count of tokens, in order, without gap or repeat.
    held_chunks : int
        Chunks that are kept while earlier ones are missing.

    Attributes
    ----------
    offset : int
        Tokens delivered.
    finish_reason : str or None
        The engine's reason, once the current attempt said that the answer ended.
    """

    def __init__(self, deliver, held_chunks):
        self._deliver = deliver
        self._held_chunks = held_chunks
        self._held = {}
        self._texts = []
        self._length = 0
        # Length of the text at each offset where a chunk began or ended.
        self._lengths = {0: 0}
        self._end = None
        self.offset = 0
        self.finish_reason = None

    @property
    def text(self):
        """The text delivered."""
        return "".join(self._texts)

    @property
    def is_whole(self):
        """Whether the end is known and everything before it was delivered."""
        return self._end is not None and self._end == self.offset

    @property
    def has_gap(self):
        """Whether something is known to be missing."""
        return bool(self._held) or (self._end is not None and self._end > self.offset)

    def begin_attempt(self):
        """Forget what an earlier attempt sent too early."""
        self._held.clear()
        self._end = None
        self.finish_reason = None

    def add(self, chunk):
        """Take a TokenChunk of the current attempt.

        Returns
        -------
        bool
            Whether it was new.
        """
        if chunk.count <= 0:
            return False
        if chunk.offset > self.offset:
            return self._hold(chunk)
        if not self._append(chunk):
            return False
        self._drain()
        return True

    def end(self, offset, reason):
        """Take the end of the current attempt's answer.

        Returns
        -------
        bool
            False if more was delivered already than the answer has.
        """
        if offset < self.offset:
            return False
        self._end = offset
        self.finish_reason = reason
        return True

    def _hold(self, chunk):
        if chunk.offset in self._held or len(self._held) >= self._held_chunks:
            return False
        self._held[chunk.offset] = chunk
        return True

    def _drain(self):
        while self._held:
            earliest = min(self._held)
            if earliest > self.offset:
                return
            self._append(self._held.pop(earliest))

    def _append(self, chunk):
        end = chunk.offset + chunk.count
        if end <= self.offset:
            return False
        text = self._trim(chunk)
        if text is None:
            return False
        count = end - self.offset
        self._texts.append(text)
        self._length += len(text)
        self.offset = end
        self._lengths[end] = self._length
        self._deliver(text, count)
        return True

    def _trim(self, chunk):
        """Return the part of a chunk's text that wasn't delivered, if that is known."""
        begin = self._lengths.get(chunk.offset)
        if begin is None:
            return None
        repeated = self._length - begin
        if repeated and not chunk.text.startswith(self.text[begin:]):
            return None
        return chunk.text[repeated:]
