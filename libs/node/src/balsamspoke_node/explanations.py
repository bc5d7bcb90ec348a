"""What is kept of ended requests, to explain them to operators."""

from collections import OrderedDict

from .events import Observer, RequestEnded


class Explanations(Observer):
    """Keep the last ended requests.

    Parameters
    ----------
    capacity : int
        Requests kept; the oldest go first.
    """

    def __init__(self, capacity):
        self._capacity = capacity
        self._ended = OrderedDict()

    def observe(self, event):
        """Keep the end of a request."""
        if not isinstance(event, RequestEnded):
            return
        self._ended[event.request] = event
        while len(self._ended) > self._capacity:
            self._ended.popitem(last=False)

    def find(self, request_id):
        """Return the RequestEnded of a request, or None."""
        return self._ended.get(request_id)
