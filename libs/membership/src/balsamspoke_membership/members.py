"""Members of the fleet, as one process sees them."""

import enum
from dataclasses import dataclass

from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.ports import VmRecord


class MemberState(enum.Enum):
    """What is known of a process."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Member:
    """A process of the fleet.

    Attributes
    ----------
    process : ProcessId
        Who.
    vm : VmRecord
        Its VM, as last listed.
    state : MemberState
        What is known of it.
    catalogue_revision : int
        Its catalogue is complete up to here.
    """

    process: ProcessId
    vm: VmRecord
    state: MemberState
    catalogue_revision: int
