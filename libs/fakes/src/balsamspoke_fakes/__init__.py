"""In-memory fakes of the ports, for tests and simulations."""

from .backend import FakeEngine, FakePlainService
from .clock import VirtualClock, VirtualTime
from .network import FakeNetwork, FakeTransport
from .store import FakeStore, StoreState
from .vms import FakeVmList, VmListState

__all__ = [
    "FakeEngine",
    "FakeNetwork",
    "FakePlainService",
    "FakeStore",
    "FakeTransport",
    "FakeVmList",
    "StoreState",
    "VirtualClock",
    "VirtualTime",
    "VmListState",
]
