"""Table of the current process on each VM."""

from dataclasses import dataclass
from datetime import timedelta

# The latest replaced boots and leaving processes are remembered, up to these numbers.
MAX_REPLACED_BOOTS_PER_VM = 16
MAX_LEAVING_PROCESSES = 4096


@dataclass(slots=True)
class KnownProcess:
    """State of another process, from its own messages and from relayed statuses.

    Attributes
    ----------
    process : ProcessId
        Id of the process.
    last_seen_at : timedelta or None
        Monotonic time at which it last sent a message to this process.
    last_relayed_at : timedelta or None
        Lower bound of the monotonic time at which a process that relayed its status
        last received a message from it.
    unanswered_since : timedelta or None
        Monotonic time from which its suspect timeout counts: when the first heartbeat
        since its last message was sent, when its connection was lost, or when this
        process resumed from a pause. None if no timeout is running.
    is_connected : bool
        Whether the transport has a connection to it.
    is_leaving : bool
        Whether it announced that it will stop; never revoked.
    catalogue_revision : int
        Highest revision up to which it reported its catalogue complete.
    """

    process: object
    last_seen_at: timedelta | None = None
    last_relayed_at: timedelta | None = None
    unanswered_since: timedelta | None = None
    is_connected: bool = False
    is_leaving: bool = False
    catalogue_revision: int = 0

    def is_unresponsive(self, now, settings):
        """Return whether the process has been silent for so long that it is suspect.

        The timeout counts from ``unanswered_since``. If that is None, a connected
        process isn't unresponsive; for any other process, the timeout counts from the
        later of ``last_seen_at`` and ``last_relayed_at`` and is longer by
        ``relay_max_age``. A process with neither time is unresponsive.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        settings : MembershipSettings
            Timeouts.
        """
        if self.unanswered_since is not None:
            return now - self.unanswered_since >= settings.suspect_after
        if self.is_connected:
            return False
        times = (self.last_seen_at, self.last_relayed_at)
        last = max((at for at in times if at is not None), default=None)
        timeout = settings.suspect_after + settings.relay_max_age
        return last is None or now - last >= timeout


class ProcessTable:
    """The current process of each VM; a replaced boot never becomes current again."""

    def __init__(self):
        self._current = {}
        self._replaced = {}
        self._leaving = {}

    def __iter__(self):
        return iter(list(self._current.values()))

    def get(self, process):
        """Return the KnownProcess of a process; None if it isn't current on its VM."""
        known = self._current.get(process.vm)
        return known if known is not None and known.process == process else None

    def get_current(self, vm_id):
        """Return the KnownProcess that is current on a VM, or None."""
        return self._current.get(vm_id)

    def register(self, process):
        """Make a process the current one of its VM.

        Returns
        -------
        KnownProcess or None
            None, without effect, if another boot has replaced the process.
        """
        known = self.get(process)
        if known is not None or self.is_replaced(process):
            return known
        previous = self._current.get(process.vm)
        if previous is not None:
            self._replace(previous.process)
        known = self._current[process.vm] = KnownProcess(process)
        known.is_leaving = process in self._leaving
        return known

    def mark_leaving(self, known):
        """Record that a process announced that it will stop."""
        known.is_leaving = True
        self._leaving[known.process] = None
        if len(self._leaving) > MAX_LEAVING_PROCESSES:
            del self._leaving[next(iter(self._leaving))]

    def is_replaced(self, process):
        """Return whether another boot on the VM has replaced a process."""
        return process.boot in self._replaced.get(process.vm, ())

    def remove_vm(self, vm_id):
        """Remove a VM that is gone or was never listed; ids of VMs aren't reused."""
        self._current.pop(vm_id, None)
        self._replaced.pop(vm_id, None)

    def _replace(self, process):
        boots = self._replaced.setdefault(process.vm, [])
        boots.append(process.boot)
        del boots[:-MAX_REPLACED_BOOTS_PER_VM]
