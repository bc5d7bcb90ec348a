"""Messages about the work of teams; each message may be lost in transit.

Field names are part of the wire format.
"""

from dataclasses import dataclass

from .work_rates import TeamWork


@dataclass(frozen=True, slots=True)
class WorkReport:
    """Work of the teams at an entry process, sent to its peers while one refuses work.

    Attributes
    ----------
    works : tuple of TeamWork
        Work at the services that refuse some.
    """

    works: tuple[TeamWork, ...] = ()
