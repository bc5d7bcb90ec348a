"""What is known of a replica when a request is placed."""

from dataclasses import dataclass, field
from datetime import timedelta

from ..adapters.load_times import INITIAL_LOAD_TIME
from ..requests import AdapterName
from .loads import ReplicaLoad
from .replicas import ReplicaRecord


@dataclass(frozen=True, slots=True)
class Candidate:
    """A replica that may take a request.

    Attributes
    ----------
    record : ReplicaRecord
        Entry of the replica in the store.
    load : ReplicaLoad
        Load of the replica.
    held : dict or None
        Versions of the adapters that it holds for the request's model; None if it does
        not hold the model.
    pending : dict
        Versions of the model's adapters being loaded, by name.
    cached : dict
        Versions of the adapters (by AdapterName) that it held recently and is expected
        to load fast.
    wanted_adapters : int
        Adapters that it was asked for and does not hold yet, including those being
        loaded.
    can_load : bool
        Whether it can be asked to load adapters, as its side process has reported
        recently.
    load_time : timedelta
        Estimated time to load an adapter.
    refused_adapters : tuple of str
        Adapters that it does not load, as ``model/name``, because they may crash it.
    load_age : timedelta or None
        Time since an answer stated the replica's load, where replicas state how long
        work takes there; None elsewhere.
    """

    record: ReplicaRecord
    load: ReplicaLoad
    held: dict[str, int] | None = None
    pending: dict[str, int] = field(default_factory=dict)
    cached: dict[AdapterName, int] = field(default_factory=dict)
    wanted_adapters: int = 0
    can_load: bool = False
    load_time: timedelta = INITIAL_LOAD_TIME
    refused_adapters: tuple[str, ...] = ()
    load_age: timedelta | None = None
