"""The ports of the backend servers: engine and plain service."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..identifiers import AdapterRef


@dataclass(frozen=True, slots=True)
class GenerationOrder:
    """An order to generate.

    Attributes
    ----------
    request : str
        The engine's name for the request, used to cancel it.
    adapter : AdapterRef or None
        What to run on; None for the base model.
    body : bytes
        The caller's request as a JSON object, without keys.
    max_tokens : int
        Most tokens to generate, counted from the beginning of the answer.
    resume_offset : int
        Tokens of the answer that are there already.
    resume_text : str
        The text of those tokens.
    priority : int
        Lower runs first.
    fencing : int
        Fencing number of the process that gives the order.
    """

    request: str
    adapter: AdapterRef | None
    body: bytes
    max_tokens: int
    resume_offset: int = 0
    resume_text: str = ""
    priority: int = 0
    fencing: int = 0


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's load report; it lags.

    Attributes
    ----------
    boot : str
        Different after each restart of the engine.
    running, waiting : int
        Requests.
    adapters : tuple of AdapterRef
        What is loaded.
    """

    boot: str
    running: int
    waiting: int
    adapters: tuple[AdapterRef, ...] = ()


class GenerationSink(ABC):
    """What takes the answer to one GenerationOrder."""

    @abstractmethod
    def add_tokens(self, offset, text, count):
        """Take tokens; offset is the number of tokens of the answer before them."""

    @abstractmethod
    def finish(self, reason, offset):
        """Take the end: the engine's finish reason and the number of all tokens."""

    @abstractmethod
    def fail(self, error):
        """Take a BackendError; nothing comes after it."""


class Generation(ABC):
    """A running GenerationOrder."""

    @abstractmethod
    def cancel(self):
        """Stop it at the engine; nothing more reaches the sink."""

    @abstractmethod
    def pause(self):
        """Stop reading the answer until it is resumed."""

    @abstractmethod
    def resume(self):
        """Read on."""


class Engine(ABC):
    """One engine, as the process beside it sees it."""

    @abstractmethod
    def generate(self, order, sink):
        """Give a GenerationOrder; return a Generation."""

    @abstractmethod
    def load_adapter(self, adapter, fencing):
        """Load an AdapterRef; return a Deferred of None, fails with BackendError."""

    @abstractmethod
    def unload_adapter(self, adapter, fencing):
        """Unload an AdapterRef; return a Deferred of None, fails with BackendError."""

    @abstractmethod
    def report(self):
        """Return a Deferred of an EngineReport; fails with BackendError."""


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A call of a plain service, without keys."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """The answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainServiceClient(ABC):
    """One plain service, as the process beside it sees it."""

    @abstractmethod
    def call(self, request):
        """Send a ServiceRequest; return a Deferred of a ServiceResponse.

        It fails with BackendUnreachable if nothing was sent, with BackendLost
        otherwise. Cancelling the Deferred gives up the answer, not the call.
        """

    @abstractmethod
    def check(self):
        """Return a Deferred of None; fails with BackendError if it isn't ready."""
