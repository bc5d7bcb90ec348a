"""History of the VM list: which VMs it shows, and since when others are missing."""

from balsamspoke_types.ports import VmState


class VmObservation:
    """The VM list as one process has observed it.

    Parameters
    ----------
    longest_gap : timedelta
        Longest time between two requests of the list for the observation to count as
        uninterrupted. After a longer one, it restarts.

    Attributes
    ----------
    requested_at : timedelta or None
        Monotonic time at which the latest list was requested; None before the first.
    entry_vms : frozenset of str
        Entry VMs whose state is live in the latest list.
    """

    def __init__(self, longest_gap):
        self._longest_gap = longest_gap
        self._listed = frozenset()
        self._missing_since = {}
        self._observed_since = None
        self.requested_at = None
        self.entry_vms = frozenset()

    def update(self, records, requested_at):
        """Process a VM list if it was requested after the latest processed one.

        Parameters
        ----------
        records : tuple of VmRecord
            All VMs of the list.
        requested_at : timedelta
            Monotonic time at which the list was requested.

        Returns
        -------
        bool
            Whether the list was processed.
        """
        if self.requested_at is not None and requested_at <= self.requested_at:
            return False
        listed = frozenset(record.vm for record in records)
        if (
            self.requested_at is None
            or requested_at - self.requested_at > self._longest_gap
        ):
            self._observed_since = requested_at
            self._missing_since = {}
        else:
            self._update_missing(listed, requested_at)
        self._listed = listed
        self.requested_at = requested_at
        self.entry_vms = frozenset(
            record.vm
            for record in records
            if record.role == "entry" and record.state is VmState.LIVE
        )
        return True

    def _update_missing(self, listed, requested_at):
        for vm in self._listed - listed:
            self._missing_since[vm] = requested_at
        for vm in listed:
            self._missing_since.pop(vm, None)

    def is_listed(self, vm):
        """Return whether the latest list contains a VM."""
        return vm in self._listed

    def find_missing_since(self, vm):
        """Return the time since which every list has lacked a VM.

        A VM that hasn't been listed since the observation last started counts as
        missing from that time on.

        Returns
        -------
        timedelta or None
            Monotonic time at which the first of these lists was requested; None if the
            VM is listed or no list was received.
        """
        if self.requested_at is None or vm in self._listed:
            return None
        return self._missing_since.get(vm, self._observed_since)
