"""Events of callers' requests."""

from dataclasses import dataclass
from datetime import timedelta

ANSWERED = "answered"
"""Outcome of an attempt or request that was answered completely."""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt at a replica ended.

    Attributes
    ----------
    request : str
        Id of the caller's request.
    replica : str
        Id of the replica.
    service : str
        Name of the replica's service.
    outcome : str
        ``answered``, or the class name of the error that ended the attempt.
    reason : str
        Text of that error; empty for an answer.
    status : int
        HTTP status of the replica's answer; 0 if none came.
    waited : timedelta
        Time from the start of the attempt to its end.
    predicted : timedelta
        Time to the first event that was predicted when the replica was chosen.
    backlog : int
        Prompt tokens known to be unread at the replica when the request was sent,
        including its own.
    state_age : timedelta or None
        Age of the last report of the replica's side process when the request was sent;
        None if there was no recent report.
    version : int or None
        Adapter version that the replica was asked to use; None if none was required.
    prompt_parts : tuple of str
        Ids of the parts of the prompt that other requests may share.
    fingerprint : str
        The same for requests of one team with the same content.
    software_version : str
        Version of the replica's software; empty if not known.
    """

    request: str
    replica: str
    service: str
    outcome: str
    reason: str
    status: int
    waited: timedelta
    predicted: timedelta
    backlog: int
    state_age: timedelta | None
    version: int | None
    prompt_parts: tuple[str, ...] = ()
    fingerprint: str = ""
    software_version: str = ""


@dataclass(frozen=True, slots=True)
class RetryDecided:
    """A failed request was sent once more, or was not as the retry budget is spent.

    Attributes
    ----------
    request : str
        Id of the request.
    service : str
        Name of the service.
    is_allowed : bool
        Whether the request is sent once more.
    counted_requests : int
        Requests for the service that the budget of this process counts.
    counted_retries : int
        Retries that it counts, including this one.
    processes : int or None
        Entry processes that share the budget; None as long as they are not known here.
    age : timedelta
        Time since the start of this process.
    """

    request: str
    service: str
    is_allowed: bool
    counted_requests: int
    counted_retries: int
    processes: int | None
    age: timedelta


@dataclass(frozen=True, slots=True)
class StreamResumed:
    """A stream goes on at a replica after its connection had broken.

    Attributes
    ----------
    request : str
        Id of the caller's request.
    resumed_request : str
        Id of the caller's request that brought the stream's first event; the same id if
        the stream goes on within one answer; empty if not known.
    replica : str
        Id of the replica at which the stream goes on.
    software_version : str
        Version of that replica's software.
    last_event : str
        Id of the last event before the break.
    """

    request: str
    resumed_request: str
    replica: str
    software_version: str
    last_event: str


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request ended.

    Attributes
    ----------
    request : str
        Id of the request.
    route : str
        Name of its route; empty if the request ended before one was found.
    team : str
        Name of the caller's team; empty if not known.
    outcome : str
        ``answered``, or the class name of the error that ended the request.
    reason : str
        Text of that error, with the figures that led to it.
    status : int
        HTTP status of the answer; 0 if the caller disconnected before one was written.
    attempts : int
        Attempts that were sent to a replica and then refused by it, lost or overdue.
    configuration : int
        Version of the configuration in force; 0 if there was none.
    allowed : timedelta or None
        Time allowed for the whole answer: the shorter of the caller's and the route's
        timeout. None if the request ended before it was determined.
    duration : timedelta
        Time from the arrival of the request to its end.
    first_event : timedelta or None
        Time from the arrival of the request to a stream's first event; None if none
        was written.
    """

    request: str
    route: str
    team: str
    outcome: str
    reason: str
    status: int
    attempts: int
    configuration: int
    allowed: timedelta | None
    duration: timedelta
    first_event: timedelta | None = None


@dataclass(frozen=True, slots=True)
class RequestsEnded:
    """Several requests ended alike within a second, too many for a line each.

    Attributes
    ----------
    route : str
        Name of their route, as in ``RequestEnded``.
    team : str
        Name of their team, as in ``RequestEnded``.
    outcome : str
        Their outcome, as in ``RequestEnded``.
    reason : str
        Reason of the first of them.
    status : int
        HTTP status of their answers.
    configuration : int
        Version of the configuration in force; 0 if there was none.
    requests : tuple of str
        Ids of the requests.
    """

    route: str
    team: str
    outcome: str
    reason: str
    status: int
    configuration: int
    requests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SlowCallerDropped:
    """A connection was dropped, as its caller read too slowly for the VM's memory.

    Attributes
    ----------
    unsent_bytes : int
        Bytes of the answer that were not sent yet.
    """

    unsent_bytes: int
