"""Identity of a process in the deployment, taken from its settings."""

from dataclasses import dataclass

# Roles of VMs in the VM list.
ENTRY_ROLE = "entry"
SIDE_ROLE = "side"


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """The VM of a process and the model or plain service of its backend server.

    Attributes
    ----------
    vm : str
        Id of its VM in the VM list.
    region : str
        Region that the VM runs in.
    failure_domain : str
        Failure domain that the VM belongs to.
    service : str
        Model or plain service of the backend server; empty for an entry process.
    """

    vm: str
    region: str
    failure_domain: str
    service: str = ""
