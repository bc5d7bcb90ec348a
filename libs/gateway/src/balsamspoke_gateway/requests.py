"""Requests and answers as the gateway handles them."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class AdapterName:
    """An adapter of a base model; adapter is None for the model alone."""

    model: str
    adapter: str | None = None


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, in tokens, that other requests may share by its id."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a request asks of an engine.

    Attributes
    ----------
    target : AdapterName
        What to run on.
    tokens, output_tokens : int
        Tokens to read, and most tokens to generate.
    parts : tuple of PromptPart
        In order; the last belongs to the request or its session.
    """

    target: AdapterName
    tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...] = ()


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as the caller sent it.

    Attributes
    ----------
    id : str
        Names this attempt of the caller.
    method, target : bytes
        The request line's method and its path with the query, unchanged.
    host, path : str
        What selects the route.
    headers : tuple of tuple of bytes
        Headers to pass on: neither the key nor what the system sets itself.
    body : bytes
        Whole.
    key : str or None
        What authorizes it.
    patience : timedelta or None
        How long the caller waits.
    prompt : Prompt or None
        None if it asks for no model.
    token_cost : int or None
        What it counts against the team's limit, if it says so.
    last_event : int or None
        The caller has this event of the stream, and wants those after it.
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
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True)
class ReplicaRequest:
    """One attempt of a request at a replica.

    Attributes
    ----------
    caller : CallerRequest
        What to pass on.
    replica_id : str
        Any other replica at the address refuses it.
    time_left : timedelta
        After which the replica may stop.
    team : str or None
        Who asks.
    priority : int or None
        Order among what waits at the replica, 0 first.
    adapter_version : int or None
        A replica with another version refuses it.
    last_event : int or None
        Where a stream goes on.
    is_idempotent : bool
        Whether it may run more than once.
    """

    caller: CallerRequest
    replica_id: str
    time_left: timedelta
    team: str | None = None
    priority: int | None = None
    adapter_version: int | None = None
    last_event_id: int | None = None
    is_idempotent: bool = False


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Requests running and waiting at a replica, and its slots."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class ReplicaAnswer:
    """The head of a replica's answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple of bytes
        To pass back, without those of one connection only.
    has_run : bool
        False if the replica states that it did not run the request.
    is_misdirected : bool
        Whether the replica is not, or does not hold, what the request expects.
    is_signed : bool
        Whether it bears a replica's signature.
    length : int or None
        Bytes of the body, if stated.
    load : ServerLoad or None
        What the replica says of its load.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    has_run: bool
    is_misdirected: bool
    is_signed: bool
    length: int | None = None
    load: ServerLoad | None = None

    @property
    def is_success(self):
        """Whether the status is 2xx."""
        return 200 <= self.status < 300
