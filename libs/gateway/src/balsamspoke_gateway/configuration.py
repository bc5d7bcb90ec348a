"""Configuration by the operator: routes, services, teams and limits on callers."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from .exceptions import UnknownKey, UnknownRoute


class RequestKind(Enum):
    """How the requests of a route may be handled.

    ``SAFE`` requests may run more than once, ``UNSAFE`` ones may not, and the answer to
    ``STREAMING`` ones is a stream of events.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services of a split route.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Share of the route's requests, relative to the other weights.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rule that selects services by host and path prefix and bounds the handling.

    Attributes
    ----------
    name : str
        Name of the route.
    host : str
        Host that requests must name.
    path_prefix : str
        Prefix that the path must have; begins and ends with a slash.
    kind : RequestKind
        Whether requests may be repeated and whether the answer is a stream.
    services : tuple of WeightedService
        One service, or several that share the requests by weight.
    timeout : timedelta
        Longest time in which a caller gets the complete answer.
    objective : timedelta
        Latency objective: time to the answer, or to a stream's first event, that still
        earns full credit.
    priority : int
        Default priority of the requests; 0 is the most urgent.
    max_attempts : int
        Largest number of replicas that one request may run on.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a broken stream may be resumed at another replica.
    max_event_interval : timedelta or None
        Longest interval between two events of a stream that is on time; None if the
        route states none.
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
    max_event_interval: timedelta | None = None

    @property
    def is_idempotent(self):
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.SAFE

    def leads_to(self, service):
        """Return whether requests may be sent to a service, given by name."""
        return any(each.service == service for each in self.services)

    def choose_service(self, draw):
        """Return the name of a service for a random number in [0, 1)."""
        remaining = draw * sum(each.weight for each in self.services)
        for each in self.services:
            remaining -= each.weight
            if remaining < 0:
                return each.service
        return self.services[-1].service


@dataclass(frozen=True, slots=True)
class EngineModel:
    """A base model that an engine can load.

    Attributes
    ----------
    name : str
        Name of the model.
    size_megabytes : float
        Memory that its weights take.
    disk_load_time : timedelta
        Time to load it from the replica's own disk; zero if not stated.
    store_load_time : timedelta
        Time to load it from the weight store; zero if not stated.
    """

    name: str
    size_megabytes: float
    disk_load_time: timedelta = timedelta(0)
    store_load_time: timedelta = timedelta(0)


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Capacity of each replica of a model service.

    Attributes
    ----------
    models : tuple of EngineModel
        Models that the service serves.
    memory_megabytes : float
        Memory for weights and adapters together.
    adapter_slots : int
        Adapters held at once, including those being loaded.
    slots : int
        Requests that run at once.
    """

    models: tuple[EngineModel, ...]
    memory_megabytes: float
    adapter_slots: int
    slots: int


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable replicas.

    Attributes
    ----------
    name : str
        Name by which routes refer to the service.
    connections : int
        Largest number of connections to one replica, from all callers together.
    engine : EngineLimits or None
        Limits of each replica's engine; None for a service without models.
    cold_time : timedelta
        Time for which a replica is cold after its start; zero if it never is.
    cold_rate : float
        Requests a second that a cold replica takes from all processes together; 0 for
        no limit.
    """

    name: str
    connections: int
    engine: EngineLimits | None = None
    cold_time: timedelta = timedelta(0)
    cold_rate: float = 0.0

    @property
    def limits_cold_replicas(self):
        """Whether its replicas take fewer requests while they are cold."""
        return self.cold_time > timedelta(0) and self.cold_rate > 0


@dataclass(frozen=True, slots=True)
class Team:
    """A group of callers that share keys and a token limit.

    Attributes
    ----------
    name : str
        Name of the team, as sent to backend servers.
    keys : frozenset of str
        API keys in force.
    priority : int or None
        Overrides the route's priority; None keeps it.
    rate : float
        Tokens a second over all VMs; 0 for no limit.
    burst : float
        Tokens that may be used at once over all VMs.
    plain_tokens : int
        Tokens charged for a request that states no token count.
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    plain_tokens: int = 1


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    Attributes
    ----------
    header_bytes : int
        Largest size of a request's headers.
    body_bytes : int
        Largest size of a request's body.
    header_timeout : timedelta
        Longest time to receive a request's headers.
    idle_timeout : timedelta
        Longest time that a connection may stay idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted version of the operator's configuration.

    Attributes
    ----------
    version : int
        Number of the version; higher ones are newer.
    routes : tuple of Route
        Routes of all hosts.
    services : tuple of Service
        Services that routes refer to.
    teams : tuple of Team
        Teams; if there are none, requests need no key.
    caller_limits : CallerLimits
        Limits on callers.
    longest_resumable_timeout : timedelta
        Longest timeout of the routes whose streams may be resumed; 0 if there is none.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    teams: tuple[Team, ...] = ()
    caller_limits: CallerLimits = CallerLimits()
    longest_resumable_timeout: timedelta = field(init=False, repr=False, compare=False)
    _routes_by_host: dict = field(init=False, repr=False, compare=False)
    _services_by_name: dict = field(init=False, repr=False, compare=False)
    _teams_by_key: dict = field(init=False, repr=False, compare=False)

    def __post_init__(self):
        routes = {}
        for route in self.routes:
            routes.setdefault(route.host, {})[route.path_prefix] = route
        services = {service.name: service for service in self.services}
        teams = {key: team for team in self.teams for key in team.keys}
        timeouts = [route.timeout for route in self.routes if route.is_resumable]
        longest = max(timeouts, default=timedelta(0))
        object.__setattr__(self, "longest_resumable_timeout", longest)
        object.__setattr__(self, "_routes_by_host", routes)
        object.__setattr__(self, "_services_by_name", services)
        object.__setattr__(self, "_teams_by_key", teams)

    def has_engine(self, name):
        """Return whether a service with a name is known to serve models."""
        service = self.find_service(name)
        return service is not None and service.engine is not None

    def find_route(self, host, path):
        """Return the Route of a host with the longest prefix of a path.

        Raises
        ------
        UnknownRoute
            If no route matches.
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
        """Return the Team that holds a key.

        Raises
        ------
        UnknownKey
            If no team holds it.
        """
        team = self._teams_by_key.get(key)
        if team is None:
            raise UnknownKey
        return team

    def find_service(self, name):
        """Return the Service with a name, or None."""
        return self._services_by_name.get(name)
