"""The other entry processes, as listed in the platform's store."""

from datetime import timedelta

# Time for which an unlisted process is heard before the list is read again. A watch
# that works shows a new process within this time, unless many start at once.
RELIST_DELAY = timedelta(seconds=1)
# Shortest time between two such reads: a process that stays unlisted, such as one whose
# entry was removed, must not cost a call for each of its messages.
MIN_RELIST_INTERVAL = timedelta(seconds=2)


class PeerDirectory:
    """Directory of the entry processes that share the teams' limits with this one.

    It handles a watch that becomes unresponsive: a process that misses its peers would
    admit a whole limit by itself. Messages of an unlisted process show that the
    directory is incomplete, so the list is read again.

    Parameters
    ----------
    own_ip : str
        IP address of this process, which is not a peer.
    """

    def __init__(self, own_ip):
        self._own_ip = own_ip
        self._is_registered = False
        self._was_listed_before = None
        self._names = {}
        self._position = None
        self._unlisted_since = {}
        self._relisted_at = None

    @property
    def is_known(self):
        """Whether the list was read since the start."""
        return self._position is not None

    @property
    def is_registered(self):
        """Whether this process is listed, or will be once its write is read back."""
        return self._is_registered

    @property
    def was_listed_before(self):
        """Whether the first list had this process's address; None until it was read."""
        return self._was_listed_before

    @property
    def ips(self):
        """IP addresses of the peers."""
        return [ip for ip in self._names if ip != self._own_ip]

    def __contains__(self, ip):
        return ip in self._names and ip != self._own_ip

    def find_name(self, ip):
        """Return the name by which the process at an IP address is listed."""
        return self._names[ip]

    def apply(self, page, is_full_list):
        """Apply a RecordPage of IP addresses.

        A page that is older than the last full list is ignored: a late answer to a
        watch would undo what the list shows. The first list of a restored store lacks
        processes that started since its copy, so it adds to those known before.

        Parameters
        ----------
        page : RecordPage
            Processes by name, or changes of them.
        is_full_list : bool
            Whether the page holds all processes.

        Returns
        -------
        bool
            Whether the page was applied.
        """
        if self._position is not None and page.position < self._position:
            return False
        was_listed = self._own_ip in self._names
        if is_full_list:
            if not self._is_restored(page):
                self._names = {}
            self._names.pop(self._own_ip, None)
            self._position = page.position
        for change in page.changes:
            self._apply_change(change)
        is_listed = self._own_ip in self._names
        if self._was_listed_before is None:
            self._was_listed_before = is_listed
        if is_listed or was_listed or is_full_list:
            self._is_registered = is_listed
        for ip in self._names:
            self._unlisted_since.pop(ip, None)
        return True

    def record_registration(self):
        """Record that this process has added itself to the list."""
        self._is_registered = True

    def _is_restored(self, page):
        """Return whether a page is the first one of a store that was restored."""
        return self._position is not None and page.position.era > self._position.era

    def _apply_change(self, change):
        for ip, name in list(self._names.items()):
            if name == change.name:
                del self._names[ip]
        if change.record is not None:
            self._names[change.record] = change.name

    def record_unlisted(self, ip, now):
        """Record a message of an unlisted process at a monotonic time.

        Returns
        -------
        bool
            Whether the list of processes is to be read again now.
        """
        since = self._unlisted_since.setdefault(ip, now)
        if now - since < RELIST_DELAY:
            return False
        is_recent = self._relisted_at is not None and (
            now - self._relisted_at < MIN_RELIST_INTERVAL
        )
        if is_recent:
            return False
        self._relisted_at = now
        self._unlisted_since.clear()
        return True
