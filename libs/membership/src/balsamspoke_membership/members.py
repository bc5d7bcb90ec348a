"""Processes of the fleet, as one process sees them."""

import enum
from dataclasses import dataclass

from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.ports import VmRecord


class MemberState(enum.Enum):
    """Liveness of a process, as one process sees it.

    Attributes
    ----------
    LIVE
        Answers heartbeats or was seen recently, and its VM is in the VM list or has
        been missing from it for less than the setting ``missing_margin``.
    SUSPECT
        Left heartbeats unanswered, wasn't seen recently, or its VM has been missing
        from the VM list for ``missing_margin``; it may still run.
    LEAVING
        Announced that it will stop, or its VM is listed as leaving; takes precedence
        over SUSPECT.
    """

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Member:
    """A process of the fleet with its VM.

    Attributes
    ----------
    process : ProcessId
        Id of the process.
    vm : VmRecord
        Its VM, as last listed.
    state : MemberState
        Its liveness.
    catalogue_revision : int
        Highest revision up to which the process reported its catalogue complete.
    """

    process: ProcessId
    vm: VmRecord
    state: MemberState
    catalogue_revision: int
