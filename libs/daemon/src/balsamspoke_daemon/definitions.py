"""Definitions of all settings.

The flags, the environment variables and the reference page are made from them.
"""

import ipaddress
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from urllib.parse import urlsplit

ENTRY = "entry"
SIDE = "side"
BOTH_ROLES = (ENTRY, SIDE)
VARIABLE_PREFIX = "BALSAMSPOKE_"

LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")
BACKEND_KINDS = ("engine", "plain")
# Lower bound of the setting maximum_body_bytes.
MIN_BODY_BYTES = 1024
MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Setting:
    """The definition of one setting.

    Attributes
    ----------
    name : str
        Name with underscores; the names of the flag and of the environment variable
        are derived from it.
    parse : callable
        Takes the text and returns the value; raises ValueError with a message that
        says what is accepted.
    help : str
        Description in one sentence, for ``--help`` and the reference page.
    default : str or None
        Default value as text; None if the setting is required.
    roles : tuple of str
        Roles of the process that the setting applies to.
    is_secret : bool
        Whether the value is hidden when the settings are printed.
    """

    name: str
    parse: object
    help: str
    default: str | None = None
    roles: tuple[str, ...] = BOTH_ROLES
    is_secret: bool = False

    @property
    def flag(self):
        """Return the command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self):
        """Return the name of the environment variable."""
        return VARIABLE_PREFIX + self.name.upper()


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An IP address and a TCP port.

    Attributes
    ----------
    host : str
        IPv4 or IPv6 address, without brackets.
    port : int
        Port number; 0 for a port that the operating system chooses.
    """

    host: str
    port: int

    def __str__(self):
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_endpoint(text):
    """Parse ``ip:port``, with or without brackets around an IPv6 address."""
    host, _, port = text.rpartition(":")
    try:
        address = ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ValueError(f"{text!r} is not ip:port, such as 127.0.0.1:8080")
    if not 0 <= number <= MAX_PORT:
        raise ValueError(f"port {number} is not from 0 to {MAX_PORT}")
    return Endpoint(str(address), number)


def parse_url(text):
    """Parse the base URL of an HTTP service; a trailing slash is removed."""
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError(f"{text!r} is not a URL such as http://10.0.0.5:9000")
    return text.rstrip("/")


def parse_name(text):
    """Parse a name of letters, digits, hyphens, underscores and dots."""
    if not text or any(not (c.isalnum() or c in "-_.") for c in text):
        raise ValueError(f"{text!r} must have only letters, digits and -_.")
    return text


def parse_seconds(text):
    """Parse a positive number of seconds; return a timedelta."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < float("inf"):
        raise ValueError(f"{text!r} is not a number of seconds above zero")
    return timedelta(seconds=seconds)


def parse_path(text):
    """Parse the path of an existing file; return None for an empty text."""
    if not text:
        return None
    path = Path(text)
    if not path.is_file():
        raise ValueError(f"there is no file {text!r}")
    return path


def parse_file_name(text):
    """Parse the path of a file that may not exist yet; return None if empty."""
    return Path(text) if text else None


def make_choice(choices):
    """Return a parser that accepts one of several words."""

    def parse(text):
        if text not in choices:
            raise ValueError(f"{text!r} is not one of {', '.join(choices)}")
        return text

    return parse


def make_count(minimum):
    """Return a parser for an integer with a lower bound."""

    def parse(text):
        if not text.isascii() or not text.isdigit() or int(text) < minimum:
            raise ValueError(f"{text!r} is not a whole number of at least {minimum}")
        return int(text)

    return parse


SETTINGS = (
    Setting("vm", parse_name, "Id of this VM in the VM list."),
    Setting("region", parse_name, "Region of this VM.", "default"),
    Setting("failure_domain", parse_name, "Failure domain of this VM."),
    Setting("object_api", parse_url, "Base address of the object API."),
    Setting("vm_list", parse_url, "Base address of the VM list."),
    Setting("peer_listen", parse_endpoint, "Where other processes of ours connect."),
    Setting(
        "status_listen",
        parse_endpoint,
        "Where status, health and metrics are served to operators.",
    ),
    Setting("http_listen", parse_endpoint, "Where callers connect.", roles=(ENTRY,)),
    Setting(
        "backend_kind",
        make_choice(BACKEND_KINDS),
        "What the backend server is.",
        "engine",
        (SIDE,),
    ),
    Setting("backend", parse_url, "Base address of the backend server.", roles=(SIDE,)),
    Setting(
        "service",
        parse_name,
        "Model or plain service of the backend server.",
        roles=(SIDE,),
    ),
    Setting(
        "first_token_timeout",
        parse_seconds,
        "Seconds after which a request without a token is given up.",
        "20",
        (ENTRY,),
    ),
    Setting(
        "maximum_body_bytes",
        make_count(MIN_BODY_BYTES),
        "Largest body of a caller's request.",
        "1000000",
        (ENTRY,),
    ),
    Setting(
        "maximum_connections",
        make_count(1),
        "Callers' connections open at a time; more are closed at once.",
        "4000",
        (ENTRY,),
    ),
    Setting(
        "header_timeout",
        parse_seconds,
        "Seconds in which a request must have come in whole.",
        "15",
        (ENTRY,),
    ),
    Setting(
        "readiness_grace",
        parse_seconds,
        "Seconds between readiness going off and the first refusal at a stop.",
        "5",
        (ENTRY,),
    ),
    Setting(
        "stop_timeout",
        parse_seconds,
        "Longest wait in seconds for running requests at a planned stop.",
        "300",
    ),
    Setting("tls_certificate", parse_path, "Certificate chain for callers, PEM.", ""),
    Setting(
        "tls_key",
        parse_path,
        "Private key of that certificate, PEM.",
        "",
        is_secret=True,
    ),
    Setting(
        "peer_tls_certificate", parse_path, "Certificate between processes, PEM.", ""
    ),
    Setting(
        "peer_tls_key",
        parse_path,
        "Private key of that certificate, PEM.",
        "",
        is_secret=True,
    ),
    Setting("peer_tls_ca", parse_path, "Authority of the peers' certificates.", ""),
    Setting("log_level", make_choice(LOG_LEVELS), "Lowest level logged.", "INFO"),
    Setting("log_file", parse_file_name, "File for logs; empty: standard error.", ""),
)
