"""Messages between entry processes on rate limits; each one may be lost in transit.

Field names are part of the wire format.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RateLimitNotice:
    """Notice that a replica has named a rate limit, or that it names none any more.

    Attributes
    ----------
    replica : str
        Id of the replica.
    born : int
        Start time of the replica in milliseconds; identifies one start of it.
    rate : float or None
        Requests a second that it takes from all processes together; None for no limit.
    """

    replica: str
    born: int
    rate: float | None


@dataclass(frozen=True, slots=True)
class ColdNotice:
    """Notice that a replica is cold.

    Attributes
    ----------
    replica : str
        Id of the replica.
    born : int
        Start time of the replica in milliseconds; identifies one start of it.
    seconds_left : float
        Seconds from now for which it stays cold.
    pass_on : bool
        Whether the recipient is to tell all other processes, if that is news to it.
    """

    replica: str
    born: int
    seconds_left: float
    pass_on: bool = False


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Request for the permit to send one request to a replica.

    Attributes
    ----------
    number : int
        Number of the message, unique at the sender.
    replica : str
        Id of the replica.
    born : int
        Start time of the replica in milliseconds; identifies one start of it.
    rate : float
        The replica's limit as the sender knows it, in requests a second.
    is_cold : bool
        Whether that is the limit of a cold replica, which holds in each second.
    is_assumed : bool
        Whether the sender has just started, and the replica may have no limit.
    """

    number: int
    replica: str
    born: int
    rate: float
    is_cold: bool = False
    is_assumed: bool = False


@dataclass(frozen=True, slots=True)
class PermitReply:
    """Reply to a PermitRequest.

    Attributes
    ----------
    number : int
        Number of the PermitRequest.
    wait : float
        Seconds after which to ask again; 0 if the request may be sent.
    """

    number: int
    wait: float
