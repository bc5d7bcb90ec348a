"""A watch of the object API by long polls."""

from datetime import timedelta
from urllib.parse import urlencode

from balsamspoke_types.exceptions import StoreError, StoreUnavailable, WatchExpired
from balsamspoke_types.ports import Watch

from .exceptions import HttpFailure
from .store_format import read_page

# The object API answers a waiting poll within 30 s, also when nothing happened.
POLL_TIMEOUT = timedelta(seconds=40)
_OK = 200
_GONE = 410


class HttpWatch(Watch):
    """A running watch; parameters as in ``HttpObjectStore.watch``."""

    def __init__(self, caller, kinds, revision, on_events, on_end):
        self._caller = caller
        self._kinds = ",".join(kind.value for kind in kinds)
        self._revision = revision
        self._on_events = on_events
        self._on_end = on_end
        self._running = True
        self._polling = None

    def start(self):
        """Send the first poll; called once."""
        self._poll()

    def stop(self):
        """End the watch; no callback is made after this."""
        self._running = False
        if self._polling is not None:
            self._polling.cancel()

    def _poll(self):
        query = urlencode({"kinds": self._kinds, "since": self._revision})
        polling = self._caller.call("GET", f"/watch?{query}", POLL_TIMEOUT)
        self._polling = polling
        polling.addCallback(self._take)
        polling.addErrback(self._end)

    def _take(self, reply):
        if not self._running:
            return
        if reply.status == _GONE:
            raise WatchExpired(f"no events since {self._revision}")
        if reply.status != _OK:
            raise StoreUnavailable(f"the object API answered {reply.status}")
        page = read_page(reply.body)
        self._revision = max(self._revision, page.revision)
        self._on_events(page)
        if self._running:
            self._poll()

    def _end(self, failure):
        if not self._running:
            return
        self._running = False
        if failure.check(StoreError):
            self._on_end(failure.value)
        elif failure.check(HttpFailure):
            self._on_end(StoreUnavailable(failure.getErrorMessage()))
        else:
            self._on_end(StoreUnavailable("the watch's reader failed"))
            failure.raiseException()
