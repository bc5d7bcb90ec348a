"""A bounded history of ended requests, to explain them to operators."""

from collections import OrderedDict

from balsamspoke_gateway.observing import Observer

from .events import RequestEnded


class Explanations(Observer):
    """The RequestEnded events of the latest requests, by request id.

    Parameters
    ----------
    capacity : int
        Maximum number of requests; the oldest are evicted first.
    """

    def __init__(self, capacity):
        self._capacity = capacity
        self._ended_requests = OrderedDict()

    def observe(self, event):
        """Store a RequestEnded event; ignore others."""
        if not isinstance(event, RequestEnded):
            return
        self._ended_requests[event.request] = event
        while len(self._ended_requests) > self._capacity:
            self._ended_requests.popitem(last=False)

    def find(self, request_id):
        """Return the RequestEnded of a request, or None."""
        return self._ended_requests.get(request_id)
