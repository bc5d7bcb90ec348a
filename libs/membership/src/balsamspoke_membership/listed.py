"""VMs of the VM list, including those that have been missing from it only briefly."""


class ListedVms:
    """Latest record of each VM that was listed, until it is removed.

    Parameters
    ----------
    clock : Clock
        Monotonic time.
    margin : timedelta
        Time for which a VM must be missing from the list to count as gone.
    """

    def __init__(self, clock, margin):
        self._clock = clock
        self._margin = margin
        self._records = {}
        self._missing_since = {}

    def update(self, records):
        """Update the records from a new list.

        Parameters
        ----------
        records : iterable of VmRecord
            All VMs of the list.
        """
        now = self._clock.monotonic()
        listed = {record.vm for record in records}
        self._records.update((record.vm, record) for record in records)
        for vm_id in self._records.keys() - listed:
            self._missing_since.setdefault(vm_id, now)
        for vm_id in listed & self._missing_since.keys():
            del self._missing_since[vm_id]

    def get(self, vm_id):
        """Return the latest VmRecord of a VM, or None if there is none."""
        return self._records.get(vm_id)

    def is_gone(self, vm_id):
        """Return whether a VM was listed once and has been missing for the margin."""
        since = self._missing_since.get(vm_id)
        return since is not None and self._clock.monotonic() - since >= self._margin

    def remove(self, vm_id):
        """Remove the record of a VM."""
        self._records.pop(vm_id, None)
        self._missing_since.pop(vm_id, None)

    def list_records(self):
        """Return all records sorted by VM, including those of missing VMs."""
        return sorted(self._records.values(), key=lambda record: record.vm)
