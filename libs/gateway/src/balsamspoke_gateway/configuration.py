"""What the operator has configured: routes, services, teams and callers' limits."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from .exceptions import UnknownKey, UnknownRoute


class RequestKind(Enum):
    """What may be done with the requests of a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services of a split route, and its share of the requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests go by host and path prefix, and how they may be handled.

    Attributes
    ----------
    name, host, path_prefix : str
        The prefix begins and ends with a slash.
    kind : RequestKind
        What may be repeated.
    services : tuple of WeightedService
        One, or several that share the requests by weight.
    timeout : timedelta
        Longest time a caller waits for the whole answer.
    objective : timedelta
        Time to the answer, or to a stream's first event, worth its full credit.
    priority : int
        0 is the most urgent.
    attempts : int
        Most replicas that one request may run on.
    is_open : bool
        Whether it needs no key.
    is_resumable : bool
        Whether a broken stream may go on at another replica.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout: timedelta
    objective: timedelta
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False

    @property
    def is_idempotent(self):
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.SAFE

    def choose_service(self, draw):
        """Return a service's name for a draw from 0 to below 1."""
        remaining = draw * sum(each.weight for each in self.services)
        for each in self.services:
            remaining -= each.weight
            if remaining < 0:
                return each.service
        return self.services[-1].service


@dataclass(frozen=True, slots=True)
class EngineModel:
    """A base model that an engine can hold; its size is in megabytes."""

    name: str
    size_megabytes: float


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """What a replica of a model service has room for.

    Attributes
    ----------
    models : tuple of EngineModel
        What the service serves.
    memory : float
        Megabytes for weights and adapters together.
    adapter_places : int
        Adapters at once, those on their way included.
    slots : int
        Requests that run at once.
    """

    models: tuple[EngineModel, ...]
    memory_megabytes: float
    adapter_slots: int
    slots: int


@dataclass(frozen=True, slots=True)
class Service:
    """A group of replicas.

    Attributes
    ----------
    name : str
        As routes name it.
    connections : int
        Most connections to one replica, of all callers together.
    engine : EngineLimits or None
        None for a service without models.
    """

    name: str
    connections: int
    engine: EngineLimits | None = None


@dataclass(frozen=True, slots=True)
class Team:
    """Who holds keys, and how much may be asked with them.

    Attributes
    ----------
    name : str
        As backend servers see it.
    keys : frozenset of str
        In force now.
    priority : int or None
        Goes before the route's; None leaves it to the route.
    rate, burst : float
        Tokens a second and tokens at once over all VMs; a rate of 0 is no limit.
    plain_tokens : int
        What a request without token counts costs.
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    plain_tokens: int = 1


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, in bytes, and how long its connection may idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted version of everything the operator configures."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    teams: tuple[Team, ...] = ()
    caller_limits: CallerLimits = CallerLimits()
    _routes_by_host: dict = field(init=False, repr=False, compare=False)
    _services_by_name: dict = field(init=False, repr=False, compare=False)
    _teams_by_key: dict = field(init=False, repr=False, compare=False)

    def __post_init__(self):
        routes = {}
        for route in self.routes:
            routes.setdefault(route.host, {})[route.path_prefix] = route
        services = {service.name: service for service in self.services}
        teams = {key: team for team in self.teams for key in team.keys}
        object.__setattr__(self, "_routes_by_host", routes)
        object.__setattr__(self, "_services_by_name", services)
        object.__setattr__(self, "_teams_by_key", teams)

    def find_route(self, host, path):
        """Return the host's Route with the longest prefix that begins the path.

        Raises
        ------
        UnknownRoute
            If there is none.
        """
        prefixes = self._routes_by_host.get(host, {})
        end = path.rfind("/") + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        raise UnknownRoute(host, path)

    def find_team(self, key):
        """Return the Team that holds a key; raise UnknownKey if none does."""
        team = self._teams_by_key.get(key)
        if team is None:
            raise UnknownKey
        return team

    def find_service(self, name):
        """Return the Service of a name, or None."""
        return self._services_by_name.get(name)
