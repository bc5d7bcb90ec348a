"""Ports of the backend servers: engine and plain service."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..identifiers import AdapterRef


@dataclass(frozen=True, slots=True)
class GenerationOrder:
    """A generation request to an engine.

    Attributes
    ----------
    request : str
        Id of the request at the engine, used to cancel it.
    adapter : AdapterRef or None
        Adapter to apply; None for the base model alone.
    body : bytes
        The caller's request as a JSON object, without API keys.
    max_tokens : int
        Maximum number of tokens of the whole answer, the resumed part included.
    resume_offset : int
        Number of tokens of the answer that exist already.
    resume_text : str
        Text of those tokens.
    priority : int
        Rank of the request; lower values run first.
    fencing : int
        Fencing token of the process that sends the request.
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
    """Load report of an engine, which may be out of date.

    Attributes
    ----------
    boot : str
        Id of one run of the engine, different after each restart.
    running : int
        Number of running requests.
    waiting : int
        Number of requests in the engine's queue.
    adapters : tuple of AdapterRef
        Loaded adapters.
    """

    boot: str
    running: int
    waiting: int
    adapters: tuple[AdapterRef, ...] = ()


class GenerationSink(ABC):
    """Receiver of the answer to one GenerationOrder."""

    @abstractmethod
    def add_tokens(self, offset, text, count):
        """Handle generated tokens.

        Parameters
        ----------
        offset : int
            Number of tokens of the answer before these.
        text : str
            Text of the tokens.
        count : int
            Number of tokens.
        """

    @abstractmethod
    def finish(self, reason, offset):
        """Handle the end of the answer.

        Parameters
        ----------
        reason : str
            Finish reason of the engine.
        offset : int
            Number of tokens of the whole answer.
        """

    @abstractmethod
    def fail(self, error):
        """Handle the failure of the generation with a BackendError; the last call."""


class Generation(ABC):
    """A running GenerationOrder."""

    @abstractmethod
    def cancel(self):
        """Cancel the request at the engine; the sink is not called again."""

    @abstractmethod
    def pause(self):
        """Stop reading the answer until ``resume`` is called (backpressure)."""

    @abstractmethod
    def resume(self):
        """Resume reading the answer."""


class Engine(ABC):
    """Client of the engine on the same VM."""

    @abstractmethod
    def generate(self, order, sink):
        """Send a GenerationOrder whose answer goes to a sink; return the Generation."""

    @abstractmethod
    def load_adapter(self, adapter, fencing):
        """Load an AdapterRef; return a Deferred of None that fails with BackendError.

        ``fencing`` is the fencing token of this process.
        """

    @abstractmethod
    def unload_adapter(self, adapter, fencing):
        """Unload an AdapterRef; return a Deferred of None that fails with BackendError.

        ``fencing`` is the fencing token of this process.
        """

    @abstractmethod
    def report(self):
        """Return a Deferred of an EngineReport that fails with BackendError."""


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """HTTP request to a plain service.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Path and query.
    headers : tuple of (str, str)
        Header names and values, without API keys.
    body : bytes
        Body; empty if there is none.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """HTTP response of a plain service.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Header names and values.
    body : bytes
        Body; empty if there is none.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainServiceClient(ABC):
    """Client of the plain service on the same VM."""

    @abstractmethod
    def call(self, request):
        """Send a ServiceRequest; return a Deferred of a ServiceResponse.

        It fails with BackendUnreachable if nothing was sent, otherwise with
        BackendLost. Cancelling the Deferred discards the response; the service may
        still run the call.
        """

    @abstractmethod
    def check(self):
        """Check that the service is ready.

        Returns
        -------
        Deferred
            Of None; fails with BackendError if the service is not ready.
        """
