"""In-memory network that loses, delays, duplicates and reorders messages."""

import random
from datetime import timedelta

from balsamspoke_types.ports import PeerTransport

CONNECT_INTERVAL = timedelta(milliseconds=200)


class FakeNetwork:
    """Deliver messages between the FakeTransports of one test.

    Parameters
    ----------
    time : VirtualTime
        Time of the test.
    random_source : random.Random, optional
        Source of losses, duplicates and jitter.

    Attributes
    ----------
    delay : timedelta
        Minimum delay of a message.
    jitter : timedelta
        Upper bound of a random delay that is added to each message, so that messages
        can be reordered.
    loss_rate : float
        Share of the messages that are lost.
    duplicate_rate : float
        Share of the messages that are sent twice.
    cut : set of tuple of str
        Pairs (from VM, to VM) of which the first can't send to the second.
    log : list
        Every message sent, as (sender, receiver, message).
    processes : dict
        The latest FakeTransport of each VM, by VM id.
    """

    def __init__(self, time, random_source=None):
        self.time = time
        self.random = random_source or random.Random(0)
        self.delay = timedelta(microseconds=500)
        self.jitter = timedelta(0)
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.cut = set()
        self.log = []
        self.processes = {}

    def cut_between(self, left, right):
        """Partition the VMs in ``left`` from those in ``right``, in both directions."""
        for one in left:
            for other in right:
                self.cut |= {(one, other), (other, one)}

    def heal(self):
        """End all partitions."""
        self.cut.clear()

    def can_deliver(self, sender, receiver):
        """Return whether messages from one VM to another are delivered now."""
        return (sender, receiver) not in self.cut

    def draw_delay(self):
        """Return a random delay for one message."""
        return self.delay + self.jitter * self.random.random()


class FakeTransport(PeerTransport):
    """One process's end of a FakeNetwork.

    Parameters
    ----------
    network : FakeNetwork
        Delivers the messages.
    process : ProcessId
        Identity of the process; replaces an earlier process on the same VM.
    clock : VirtualClock
        Clock of the process; messages that arrive while it is paused are handled on
        resume.
    """

    def __init__(self, network, process, clock):
        self.network = network
        self.process = process
        self.clock = clock
        self.handler = None
        self._target_vms = set()
        self._connected_peers = set()
        network.processes[process.vm] = self
        clock.call_later(CONNECT_INTERVAL, self._maintain_connections)

    def bind(self, handler):
        """Set the PeerHandler that receives connection events and messages."""
        self.handler = handler

    def connect(self, vm):
        """Maintain a connection to the process on the VM of a VmRecord."""
        self._target_vms.add(vm.vm)
        self._try_connect(vm.vm)

    def disconnect(self, vm_id):
        """Stop maintaining the connection to the process on a VM."""
        self._target_vms.discard(vm_id)

    def send(self, peer, message):
        """Send a message, subject to the losses and duplicates of the network."""
        network = self.network
        if self.clock.is_killed:
            return
        network.log.append((self.process, peer, message))
        copies = 2 if network.random.random() < network.duplicate_rate else 1
        for _ in range(copies):
            if network.random.random() >= network.loss_rate:
                when = network.time.elapsed + network.draw_delay()
                network.time.schedule(when, self._arrive, peer, message)

    def _arrive(self, peer, message):
        receiver = self.network.processes.get(peer.vm)
        if receiver is None or receiver.process != peer:
            return
        if self.network.can_deliver(self.process.vm, peer.vm) and receiver.handler:
            receiver.clock.run_or_defer(
                receiver.handler.peer_message, self.process, message
            )

    def _maintain_connections(self):
        for vm_id in sorted(self._target_vms):
            self._try_connect(vm_id)
        for peer in sorted(self._connected_peers):
            if not self._is_connected(peer):
                self._remove_connection(peer)
        self.clock.call_later(CONNECT_INTERVAL, self._maintain_connections)

    def _is_connected(self, peer):
        receiver = self.network.processes.get(peer.vm)
        is_current = receiver is not None and receiver.process == peer
        return (
            is_current
            and not receiver.clock.is_killed
            and self.network.can_deliver(self.process.vm, peer.vm)
            and self.network.can_deliver(peer.vm, self.process.vm)
        )

    def _try_connect(self, vm_id):
        receiver = self.network.processes.get(vm_id)
        if receiver is None or receiver.process in self._connected_peers:
            return
        if self._is_connected(receiver.process) and not receiver.clock.is_paused:
            self._add_connection(receiver.process)
            receiver._add_connection(self.process)

    def _add_connection(self, peer):
        if peer in self._connected_peers:
            return
        for older in [other for other in self._connected_peers if other.vm == peer.vm]:
            self._remove_connection(older)
        self._connected_peers.add(peer)
        self._notify("peer_connected", peer)

    def _remove_connection(self, peer):
        self._connected_peers.discard(peer)
        self._notify("peer_disconnected", peer)

    def _notify(self, event, peer):
        if self.handler is not None:
            self.clock.run_or_defer(getattr(self.handler, event), peer)
