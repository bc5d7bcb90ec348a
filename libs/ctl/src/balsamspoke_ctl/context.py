"""Dependencies of the commands."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Context:
    """Clients and settings of one run of the tool.

    Attributes
    ----------
    store : ObjectStore
        Client of the object API.
    fleet : Fleet
        Queries the status of all entry and side processes.
    writer : ChangeWriter
        Writes catalogue changes to the object API.
    metrics : MetricsClient
        Reads the metrics pages of processes.
    output : Output
        Prints results and problems.
    timeout : timedelta
        How long to wait until a revision is in force.
    """

    store: object
    fleet: object
    writer: object
    metrics: object
    output: object
    timeout: timedelta
