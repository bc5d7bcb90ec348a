"""Events of scheduling."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TeamsLimited:
    """The teams that are held to their shares, as a service is full, have changed.

    Attributes
    ----------
    teams : tuple of str
        All of them, as ``service/team``; empty if there is none any more.
    """

    teams: tuple[str, ...]
