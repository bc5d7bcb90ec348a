"""Where a process runs, as its settings say."""

from dataclasses import dataclass

# Roles of VMs in the VM list.
ENTRY_ROLE = "entry"
SIDE_ROLE = "side"


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """Where a process runs and what it is for.

    Attributes
    ----------
    vm : str
        Id of its VM in the VM list.
    region, failure_domain : str
        Where the VM is.
    service : str
        Model or plain service of the backend server; empty for an entry process.
    """

    vm: str
    region: str
    failure_domain: str
    service: str = ""
