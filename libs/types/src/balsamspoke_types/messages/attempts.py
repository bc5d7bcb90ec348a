"""Messages about attempts, between an entry process and a side process."""

from dataclasses import dataclass
from datetime import timedelta

from ..identifiers import AdapterRef, AttemptId
from ..objects import PriorityClass
from ..outcomes import Cause
from ..ports import ServiceRequest, ServiceResponse


@dataclass(frozen=True, slots=True)
class RunGeneration:
    """Ask a side process to generate an answer.

    Attributes
    ----------
    attempt : AttemptId
        The side process runs each attempt at most once.
    request : str
        Id of the caller's request, for logs.
    team : str
        Whose request it is; empty for one without a key on an open adapter.
    model : str
        Base model.
    adapter : AdapterRef or None
        What to run on; None for the base model.
    body : bytes
        The caller's request as a JSON object, without keys.
    max_tokens : int
        Most tokens of the whole answer.
    resume_offset : int
        Tokens of the answer that the caller has already.
    resume_text : str
        Their text.
    priority : PriorityClass
        Class of the adapter.
    weight : float
        Weight of the team on a busy replica.
    deadline : timedelta
        Time left until the first token must have been produced.
    credit : int
        Tokens that may be sent before more are credited.
    key_record : str
        Name of the KeyRecord that was checked; empty if there is no key.
    key_version : int
        Version of that record when it was checked.
    """

    attempt: AttemptId
    request: str
    team: str
    model: str
    adapter: AdapterRef | None
    body: bytes
    max_tokens: int
    resume_offset: int = 0
    resume_text: str = ""
    priority: PriorityClass = PriorityClass.STANDARD
    weight: float = 1.0
    deadline: timedelta = timedelta(seconds=30)
    credit: int = 256
    key_record: str = ""
    key_version: int = 0


@dataclass(frozen=True, slots=True)
class CallService:
    """Ask a side process to call its plain service; fields as in RunGeneration."""

    attempt: AttemptId
    request: str
    team: str
    service: str
    call: ServiceRequest
    idempotent: bool
    deadline: timedelta
    key_record: str = ""
    key_version: int = 0


@dataclass(frozen=True, slots=True)
class AttemptRefused:
    """Say that an attempt was not run, and promise that it never will be."""

    attempt: AttemptId
    cause: Cause
    retry_after: timedelta = timedelta(0)


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """Say that an attempt was handed to the backend server and didn't end well.

    Whether it ran isn't known; a generation may be continued elsewhere.
    """

    attempt: AttemptId
    cause: Cause


@dataclass(frozen=True, slots=True)
class TokenChunk:
    """Tokens of one answer; offset counts the tokens of the answer before them."""

    attempt: AttemptId
    offset: int
    text: str
    count: int


@dataclass(frozen=True, slots=True)
class TokensProduced:
    """Tokens that several streams to one entry process produced in a short time."""

    chunks: tuple[TokenChunk, ...]


@dataclass(frozen=True, slots=True)
class GenerationFinished:
    """End of an answer; offset is the number of all its tokens."""

    attempt: AttemptId
    offset: int
    reason: str


@dataclass(frozen=True, slots=True)
class ServiceAnswered:
    """The plain service's answer."""

    attempt: AttemptId
    response: ServiceResponse


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop an attempt; its answer is no longer wanted."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class CreditTokens:
    """Allow a stream that many more tokens (back pressure)."""

    attempt: AttemptId
    count: int


@dataclass(frozen=True, slots=True)
class FenceAttempt:
    """Ask whether an attempt was handed over; if not, it must never be."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class AttemptFenced:
    """Answer to FenceAttempt.

    Attributes
    ----------
    attempt : AttemptId
        The attempt asked about.
    handed_over : bool
        Whether it was handed to the backend server. False is a promise that
        it never will be by this run of the side process.
    """

    attempt: AttemptId
    handed_over: bool


@dataclass(frozen=True, slots=True)
class ReplicaReport:
    """State of a replica, as its side process knows it.

    Attributes
    ----------
    service : str
        The model or plain service.
    sequence : int
        Increases with each report of one process.
    running, queued : int
        Requests at the backend server and in the side process's queue.
    queued_tokens : int
        Tokens asked for by the queued requests.
    batch_size : int
        Requests that the backend server runs at a time.
    accepting : bool
        False while the replica is leaving, paused or not ready.
    adapters : tuple of AdapterRef
        What is loaded.
    """

    service: str
    sequence: int
    running: int
    queued: int
    queued_tokens: int
    batch_size: int
    accepting: bool
    adapters: tuple[AdapterRef, ...] = ()
