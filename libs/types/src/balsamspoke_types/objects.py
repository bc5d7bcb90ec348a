"""Catalogue objects stored in the object API."""

import enum
from dataclasses import dataclass
from datetime import timedelta


class PriorityClass(enum.Enum):
    """Priority classes of adapters, from the most urgent to the least."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class Team:
    """A team whose callers present API keys and share a token budget.

    Attributes
    ----------
    name : str
        Unique name.
    rate : float
        Refill rate of the token budget, in tokens per second over the whole fleet.
    burst : int
        Capacity of the token budget: the most tokens that can be used at once.
    weight : float
        Share of a busy replica, relative to the weights of other teams.
    """

    name: str
    rate: float
    burst: int
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Model:
    """A base model that replicas serve.

    Attributes
    ----------
    name : str
        Unique name; replicas carry it in the VM list as their service.
    max_tokens : int
        Maximum number of tokens that one request may generate.
    default_max_tokens : int
        Number of tokens reserved for a request that sets no maximum.
    adapter_slots : int
        Number of adapters that one replica can hold loaded.
    batch_size : int
        Number of requests that one replica runs concurrently.
    checks_fencing : bool
        Whether the engines reject requests with an outdated fencing token.
    """

    name: str
    max_tokens: int = 4096
    default_max_tokens: int = 256
    adapter_slots: int = 8
    batch_size: int = 32
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class Adapter:
    """An adapter of a model, with the versions that callers may request.

    Attributes
    ----------
    name : str
        Unique name.
    team : str
        Team that owns the adapter; only its keys give access.
    model : str
        Name of the base model.
    default_version : int
        Version used for requests that name none.
    versions : tuple of int
        Versions that requests may name.
    priority : PriorityClass
        Priority class of the adapter's requests.
    open_to_all : bool
        Whether requests without a key may use it.
    """

    name: str
    team: str
    model: str
    default_version: int
    versions: tuple[int, ...]
    priority: PriorityClass = PriorityClass.STANDARD
    open_to_all: bool = False


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """Rule that says whether some calls of a plain service are idempotent.

    Attributes
    ----------
    method : str
        HTTP method that the rule matches.
    path_prefix : str
        Prefix of the paths that the rule matches.
    idempotent : bool
        Whether matching calls may safely be repeated.
    """

    method: str
    path_prefix: str
    idempotent: bool


@dataclass(frozen=True, slots=True)
class PlainService:
    """An HTTP service that requests are routed to, other than an engine.

    Attributes
    ----------
    name : str
        Unique name; replicas carry it in the VM list as their service.
    teams : tuple of str
        Teams whose keys give access to the service.
    calls : tuple of ServiceCall
        Rules for the idempotency of calls; the first match applies. A call without
        a match is idempotent only if its HTTP method is.
    open_to_all : bool
        Whether requests without a key may use it.
    tokens_per_call : int
        Tokens that one call takes from the team's budget.
    timeout : timedelta
        Time limit for a call.
    """

    name: str
    teams: tuple[str, ...] = ()
    calls: tuple[ServiceCall, ...] = ()
    open_to_all: bool = False
    tokens_per_call: int = 1
    timeout: timedelta = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """Record of an issued API key, which holds only the digest of the key.

    Attributes
    ----------
    name : str
        Id of the record, safe to print.
    team : str
        Team that the key authorizes.
    digest : str
        Hex SHA-256 of the key.
    """

    name: str
    team: str
    digest: str


class Kind(enum.Enum):
    """Kinds of objects in the object API: the catalogue and internal records."""

    TEAM = "teams"
    MODEL = "models"
    ADAPTER = "adapters"
    SERVICE = "services"
    KEY = "keys"
    BUDGET = "budgets"
    IDEMPOTENCY = "idempotency"
    PROCESS = "processes"


CATALOGUE_KINDS = (Kind.TEAM, Kind.MODEL, Kind.ADAPTER, Kind.SERVICE, Kind.KEY)
