"""Messages between entry and side processes; each message may be lost in transit.

Field names are part of the wire format.
"""

from dataclasses import dataclass, field
from enum import Enum


@dataclass(frozen=True, slots=True)
class WantedAdapter:
    """An adapter that requests wait for.

    Attributes
    ----------
    model : str
        Name of the base model.
    adapter : str
        Name of the adapter.
    version : int
        Oldest version that the requests may use; 0 for any.
    """

    model: str
    adapter: str
    version: int


@dataclass(frozen=True, slots=True)
class EntryDemand:
    """Demand of an entry process at a replica, sent to the replica's side process.

    Attributes
    ----------
    wanted : tuple of WantedAdapter
        Adapters to load, in the order in which requests began to wait for them.
    in_use : tuple of str
        Names of the adapters that requests of this process use now or have used since
        its last message.
    in_flight : int
        Requests of this process that the replica has not finished.
    unread_tokens : int
        Prompt tokens of those requests that the replica has not read yet.
    interval : float
        Seconds until the next message.
    long_pauses : int
        Pauses of this process's streams beyond their limit since its last message.
    pause_limit : float
        The shortest of those limits in seconds.
    urgent : tuple of WantedAdapter
        The wanted adapters for which a request waits that can still meet its latency
        objective.
    """

    wanted: tuple[WantedAdapter, ...] = ()
    in_use: tuple[str, ...] = ()
    in_flight: int = 0
    unread_tokens: int = 0
    interval: float = 0.2
    long_pauses: int = 0
    pause_limit: float = 0.0
    urgent: tuple[WantedAdapter, ...] = ()


@dataclass(frozen=True, slots=True)
class PromptOffer:
    """A prompt that an entry process asks to send to a replica.

    Attributes
    ----------
    number : int
        Number of the offer, unique at the entry process.
    tokens : int
        Prompt tokens that the replica has to read.
    priority : int
        Priority of the request; 0 comes first.
    time_to_objective : float
        Seconds within which it has to start to meet its latency objective; negative
        afterwards.
    patience : float
        Seconds within which it has to start at all.
    """

    number: int
    tokens: int
    priority: int
    time_to_objective: float
    patience: float


@dataclass(frozen=True, slots=True)
class PromptRead:
    """Report that the first event after a prompt that was permitted has arrived.

    Attributes
    ----------
    number : int
        Number of the offer.
    """

    number: int


@dataclass(frozen=True, slots=True)
class PromptWithdrawal:
    """Withdrawal of a PromptOffer whose request has ended or found another replica.

    Attributes
    ----------
    number : int
        Number of the offer.
    """

    number: int


class PromptDecision(Enum):
    """Decision of a side process on a PromptOffer.

    After ``WAIT`` another answer follows.
    """

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class PromptAnswer:
    """Answer of a side process to a PromptOffer.

    Attributes
    ----------
    number : int
        Number of the offer.
    decision : PromptDecision
        Whether the prompt may be sent now.
    wait : float
        Predicted seconds until it may be sent.
    """

    number: int
    decision: PromptDecision
    wait: float = 0.0


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """State of a replica, sent by its side process to an entry process.

    Attributes
    ----------
    born : int
        Start time of the replica in milliseconds; identifies one start of it.
    models : dict
        Versions of the adapters that requests may use, by model and adapter name.
    pending : dict
        Versions of the adapters being loaded, by ``model/name``.
    running : int
        Requests of all entry processes that run at the replica.
    waiting : int
        Requests of all entry processes that are queued at the replica.
    wanted_adapters : int
        Adapters that entry processes want and the replica does not hold yet, including
        those being loaded.
    others_in_flight : int
        Requests in flight that the other entry processes have reported.
    others_unread_tokens : int
        Unread prompt tokens that the other entry processes have reported.
    interval : float
        Seconds until the next message.
    scheduled_tokens : int
        Prompt tokens that wait at the side process to be sent to the replica.
    schedules_prompts : bool
        Whether prompts are to be offered to the side process before they are sent.
    model_wait : float
        Predicted seconds until the replica holds its model; 0 if it does.
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
    scheduled_tokens: int = 0
    schedules_prompts: bool = False
    model_wait: float = 0.0


@dataclass(frozen=True, slots=True)
class EntryUsage:
    """Token usage of the teams at an entry process, sent to its peers.

    Attributes
    ----------
    started : int
        Identifies one start of the process; differs between its starts.
    tokens : dict
        Tokens admitted since the start of the process, by team.
    levels : dict
        Tokens left in the process's bucket, by team.
    """

    started: int
    tokens: dict[str, float] = field(default_factory=dict)
    levels: dict[str, float] = field(default_factory=dict)
