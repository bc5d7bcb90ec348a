"""Messages between entry and side processes that run, cancel and track attempts."""

from dataclasses import dataclass
from datetime import timedelta

from ..identifiers import AdapterRef, AttemptId
from ..objects import PriorityClass
from ..outcomes import Cause
from ..ports import ServiceRequest, ServiceResponse


@dataclass(frozen=True, slots=True)
class RunGeneration:
    """Request to generate an answer at the engine of a side process.

    Attributes
    ----------
    attempt : AttemptId
        Id of the attempt; the side process runs each id at most once.
    request : str
        Id of the caller's request, for logs.
    team : str
        Team of the caller; empty for a request without a key to an adapter that is
        open to all.
    model : str
        Name of the base model.
    adapter : AdapterRef or None
        Adapter to apply; None for the base model alone.
    body : bytes
        The caller's request as a JSON object, without API keys.
    max_tokens : int
        Maximum number of tokens of the whole answer, the resumed part included.
    resume_offset : int
        Number of tokens of the answer that the caller already has.
    resume_text : str
        Text of those tokens.
    priority : PriorityClass
        Priority class of the adapter.
    weight : float
        Relative share of the team on a busy replica.
    deadline : timedelta
        Time left until the first token must have been produced, counted from
        the arrival of the message.
    credit : int
        Number of tokens that the side process may send before it needs CreditTokens.
    key_record : str
        Name of the KeyRecord that authorized the request; empty without a key.
    key_version : int
        Version of that record at the time of the check.
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
    """Request to call the plain service of a side process.

    Attributes
    ----------
    attempt : AttemptId
        Id of the attempt; the side process runs each id at most once.
    request : str
        Id of the caller's request, for logs.
    team : str
        Team of the caller; empty for a request without a key.
    service : str
        Name of the plain service.
    call : ServiceRequest
        The HTTP request to send.
    idempotent : bool
        Whether the call may safely be repeated.
    deadline : timedelta
        Time left, counted from the arrival of the message, until the call is
        refused if it is still queued.
    key_record : str
        Name of the KeyRecord that authorized the request; empty without a key.
    key_version : int
        Version of that record at the time of the check.
    """

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
    """Report that an attempt was not run, with the guarantee that it never will be.

    Attributes
    ----------
    attempt : AttemptId
        The refused attempt.
    cause : Cause
        Reason of the refusal.
    retry_after : timedelta
        Suggested delay before a retry; zero if none is suggested.
    """

    attempt: AttemptId
    cause: Cause
    retry_after: timedelta = timedelta(0)


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """Report that an attempt failed after it was handed to the backend server.

    Whether the attempt ran is unknown. A generation may be resumed on another replica.

    Attributes
    ----------
    attempt : AttemptId
        The failed attempt.
    cause : Cause
        Reason of the failure.
    """

    attempt: AttemptId
    cause: Cause


@dataclass(frozen=True, slots=True)
class TokenChunk:
    """Consecutive tokens of one answer.

    Attributes
    ----------
    attempt : AttemptId
        The attempt that produced them.
    offset : int
        Number of tokens of the answer before this chunk.
    text : str
        Text of the tokens.
    count : int
        Number of tokens.
    """

    attempt: AttemptId
    offset: int
    text: str
    count: int


@dataclass(frozen=True, slots=True)
class TokensProduced:
    """Token chunks of several streams to one entry process, batched over a short time.

    Attributes
    ----------
    chunks : tuple of TokenChunk
        Chunks of any of these streams.
    """

    chunks: tuple[TokenChunk, ...]


@dataclass(frozen=True, slots=True)
class GenerationFinished:
    """Report that a generated answer is complete.

    Attributes
    ----------
    attempt : AttemptId
        The finished attempt.
    offset : int
        Number of tokens of the whole answer.
    reason : str
        Finish reason of the engine.
    """

    attempt: AttemptId
    offset: int
    reason: str


@dataclass(frozen=True, slots=True)
class ServiceAnswered:
    """Response of a plain service to CallService.

    Attributes
    ----------
    attempt : AttemptId
        The attempt that called the service.
    response : ServiceResponse
        The HTTP response.
    """

    attempt: AttemptId
    response: ServiceResponse


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Request to stop an attempt whose answer is no longer needed.

    Attributes
    ----------
    attempt : AttemptId
        The attempt to cancel.
    """

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class CreditTokens:
    """Credit that allows a stream to send further tokens (flow control).

    Attributes
    ----------
    attempt : AttemptId
        The attempt whose stream gets the credit.
    count : int
        Number of tokens added to the credit.
    """

    attempt: AttemptId
    count: int


@dataclass(frozen=True, slots=True)
class FenceAttempt:
    """Request to block an attempt that was not yet handed to the backend server.

    The answer, AttemptFenced, says whether it was handed over before.

    Attributes
    ----------
    attempt : AttemptId
        The attempt to fence.
    """

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class AttemptFenced:
    """Answer to FenceAttempt with the state of the attempt.

    Attributes
    ----------
    attempt : AttemptId
        The fenced attempt.
    handed_over : bool
        Whether it was handed to the backend server. False guarantees that this
        run of the side process will never hand it over.
    """

    attempt: AttemptId
    handed_over: bool


@dataclass(frozen=True, slots=True)
class ReplicaReport:
    """Load and state of a replica, reported by its side process.

    Attributes
    ----------
    service : str
        Name of the base model or plain service.
    sequence : int
        Number that increases with each report of a process.
    running : int
        Number of requests at the backend server.
    queued : int
        Number of requests in the queue of the side process.
    queued_tokens : int
        Number of tokens that the queued requests may cost, prompts included.
    batch_size : int
        Number of requests that the backend server runs concurrently.
    accepting : bool
        Whether new requests are accepted; False while the replica is leaving,
        paused or not ready.
    adapters : tuple of AdapterRef
        Adapters loaded at the engine.
    """

    service: str
    sequence: int
    running: int
    queued: int
    queued_tokens: int
    batch_size: int
    accepting: bool
    adapters: tuple[AdapterRef, ...] = ()
