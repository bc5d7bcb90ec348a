"""Messages about the speed of replicas; each one may be lost in transit.

Field names are part of the wire format.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LearnedSlowdown:
    """What a process has learned from the answers of a replica.

    Attributes
    ----------
    slowdown : float
        Time that work takes there as a rule, beyond what the replica itself states, as
        a multiple of the usual time.
    samples : float
        Number of samples that it rests on; old ones count less.
    """

    slowdown: float = 1.0
    samples: float = 0.0


@dataclass(frozen=True, slots=True)
class RecentSamples:
    """Samples of a replica's speed that a process has taken since its last message.

    Attributes
    ----------
    slowdown : float
        Their geometric mean, beyond what the replica states.
    count : int
        Number of the samples.
    """

    slowdown: float
    count: int


@dataclass(frozen=True, slots=True)
class StatedSlowdown:
    """What a replica has last stated of itself.

    Attributes
    ----------
    slowdown : float
        Time that work takes there, as a multiple of the usual time.
    age : float
        Seconds since it was stated.
    """

    slowdown: float
    age: float = 0.0


@dataclass(frozen=True, slots=True)
class ReplicaSlowdown:
    """What a process has learned of one start of a replica.

    Attributes
    ----------
    replica : str
        Id of the replica.
    born : int
        Start time of the replica in milliseconds.
    learned : LearnedSlowdown
        What was learned from its answers.
    """

    replica: str
    born: int
    learned: LearnedSlowdown


@dataclass(frozen=True, slots=True)
class SlowdownNotice:
    """Notice between entry processes on replicas that have no side process.

    Attributes
    ----------
    replicas : tuple of ReplicaSlowdown
        The replicas that are slower or faster than the others.
    """

    replicas: tuple[ReplicaSlowdown, ...] = ()
