"""Messages that detect which processes are live."""

from dataclasses import dataclass

from ..identifiers import ProcessId


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """Status of a process.

    Attributes
    ----------
    process : ProcessId
        Id of the process.
    leaving : bool
        Whether the process has announced that it will stop.
    catalogue_revision : int
        Revision up to which the catalogue of the process is complete.
    """

    process: ProcessId
    leaving: bool
    catalogue_revision: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Heartbeat that also passes on the status of other processes (gossip).

    Attributes
    ----------
    sequence : int
        Number that the answer repeats.
    status : ProcessStatus
        Status of the sender.
    others : tuple of ProcessStatus
        Statuses of some other processes, as last received by the sender.
    """

    sequence: int
    status: ProcessStatus
    others: tuple[ProcessStatus, ...] = ()


@dataclass(frozen=True, slots=True)
class HeartbeatAnswer:
    """Answer to Heartbeat.

    Attributes
    ----------
    sequence : int
        Sequence number of the heartbeat.
    status : ProcessStatus
        Status of the answering process.
    others : tuple of ProcessStatus
        Statuses of some other processes, as last received by the answering process.
    """

    sequence: int
    status: ProcessStatus
    others: tuple[ProcessStatus, ...] = ()
