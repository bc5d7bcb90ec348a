"""Requests that an entry process runs, and the interface that receives answers."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.identifiers import AdapterRef
from balsamspoke_types.objects import PriorityClass
from balsamspoke_types.ports import ServiceRequest


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """A caller's request for a generated answer; always idempotent.

    Attributes
    ----------
    request : str
        Id of the request, for logs.
    team : str
        Team that made the request; empty for one without a key on an open adapter.
    model : str
        Name of the base model.
    adapter : AdapterRef or None
        Adapter to run on; None for the base model.
    body : bytes
        The request as a JSON object, without API keys.
    max_tokens : int
        Most tokens of the complete answer.
    priority : PriorityClass
        Priority class of the adapter.
    weight : float
        Share of the team, relative to other teams, on a busy replica.
    deadline : timedelta
        Longest time until the first token.
    key_record : str
        Name of the KeyRecord that the API key was checked against; empty without
        a key.
    key_version : int
        Version of the KeyRecord at that check.
    """

    request: str
    team: str
    model: str
    adapter: AdapterRef | None
    body: bytes
    max_tokens: int
    priority: PriorityClass = PriorityClass.STANDARD
    weight: float = 1.0
    deadline: timedelta = timedelta(seconds=30)
    key_record: str = ""
    key_version: int = 0


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A caller's request to a plain service.

    Attributes
    ----------
    request : str
        Id of the request, for logs.
    team : str
        Team that made the request.
    service : str
        Name of the plain service.
    call : ServiceRequest
        The HTTP request to the service, without API keys.
    idempotent : bool
        Whether the call may be run more than once.
    idempotency_key : str
        Key by which the caller identifies repeats of a request that isn't
        idempotent; empty without a key.
    deadline : timedelta
        Longest time until the answer.
    key_record : str
        Name of the KeyRecord that the API key was checked against; empty without
        a key.
    key_version : int
        Version of the KeyRecord at that check.
    """

    request: str
    team: str
    service: str
    call: ServiceRequest
    idempotent: bool
    idempotency_key: str = ""
    deadline: timedelta = timedelta(seconds=10)
    key_record: str = ""
    key_version: int = 0


class AnswerSink(ABC):
    """Receiver of the answer to one request.

    Exactly one of ``finish``, ``answer`` and ``refuse`` is called, and no method
    after it. Tokens arrive in order, without gaps or repeats.
    """

    @abstractmethod
    def add_tokens(self, text, count):
        """Receive the next tokens of a generated answer.

        Parameters
        ----------
        text : str
            Text of the tokens.
        count : int
            Number of tokens.
        """

    @abstractmethod
    def finish(self, reason, total_tokens):
        """Receive the end of a complete generated answer.

        Parameters
        ----------
        reason : str
            Finish reason of the engine, such as ``length``.
        total_tokens : int
            Number of tokens of the answer.
        """

    @abstractmethod
    def answer(self, response):
        """Receive the ServiceResponse of a plain service."""

    @abstractmethod
    def refuse(self, refusal):
        """Receive a Refusal; tokens that came before it are an incomplete answer."""


class RunningRequest(ABC):
    """Handle for cancellation and credit of a running request."""

    @abstractmethod
    def cancel(self):
        """Cancel the request; the sink receives a refusal with cause CANCELLED.

        A call that may have been handed over isn't stopped. If it has an
        idempotency key, its outcome is still recorded.
        """

    @abstractmethod
    def credit(self, count):
        """Allow more tokens after the caller has consumed ``count`` of them."""
