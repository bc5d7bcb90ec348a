"""Messages between the processes of the system; any of them may be lost."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class WantedAdapter:
    """An adapter that waiting requests need.

    Attributes
    ----------
    model, adapter : str
        Its name.
    version : int
        The oldest version that will do; 0 for any.
    """

    model: str
    adapter: str
    version: int


@dataclass(frozen=True, slots=True)
class EntryDemand:
    """What an entry process tells the side process beside a replica.

    Attributes
    ----------
    wanted : tuple of WantedAdapter
        To load, the most urgent first.
    in_use : tuple of str
        Adapters that its requests use now or used since its last message.
    in_flight, unread_tokens : int
        Its requests at the replica, and the prompt tokens not read yet.
    interval : float
        Seconds until the next message.
    """

    wanted: tuple[WantedAdapter, ...] = ()
    in_use: tuple[str, ...] = ()
    in_flight: int = 0
    unread_tokens: int = 0
    interval: float = 0.2


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """What a side process tells an entry process of its replica.

    Attributes
    ----------
    born : int
        Which start of the replica this is about, in milliseconds.
    models : dict
        Versions of the adapters that requests may use, by model and name.
    pending : dict
        Adapters on their way, as model/name, and their versions.
    running, waiting : int
        Requests of all processes.
    wanted_adapters : int
        Adapters that are asked for and not there yet, those on their way included.
    others_in_flight, others_unread_tokens : int
        As the other entry processes told.
    interval : float
        Seconds until the next message.
    """

    born: int
    models: dict[str, dict[str, int]] = field(default_factory=dict)
    pending: dict[str, int] = field(default_factory=dict)
    running: int = 0
    waiting: int = 0
    wanted_adapters: int = 0
    others_in_flight: int = 0
    others_unread_tokens: int = 0
    interval: float = 0.2


@dataclass(frozen=True, slots=True)
class EntryUsage:
    """What an entry process tells its peers of the teams' limits.

    Attributes
    ----------
    started : int
        Differs between starts of the process.
    tokens, levels : dict
        Admitted since the start, and left to admit, by team.
    """

    started: int
    tokens: dict[str, float] = field(default_factory=dict)
    levels: dict[str, float] = field(default_factory=dict)
