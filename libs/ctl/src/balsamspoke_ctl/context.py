"""What every command works with."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Context:
    """The ports of one run of the tool.

    Attributes
    ----------
    store : ObjectStore
        The object API.
    fleet : Fleet
        The processes.
    writer : ChangeWriter
        Writes changes.
    metrics : MetricsClient
        The processes' metrics.
    output : Output
        Prints.
    timeout : timedelta
        How long ``wait`` waits.
    """

    store: object
    fleet: object
    writer: object
    metrics: object
    output: object
    timeout: timedelta
