"""Messages between entry and side processes; each message may be lost in transit.

Field names are part of the wire format.
"""

from dataclasses import dataclass, field

from .replica_speed.messages import LearnedSlowdown, RecentSamples, StatedSlowdown
from .scheduling.backlogs import PriorityBacklog


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
    late_events : int
        Events of this process's streams that came late since its last message.
    max_event_interval : float
        Shortest interval in seconds that those events exceeded.
    urgent : tuple of WantedAdapter
        The wanted adapters for which a request waits that can still meet its latency
        objective.
    learned_slowdown : LearnedSlowdown or None
        What this process has learned of the replica's speed, once a second; None
        otherwise.
    recent_samples : RecentSamples or None
        Samples of the replica's speed since its last message; None if they are as
        usual.
    unread_prompts : tuple of PriorityBacklog
        The unread prompts by priority.
    """

    wanted: tuple[WantedAdapter, ...] = ()
    in_use: tuple[str, ...] = ()
    in_flight: int = 0
    unread_tokens: int = 0
    interval: float = 0.2
    late_events: int = 0
    max_event_interval: float = 0.0
    urgent: tuple[WantedAdapter, ...] = ()
    learned_slowdown: LearnedSlowdown | None = None
    recent_samples: RecentSamples | None = None
    unread_prompts: tuple[PriorityBacklog, ...] = ()


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
    queued_tokens : int
        Prompt tokens that wait for admission at the side process.
    requires_admission : bool
        Whether prompts have to be admitted by the side process before they are sent.
    load_time : float
        Estimated seconds of an adapter's load; 0 if not known.
    model_wait : float
        Predicted seconds until the replica holds its model; 0 if it does.
    is_leaving : bool
        Whether the replica states that it leaves.
    refused_adapters : tuple of str
        Adapters that it does not load, as ``model/name``, because they may crash it.
    learned_slowdown : LearnedSlowdown or None
        What all entry processes have learned of its speed, in reply to what the entry
        process has learned; None otherwise.
    recent_slowdown : float or None
        What its last few answers show; None if they are as usual.
    stated_slowdown : StatedSlowdown or None
        What the replica states of its speed; None if it states none.
    others_unread_prompts : tuple of PriorityBacklog
        Unread prompts by priority that the other entry processes have reported.
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
    queued_tokens: int = 0
    requires_admission: bool = False
    load_time: float = 0.0
    model_wait: float = 0.0
    is_leaving: bool = False
    refused_adapters: tuple[str, ...] = ()
    learned_slowdown: LearnedSlowdown | None = None
    recent_slowdown: float | None = None
    stated_slowdown: StatedSlowdown | None = None
    others_unread_prompts: tuple[PriorityBacklog, ...] = ()


@dataclass(frozen=True, slots=True)
class DrainedDomainsNotice:
    """Failure domains that the operator drains, as of one position of the store.

    Attributes
    ----------
    era : int
        Era of the store.
    revision : int
        Revision of the store in that era; the notice of the latest one holds.
    domains : tuple of str
        Names of all drained domains.
    """

    era: int
    revision: int
    domains: tuple[str, ...] = ()


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
    configuration : int
        Version of the configuration in force at the process; 0 if there is none.
    store_era : int
        Era of the store that the process has read from; 0 if not known.
    drained_domains : DrainedDomainsNotice or None
        What the process has read of drained failure domains; None if nothing.
    """

    started: int
    tokens: dict[str, float] = field(default_factory=dict)
    levels: dict[str, float] = field(default_factory=dict)
    configuration: int = 0
    store_era: int = 0
    drained_domains: DrainedDomainsNotice | None = None


@dataclass(frozen=True, slots=True)
class ReplicaLeaving:
    """Notice between entry processes that a replica has said that it leaves.

    Attributes
    ----------
    replica : str
        Id of the replica.
    born : int
        Start time of the replica in milliseconds; identifies one start of it.
    """

    replica: str
    born: int
