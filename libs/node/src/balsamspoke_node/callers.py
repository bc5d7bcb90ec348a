"""A caller's HTTP request, and the ports between the core and the HTTP server."""

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete HTTP request of a caller.

    Attributes
    ----------
    method : str
        HTTP method in upper case.
    target : str
        Path and query as sent, without decoding.
    headers : tuple of pairs of str
        (name, value) pairs with the names in lower case.
    body : bytes
        The complete body.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    @property
    def path(self):
        """Return the path without the query."""
        return self.target.partition("?")[0]

    def find_header(self, name):
        """Return the first value of a header, or None; ``name`` is in lower case."""
        for found, value in self.headers:
            if found == name:
                return value
        return None


class Responder(ABC):
    """Port that sends the HTTP response to one CallerRequest."""

    @abstractmethod
    def start(self, status, headers):
        """Send the status code and the headers, a tuple of (name, value) pairs."""

    @abstractmethod
    def write(self, data):
        """Send a part of the body."""

    @abstractmethod
    def end(self):
        """End the response; called exactly once, unless it is aborted."""

    @abstractmethod
    def abort(self):
        """Abort the connection, so that the client sees a truncated response."""


class Exchange(ABC):
    """A request that is being answered, as seen by the HTTP server."""

    @abstractmethod
    def cancel(self):
        """Handle the caller's disconnection."""

    @abstractmethod
    def pause(self):
        """Handle backpressure: the caller reads more slowly than the answer arrives."""

    @abstractmethod
    def resume(self):
        """Handle the end of backpressure: the caller has caught up."""
