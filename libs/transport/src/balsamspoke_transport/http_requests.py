"""Server addresses, HTTP requests and response heads."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Endpoint:
    """The address of a server.

    Connections are reused only between requests to equal endpoints.

    Attributes
    ----------
    ip : str
        IP address.
    port : int
        TCP port.
    name : str
        Distinguishes servers at the same address, such as successive replicas; empty
        if there is only one.
    """

    ip: str
    port: int
    name: str = ""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request to send.

    Attributes
    ----------
    method, target : bytes
        The request line.
    headers : tuple of tuple of bytes
        Names and values, with Host and without Content-Length.
    body : bytes
        The whole body; empty for none.
    id : bytes
        Request id that the response must echo; empty if responses carry no id.
    is_idempotent : bool
        If False, an idle connection is reused for a shorter time, so that the request
        is never sent on one that the server may be about to close.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes = b""
    id: bytes = b""
    is_idempotent: bool = True


@dataclass(frozen=True, slots=True)
class HttpHead:
    """The head of a response.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple of bytes
        Names in lower case, and values.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    @property
    def is_framed(self):
        """Whether a length or chunks tell where the body ends."""
        encoding = self.find(b"transfer-encoding") or b""
        has_length = self.find(b"content-length") is not None
        return has_length or encoding.lower().endswith(b"chunked")

    def find_all(self, name):
        """Return the values of a header, in order; its name is in lower case."""
        return [value for found, value in self.headers if found == name]

    def find(self, name):
        """Return the first value of a header, or None.

        Parameters
        ----------
        name : bytes
            The header's name in lower case.
        """
        for found, value in self.headers:
            if found == name:
                return value
        return None


@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """A whole response.

    Attributes
    ----------
    head : HttpHead
        Status and headers.
    body : bytes
        The complete body.
    """

    head: HttpHead
    body: bytes

    @property
    def status(self):
        """HTTP status."""
        return self.head.status
