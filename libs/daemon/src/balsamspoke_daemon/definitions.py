"""The definitions of all settings: one table for flags, environment and docs."""

import ipaddress
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from urllib.parse import urlsplit

ENTRY = "entry"
SIDE = "side"
BOTH = (ENTRY, SIDE)
VARIABLE_PREFIX = "BALSAMSPOKE_"

LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")
BACKEND_KINDS = ("engine", "plain")
MINIMUM_BODY_BYTES = 1024
HIGHEST_PORT = 65535


@dataclass(frozen=True, slots=True)
class Setting:
    """The definition of one setting.

    Attributes
    ----------
    name : str
        Name with underscores; flag and environment variable follow from it.
    parse : callable
        Takes the text; raises ValueError that says how to mend it.
    help : str
        One sentence for the reference.
    default : str or None
        Text of the default; None if the setting is required.
    roles : tuple of str
        Roles of the daemon that have it.
    is_secret : bool
        Whether its value is never printed.
    """

    name: str
    parse: object
    help: str
    default: str | None = None
    roles: tuple[str, ...] = BOTH
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
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self):
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_endpoint(text):
    """Read ``ip:port``."""
    host, _, port = text.rpartition(":")
    try:
        address = ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ValueError(f"{text!r} is not ip:port, such as 127.0.0.1:8080")
    if not 0 <= number <= HIGHEST_PORT:
        raise ValueError(f"port {number} is not from 0 to {HIGHEST_PORT}")
    return Endpoint(str(address), number)


def parse_url(text):
    """Read the base address of a service over HTTP."""
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError(f"{text!r} is not like http://10.0.0.5:9000")
    return text.rstrip("/")


def parse_name(text):
    """Read a name without spaces."""
    if not text or any(not (c.isalnum() or c in "-_.") for c in text):
        raise ValueError(f"{text!r} must have only letters, digits and -_.")
    return text


def parse_seconds(text):
    """Read a duration in seconds, more than zero."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < float("inf"):
        raise ValueError(f"{text!r} is not a number of seconds above zero")
    return timedelta(seconds=seconds)


def parse_path(text):
    """Read the path of a file that is there; empty for none."""
    if not text:
        return None
    path = Path(text)
    if not path.is_file():
        raise ValueError(f"there is no file {text!r}")
    return path


def parse_file_name(text):
    """Read the path of a file that is made if it isn't there; empty for none."""
    return Path(text) if text else None


def make_choice(choices):
    """Return a parser for one of several words."""

    def parse(text):
        if text not in choices:
            raise ValueError(f"{text!r} is not one of {', '.join(choices)}")
        return text

    return parse


def make_count(lowest):
    """Return a parser for a whole number with a lower bound."""

    def parse(text):
        if not text.isascii() or not text.isdigit() or int(text) < lowest:
            raise ValueError(f"{text!r} is not a whole number from {lowest} on")
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
        make_count(MINIMUM_BODY_BYTES),
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
