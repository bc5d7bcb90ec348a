"""When a fresh entry process can serve."""

from balsamspoke_types.ports import VmState

from .identity import ENTRY_ROLE, SIDE_ROLE


class StartReadiness:
    """Wait until a fresh process can route to all services and ask all entries.

    Entry processes hold the teams' budgets, so that one that reaches none of them
    would have to refuse.

    Parameters
    ----------
    clock : Clock
        Time.
    vm : str
        The own VM.
    directory : ReplicaDirectory
        Knows which replicas are usable.
    longest_wait : timedelta
        After which the process serves with what it knows.
    """

    def __init__(self, clock, vm, directory, longest_wait):
        self._clock = clock
        self._vm = vm
        self._directory = directory
        self._longest_wait = longest_wait
        self._started_at = None
        self._services = None
        self._entries = frozenset()
        self._connected = set()
        self._is_met = False

    def start(self):
        """Begin to wait."""
        self._started_at = self._clock.monotonic()

    def note_connected(self, peer):
        """Note a connection to a ProcessId."""
        self._connected.add(peer)

    def note_disconnected(self, peer):
        """Note the loss of a connection."""
        self._connected.discard(peer)

    def handle_vm_list(self, records):
        """Take what the VM list shows."""
        live = [record for record in records if record.state is VmState.LIVE]
        self._services = {one.service for one in live if one.role == SIDE_ROLE}
        self._entries = {one.vm for one in live if one.role == ENTRY_ROLE}

    def is_met(self):
        """Tell whether the wait is over; once it is, it stays so."""
        if not self._is_met and self._started_at is not None:
            waited = self._clock.monotonic() - self._started_at
            self._is_met = waited >= self._longest_wait or self._knows_all()
        return self._is_met

    def _knows_all(self):
        if self._services is None:
            return False
        usable = {one.service for one in self._directory.describe() if one.usable}
        reached = {peer.vm for peer in self._connected} | {self._vm}
        return self._services <= usable and self._entries <= reached
