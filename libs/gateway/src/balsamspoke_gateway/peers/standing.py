"""What a process knows of its place among the entry processes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Standing:
    """Place of a process among the entry processes that share the fleet's budgets.

    Attributes
    ----------
    processes : int or None
        Entry processes with this one, as the list in the store says; None as long as
        it has not been read.
    is_settled : bool
        Whether the list has all processes that started together with this one.
    may_follow_another : bool
        Whether an earlier process may have served requests at the same address.
    """

    processes: int | None = None
    is_settled: bool = False
    may_follow_another: bool = True
