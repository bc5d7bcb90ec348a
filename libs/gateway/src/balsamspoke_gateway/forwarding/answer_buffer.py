"""What an attempt holds of an answer that is not finished."""

from ..exceptions import AnswerLost
from .streams import EventSplitter

# Longest answer that is read whole before it is forwarded. One that doesn't end must
# not fill the memory.
MAX_WHOLE_ANSWER_BYTES = 4_194_304


class AnswerBuffer:
    """Pieces of a whole answer, or the partial event at the end of a stream.

    Parameters
    ----------
    budget : ReceiveBudget
        Bounds what is held of all answers.
    source : str
        Id of the replica.
    on_dropped : callable
        Called without arguments when the answer is dropped for lack of memory.
    """

    def __init__(self, budget, source, on_dropped):
        self._held = budget.open(source, on_dropped)
        self._pieces = []
        self._splitter = EventSplitter()

    @property
    def has_partial_event(self):
        """Whether the stream so far ends in the middle of an event."""
        return self._splitter.has_partial_event

    def add(self, piece):
        """Add bytes of an answer that is read whole.

        Raises
        ------
        AnswerLost
            If the answer is too long, or is dropped for lack of memory.
        """
        self._pieces.append(piece)
        size = self._held.size + len(piece)
        self._count(size)
        if size > MAX_WHOLE_ANSWER_BYTES:
            raise AnswerLost(f"the answer exceeds {MAX_WHOLE_ANSWER_BYTES} bytes")

    def join(self):
        """Return the bytes of the whole answer."""
        return b"".join(self._pieces)

    def add_to_stream(self, piece):
        """Add bytes of a stream.

        Raises
        ------
        AnswerLost
            If the answer is dropped for lack of memory.
        """
        self._splitter.add(piece)
        self._count(self._splitter.held_bytes)

    def take_events(self, max_count):
        """Return a list of the next StreamEvents that are whole, up to a number."""
        events = self._splitter.take(max_count)
        self._held.resize(self._splitter.held_bytes)
        return events

    def check_event(self):
        """Raise AnswerLost if the partial event is too long."""
        if self._splitter.is_too_long:
            raise AnswerLost("the stream has an event without an end")

    def close(self):
        """Hold nothing any more; an error may keep the attempt for longer."""
        self._pieces.clear()
        self._splitter.clear()
        self._held.close()

    def _count(self, size):
        self._held.resize(size)
        if self._held.is_dropped:
            raise make_room_error()


def make_room_error():
    """Return the error of an answer that is dropped for lack of memory."""
    return AnswerLost("no memory is left for more of the answer")
