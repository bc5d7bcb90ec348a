"""Catalogue objects, as the object API holds them."""

import enum
from dataclasses import dataclass
from datetime import timedelta


class PriorityClass(enum.Enum):
    """Classes of the catalogue, from the most urgent."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class Team:
    """A team that presents keys and has a budget.

    Attributes
    ----------
    name : str
        Unique name.
    rate : float
        Budget in tokens a second over the whole fleet.
    burst : int
        Budget in tokens that may be used at once.
    weight : float
        Part of a busy replica relative to other teams.
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
        Most tokens that one request may generate.
    default_max_tokens : int
        Tokens reserved for a request that doesn't name a number.
    adapter_slots : int
        Adapters that one replica holds at a time.
    batch_size : int
        Requests that one replica runs at a time.
    checks_fencing : bool
        Whether the engines refuse orders with an old fencing number.
    """

    name: str
    max_tokens: int = 4096
    default_max_tokens: int = 256
    adapter_slots: int = 8
    batch_size: int = 32
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class Adapter:
    """An adapter of a model, with the versions that callers may ask for.

    Attributes
    ----------
    name : str
        Unique name.
    team : str
        The owner; only its keys open the adapter.
    model : str
        Base model.
    default_version : int
        Version for requests that name none.
    versions : tuple of int
        All versions that may be asked for.
    priority : PriorityClass
        Class of its requests.
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
    """Calls of a plain service that match a method and a path prefix."""

    method: str
    path_prefix: str
    idempotent: bool


@dataclass(frozen=True, slots=True)
class PlainService:
    """A plain service that requests are routed to.

    Attributes
    ----------
    name : str
        Unique name; replicas carry it in the VM list as their service.
    teams : tuple of str
        Teams whose keys open it.
    calls : tuple of ServiceCall
        What is known of its calls; the first match counts. A call that
        matches none is idempotent only if its HTTP method says so.
    open_to_all : bool
        Whether requests without a key may use it.
    tokens_per_call : int
        What a call costs of the team's budget.
    timeout : timedelta
        Longest time for a call.
    """

    name: str
    teams: tuple[str, ...] = ()
    calls: tuple[ServiceCall, ...] = ()
    open_to_all: bool = False
    tokens_per_call: int = 1
    timeout: timedelta = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """An issued key: never the key itself, only its digest.

    Attributes
    ----------
    name : str
        Record id, safe to print.
    team : str
        The team whose requests the key opens.
    digest : str
        Hex SHA-256 of the key.
    """

    name: str
    team: str
    digest: str


class Kind(enum.Enum):
    """Kinds of objects in the object API: the catalogue, and our own."""

    TEAM = "teams"
    MODEL = "models"
    ADAPTER = "adapters"
    SERVICE = "services"
    KEY = "keys"
    BUDGET = "budgets"
    IDEMPOTENCY = "idempotency"
    PROCESS = "processes"


CATALOGUE_KINDS = (Kind.TEAM, Kind.MODEL, Kind.ADAPTER, Kind.SERVICE, Kind.KEY)
