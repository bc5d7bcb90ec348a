"""What one process knows of the process on each VM."""

from dataclasses import dataclass
from datetime import timedelta

EARLIER_BOOTS_KEPT = 16
LEFT_PROCESSES_KEPT = 4096


@dataclass(slots=True)
class KnownProcess:
    """What is known of a process.

    Attributes
    ----------
    process : ProcessId
        Who.
    heard_at : timedelta or None
        When it last showed itself to this process.
    passed_on_at : timedelta or None
        When it last showed itself to somebody, at the earliest.
    probed_at : timedelta or None
        When the first probe was sent that nothing was heard after.
    connected : bool
        Whether the transport reaches it.
    leaving : bool
        Whether it announced that it will stop; never taken back.
    catalogue_revision : int
        The highest that it told.
    """

    process: object
    heard_at: timedelta | None = None
    passed_on_at: timedelta | None = None
    probed_at: timedelta | None = None
    connected: bool = False
    leaving: bool = False
    catalogue_revision: int = 0


class KnownProcesses:
    """The present process of each VM; earlier boots stay replaced."""

    def __init__(self):
        self._present = {}
        self._replaced = {}
        self._left = {}

    def __iter__(self):
        return iter(list(self._present.values()))

    def get(self, process):
        """Return the KnownProcess if the process is its VM's present one."""
        known = self._present.get(process.vm)
        return known if known is not None and known.process == process else None

    def get_present(self, vm_id):
        """Return the KnownProcess of a VM, or None."""
        return self._present.get(vm_id)

    def install(self, process):
        """Make a process its VM's present one; None if it was replaced before."""
        known = self.get(process)
        if known is not None or self.is_replaced(process):
            return known
        before = self._present.get(process.vm)
        if before is not None:
            self._replace(before.process)
        known = self._present[process.vm] = KnownProcess(process)
        known.leaving = process in self._left
        return known

    def note_leaving(self, known):
        """Note that a process announced that it will stop."""
        known.leaving = True
        self._left[known.process] = None
        if len(self._left) > LEFT_PROCESSES_KEPT:
            del self._left[next(iter(self._left))]

    def is_replaced(self, process):
        """Whether a later boot of its VM took a process's place."""
        return process.boot in self._replaced.get(process.vm, ())

    def forget_vm(self, vm_id):
        """Drop a VM that is gone; its id is never used again."""
        self._present.pop(vm_id, None)
        self._replaced.pop(vm_id, None)

    def _replace(self, process):
        boots = self._replaced.setdefault(process.vm, [])
        boots.append(process.boot)
        del boots[:-EARLIER_BOOTS_KEPT]
