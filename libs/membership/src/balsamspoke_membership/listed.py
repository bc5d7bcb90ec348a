"""The VMs that the VM list shows, with a margin for those missing from it."""


class ListedVms:
    """What the VM list said last.

    Parameters
    ----------
    clock : Clock
        Time.
    margin : timedelta
        How long a VM may be missing before it counts as gone.
    """

    def __init__(self, clock, margin):
        self._clock = clock
        self._margin = margin
        self._records = {}
        self._missing_since = {}

    def take(self, records):
        """Take a new list."""
        now = self._clock.monotonic()
        listed = {record.vm for record in records}
        self._records.update((record.vm, record) for record in records)
        for vm_id in self._records.keys() - listed:
            self._missing_since.setdefault(vm_id, now)
        for vm_id in listed & self._missing_since.keys():
            del self._missing_since[vm_id]

    def get(self, vm_id):
        """Return the VmRecord last listed, or None."""
        return self._records.get(vm_id)

    def is_gone(self, vm_id):
        """Whether a VM was listed once and is missing for the margin."""
        since = self._missing_since.get(vm_id)
        return since is not None and self._clock.monotonic() - since >= self._margin

    def forget(self, vm_id):
        """Drop a VM."""
        self._records.pop(vm_id, None)
        self._missing_since.pop(vm_id, None)

    def list_records(self):
        """Return all records by VM, also of those missing."""
        return sorted(self._records.values(), key=lambda record: record.vm)
