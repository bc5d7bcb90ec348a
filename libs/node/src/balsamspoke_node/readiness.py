"""Readiness of an entry process after its start."""

from balsamspoke_types.ports import VmState

from .identity import ENTRY_ROLE, SIDE_ROLE


class StartReadiness:
    """Decide when an entry process that has just started can serve requests.

    It needs a usable replica of each service in the VM list, and a connection to each
    entry process in it: the entry processes hold the teams' budgets, and one that
    reaches none of the others would have to refuse requests.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    vm : str
        Id of the VM of this process, which needs no connection.
    directory : ReplicaDirectory
        Source of the usable replicas.
    timeout : timedelta
        Time after ``start`` at which the process serves regardless.
    """

    def __init__(self, clock, vm, directory, timeout):
        self._clock = clock
        self._vm = vm
        self._directory = directory
        self._timeout = timeout
        self._started_at = None
        self._listed_services = None
        self._listed_entries = frozenset()
        self._connected_peers = set()
        self._is_met = False

    def start(self):
        """Start the timeout."""
        self._started_at = self._clock.monotonic()

    def add_peer(self, peer):
        """Add a connected peer, a ProcessId."""
        self._connected_peers.add(peer)

    def remove_peer(self, peer):
        """Remove a peer whose connection was lost."""
        self._connected_peers.discard(peer)

    def handle_vm_list(self, records):
        """Update the services and entry processes from the records of the VM list."""
        live = [record for record in records if record.state is VmState.LIVE]
        self._listed_services = {one.service for one in live if one.role == SIDE_ROLE}
        self._listed_entries = {one.vm for one in live if one.role == ENTRY_ROLE}

    def is_met(self):
        """Return whether the process can serve; once True, it stays True."""
        if not self._is_met and self._started_at is not None:
            waited = self._clock.monotonic() - self._started_at
            self._is_met = waited >= self._timeout or self._is_everything_reachable()
        return self._is_met

    def _is_everything_reachable(self):
        if self._listed_services is None:
            return False
        usable_services = {
            one.service for one in self._directory.describe() if one.usable
        }
        reachable_vms = {peer.vm for peer in self._connected_peers} | {self._vm}
        return (
            self._listed_services <= usable_services
            and self._listed_entries <= reachable_vms
        )
