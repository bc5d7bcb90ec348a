"""Data classes of requests, prompts and replicas' answers."""

from dataclasses import dataclass
from datetime import timedelta

from .event_ids import EventId


@dataclass(frozen=True, slots=True)
class AdapterName:
    """An adapter of a base model.

    Attributes
    ----------
    model : str
        Name of the base model.
    adapter : str or None
        Name of the adapter; None for the base model alone.
    """

    model: str
    adapter: str | None = None


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    Attributes
    ----------
    id : str
        Id of the part's content; equal for requests that share it.
    tokens : int
        Length of the part.
    """

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The model, prompt and output length of a request to an engine.

    Attributes
    ----------
    target : AdapterName
        Base model and adapter to run on.
    tokens : int
        Length of the prompt in tokens.
    output_tokens : int
        Largest number of tokens to generate.
    parts : tuple of PromptPart
        Parts of the prompt in order; the last belongs to this request or its session.
    """

    target: AdapterName
    tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_part_ids(self):
        """Ids (tuple of str) of the parts that other requests may share."""
        return tuple(part.id for part in self.parts[:-1])


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as the caller sent it.

    Attributes
    ----------
    id : str
        Id that the caller gave to this one of its own attempts; empty if it gave none.
    method : bytes
        Method of the request line.
    target : bytes
        Path and query of the request line, unchanged.
    host : str
        Host that selects the routes.
    path : str
        Path that selects one of the host's routes.
    headers : tuple of tuple of bytes
        Headers to forward: without the key and without those that the system sets.
    body : bytes
        The complete body.
    key : str or None
        API key of the caller's team.
    caller_timeout : timedelta or None
        Time that the caller waits for the answer.
    prompt : Prompt or None
        Model and prompt of the request; None if it needs no model.
    token_cost : int or None
        Tokens to charge against the team's limit; None if the request does not say.
    last_event_id : EventId or None
        Id of the last stream event that the caller has; the answer continues after it.
    resumed_id : str or None
        Id of the caller's earlier attempt that brought the first event of the stream
        that this one resumes; None if it names none.
    """

    id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    key: str | None = None
    caller_timeout: timedelta | None = None
    prompt: Prompt | None = None
    token_cost: int | None = None
    last_event_id: EventId | None = None
    resumed_id: str | None = None


@dataclass(frozen=True, slots=True)
class ReplicaRequest:
    """A request as sent to a replica in one attempt.

    Attributes
    ----------
    caller : CallerRequest
        The caller's request, to be forwarded.
    replica_id : str
        Id of the replica; any other replica at the address refuses the request.
    time_left : timedelta
        Time after which the replica may stop the request.
    team : str or None
        Name of the caller's team.
    priority : int or None
        Priority in the replica's queue; 0 comes first.
    adapter_version : int or None
        Adapter version to use; a replica with another version refuses the request.
    last_event_id : EventId or None
        Id of the stream event after which the replica continues.
    is_idempotent : bool
        Whether the request may run more than once.
    """

    caller: CallerRequest
    replica_id: str
    time_left: timedelta
    team: str | None = None
    priority: int | None = None
    adapter_version: int | None = None
    last_event_id: EventId | None = None
    is_idempotent: bool = False


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load of a replica as stated in its answer.

    Attributes
    ----------
    running : int
        Requests that run.
    waiting : int
        Requests that are queued.
    slots : int
        Requests that can run at once.
    slowdown : float or None
        How long work takes there now, as a multiple of the usual time; None if not
        stated.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclass(frozen=True, slots=True)
class ReplicaAnswer:
    """The head of a replica's answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple of bytes
        Headers to forward to the caller, without hop-by-hop ones.
    has_run : bool
        False if the replica states that it has not run the request.
    is_misdirected : bool
        Whether the replica is not the expected one or lacks the expected adapter.
    is_signed : bool
        Whether the answer carries a replica's signature.
    length : int or None
        Bytes of the body; None if not stated.
    is_leaving : bool
        Whether the replica states that it leaves and wants no further requests.
    retry_after : timedelta or None
        Time for which the replica wants no requests; None if not stated.
    unreadable_headers : tuple of str
        Names of headers that could not be read and count as absent.
    is_framed : bool
        Whether the end of the answer is marked, by its length or the last of its
        chunks; otherwise it ends with the connection.
    load : ServerLoad or None
        The replica's load; None if not stated.
    rate_limit : float or None
        Requests a second that the replica takes from all processes together; None if
        it states no limit.
    cold_left : timedelta or None
        Time for which the replica stays cold; None if not stated.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    has_run: bool
    is_misdirected: bool
    is_signed: bool
    length: int | None = None
    load: ServerLoad | None = None
    is_leaving: bool = False
    retry_after: timedelta | None = None
    unreadable_headers: tuple[str, ...] = ()
    is_framed: bool = True
    rate_limit: float | None = None
    cold_left: timedelta | None = None

    @property
    def is_success(self):
        """Whether the status is 2xx."""
        return 200 <= self.status < 300
