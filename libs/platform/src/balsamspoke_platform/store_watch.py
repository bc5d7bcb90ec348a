"""Watch of the object API by long polling."""

from datetime import timedelta
from urllib.parse import urlencode

from balsamspoke_types.exceptions import StoreError, StoreUnavailable, WatchExpired
from balsamspoke_types.ports import Watch

from .exceptions import HttpFailure
from .store_format import read_page

# Above the 30 s after which the object API answers a poll without events.
POLL_TIMEOUT = timedelta(seconds=40)
_OK = 200
_GONE = 410


class HttpWatch(Watch):
    """A running watch.

    Parameters
    ----------
    client : HttpClient
        Sends requests to the object API.
    kinds : iterable of Kind
        Kinds of the objects.
    revision : int
        Only events after this revision are reported.
    on_events : callable
        Called with an ObjectPage of events.
    on_end : callable
        Called once with a StoreError when the watch ends by itself.
    """

    def __init__(self, client, kinds, revision, on_events, on_end):
        self._client = client
        self._kinds = ",".join(kind.value for kind in kinds)
        self._revision = revision
        self._on_events = on_events
        self._on_end = on_end
        self._is_running = True
        self._pending_poll = None

    def start(self):
        """Send the first poll; called once."""
        self._poll()

    def stop(self):
        """End the watch; neither callback is called afterwards."""
        self._is_running = False
        if self._pending_poll is not None:
            self._pending_poll.cancel()

    def _poll(self):
        query = urlencode({"kinds": self._kinds, "since": self._revision})
        poll = self._client.call("GET", f"/watch?{query}", POLL_TIMEOUT)
        self._pending_poll = poll
        poll.addCallback(self._handle_reply)
        poll.addErrback(self._handle_failure)

    def _handle_reply(self, reply):
        if not self._is_running:
            return
        if reply.status == _GONE:
            raise WatchExpired(
                f"events after revision {self._revision} are no longer available"
            )
        if reply.status != _OK:
            raise StoreUnavailable(f"the object API answered {reply.status}")
        page = read_page(reply.body)
        self._revision = max(self._revision, page.revision)
        self._on_events(page)
        if self._is_running:
            self._poll()

    def _handle_failure(self, failure):
        if not self._is_running:
            return
        self._is_running = False
        if failure.check(StoreError):
            self._on_end(failure.value)
        elif failure.check(HttpFailure):
            self._on_end(StoreUnavailable(failure.getErrorMessage()))
        else:
            self._on_end(StoreUnavailable("handling the events of the watch failed"))
            failure.raiseException()
