"""Events of crashes, and of requests that are refused for them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplicaCrashed:
    """A replica ended while it ran a request, which may be the cause.

    Attributes
    ----------
    replica : str
        Id of the replica.
    request : str
        Id of the request.
    fingerprint : str
        The same for requests of one team with the same content.
    suspected_parts : tuple of str
        Ids of the request's shared prompt parts that were not answered lately.
    """

    replica: str
    request: str
    fingerprint: str
    suspected_parts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PromptsQuarantined:
    """Requests with certain parts are refused from now on.

    Attributes
    ----------
    parts : tuple of str
        Ids of the prompt parts, or the fingerprint of a request; a request that has all
        of them is refused.
    is_certain : bool
        Whether they are known to crash replicas; otherwise they are refused for a
        shorter time.
    reason : str
        How this process learned it.
    """

    parts: tuple[str, ...]
    is_certain: bool
    reason: str


@dataclass(frozen=True, slots=True)
class QuarantineLifted:
    """Requests with certain parts are sent to replicas again.

    Attributes
    ----------
    parts : tuple of str
        Ids of the prompt parts, or the fingerprint of a request.
    reason : str
        Which answer showed that they crash no replica.
    """

    parts: tuple[str, ...]
    reason: str
