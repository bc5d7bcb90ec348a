"""Messages that tell who is live."""

from dataclasses import dataclass

from ..identifiers import ProcessId


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """What is known of a process.

    Attributes
    ----------
    process : ProcessId
        Who.
    leaving : bool
        Whether it has announced that it will stop.
    catalogue_revision : int
        Its catalogue is complete up to here.
    """

    process: ProcessId
    leaving: bool
    catalogue_revision: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Show that the sender is live, and pass on what it knows of others."""

    sequence: int
    status: ProcessStatus
    others: tuple[ProcessStatus, ...] = ()


@dataclass(frozen=True, slots=True)
class HeartbeatAnswer:
    """Answer to Heartbeat with the same sequence number."""

    sequence: int
    status: ProcessStatus
    others: tuple[ProcessStatus, ...] = ()
