"""The ports through which a node core does its I/O."""

import random
from dataclasses import dataclass

from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.ports import Clock, ObjectStore, PeerTransport, VmList

from .identity import NodeIdentity


@dataclass(frozen=True, slots=True)
class NodePorts:
    """The ports and the identity of an entry or side process.

    Attributes
    ----------
    process : ProcessId
        Id of this run of the process.
    identity : NodeIdentity
        VM, region, failure domain and service of the process.
    clock : Clock
        Wall time, monotonic time and timers.
    random_source : random.Random
        Source of all random choices.
    store : ObjectStore
        Client of the platform's object API.
    vm_list : VmList
        Client of the platform's VM list.
    transport : PeerTransport
        Connections to other entry and side processes.
    """

    process: ProcessId
    identity: NodeIdentity
    clock: Clock
    random_source: random.Random
    store: ObjectStore
    vm_list: VmList
    transport: PeerTransport
