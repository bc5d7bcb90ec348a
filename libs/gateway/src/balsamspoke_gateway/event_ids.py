"""Ids of stream events."""

from dataclasses import dataclass

# Digits of an id that is compared by its number. It bounds the time to read one.
MAX_NUMBER_DIGITS = 1_000


@dataclass(frozen=True, slots=True)
class EventId:
    """Id of a stream event.

    Replicas and callers get the text as it was written, so that an id means the same
    on its way out and on its way back, whatever it looks like.

    Attributes
    ----------
    text : str
        The id.
    number : int or None
        Its value; None if it isn't a whole number, by which ids are put in order.
    """

    text: str
    number: int | None

    def is_after(self, other):
        """Return whether it is a later one than another EventId.

        It counts as one if they are not both numbers.
        """
        if self.number is None or other.number is None:
            return True
        return self.number > other.number


def parse_event_id(value):
    """Parse the value (bytes) of an id field or header; return None if it is empty."""
    text = value.strip().decode("latin-1")
    if not text:
        return None
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
    return EventId(text, int(text) if is_number else None)
