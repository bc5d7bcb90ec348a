"""What the VM list has shown, and for how long VMs have been missing."""

from balsamspoke_types.ports import VmState


class VmObservation:
    """Entry VMs in the VM list, observed by one process.

    Parameters
    ----------
    longest_gap : timedelta
        Longest time between fetches that still count as one observation.

    Attributes
    ----------
    asked_at : timedelta or None
        Monotonic time at which the latest list was asked for.
    entries : frozenset of str
        Live entry VMs of the latest list.
    """

    def __init__(self, longest_gap):
        self._longest_gap = longest_gap
        self._shown = frozenset()
        self._missing_since = {}
        self._observed_since = None
        self.asked_at = None
        self.entries = frozenset()

    def note(self, records, asked_at):
        """Take a list; return whether it is newer than the latest."""
        if self.asked_at is not None and asked_at <= self.asked_at:
            return False
        shown = frozenset(record.vm for record in records)
        if self.asked_at is None or asked_at - self.asked_at > self._longest_gap:
            self._observed_since = asked_at
            self._missing_since = {}
        else:
            self._note_missing(shown, asked_at)
        self._shown = shown
        self.asked_at = asked_at
        self.entries = frozenset(
            record.vm
            for record in records
            if record.role == "entry" and record.state is VmState.LIVE
        )
        return True

    def _note_missing(self, shown, asked_at):
        for vm in self._shown - shown:
            self._missing_since[vm] = asked_at
        for vm in shown:
            self._missing_since.pop(vm, None)

    def shows(self, vm):
        """Return whether the latest list has a VM."""
        return vm in self._shown

    def find_missing_since(self, vm):
        """Return since when every list was without a VM; None if it's there."""
        if self.asked_at is None or vm in self._shown:
            return None
        return self._missing_since.get(vm, self._observed_since)
