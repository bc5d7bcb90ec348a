"""Requests that an entry process runs, and what takes their answers."""

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
        Whose request it is; empty for one without a key on an open adapter.
    model : str
        Base model.
    adapter : AdapterRef or None
        What to run on; None for the base model.
    body : bytes
        The request as a JSON object, without keys.
    max_tokens : int
        Most tokens of the whole answer.
    priority : PriorityClass
        Class of the adapter.
    weight : float
        Weight of the team on a busy replica.
    deadline : timedelta
        Longest time until the first token.
    key_record : str
        Name of the KeyRecord that was checked; empty if there is no key.
    key_version : int
        Version of that record when it was checked.
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
    """A caller's request to a plain service; fields as in GenerationRequest.

    Attributes
    ----------
    service : str
        The plain service.
    call : ServiceRequest
        The call, without keys.
    idempotent : bool
        Whether it may be run more than once.
    idempotency_key : str
        The caller's name for a request that isn't idempotent; empty if none.
    deadline : timedelta
        Longest time until the answer.
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
    """What takes the answer to one request.

    Exactly one of ``finish``, ``answer`` and ``refuse`` is called, and nothing
    after it. Tokens come in order, without a gap or a repeat.
    """

    @abstractmethod
    def add_tokens(self, text, count):
        """Take the next tokens of a generated answer."""

    @abstractmethod
    def finish(self, reason, total_tokens):
        """Take the end of a whole generated answer."""

    @abstractmethod
    def answer(self, response):
        """Take the ServiceResponse of a plain service."""

    @abstractmethod
    def refuse(self, refusal):
        """Take a Refusal; tokens that came before are no whole answer."""


class RunningRequest(ABC):
    """A request that is being run."""

    @abstractmethod
    def cancel(self):
        """Give the answer up; the sink is refused with cause CANCELLED.

        A call that may have been handed over runs on, and its outcome is kept.
        """

    @abstractmethod
    def credit(self, count):
        """Say that the caller took that many tokens, so that more may come."""
