"""A caller's HTTP request and the port that its answer is written to."""

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """An HTTP request as it came in, whole.

    Attributes
    ----------
    method : str
        Upper case.
    target : str
        Path and query, as sent.
    headers : tuple of pairs of str
        Names in lower case.
    body : bytes
        The whole body.
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
        """Return the value of a header, by its name in lower case, or None."""
        for found, value in self.headers:
            if found == name:
                return value
        return None


class Responder(ABC):
    """Where the answer to one CallerRequest goes."""

    @abstractmethod
    def start(self, status, headers):
        """Send the status and the headers, a tuple of pairs of str."""

    @abstractmethod
    def write(self, data):
        """Send a part of the body."""

    @abstractmethod
    def end(self):
        """End the answer; called exactly once, unless it is aborted."""

    @abstractmethod
    def abort(self):
        """Break the connection off, so that a part can't pass for the whole."""


class Exchange(ABC):
    """A request that is being answered, as the shell sees it."""

    @abstractmethod
    def cancel(self):
        """Note that the caller is gone."""

    @abstractmethod
    def pause(self):
        """Note that the caller reads more slowly than the answer comes."""

    @abstractmethod
    def resume(self):
        """Note that the caller has caught up."""
