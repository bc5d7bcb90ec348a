"""Random calls of the load tool: completions by adapter popularity, and bookings."""

import bisect
import itertools
import random
from dataclasses import dataclass

import orjson
from balsamspoke_types.exceptions import BalsamspokeError

_PLACES = ("Tamandare", "Carneiros", "Rio Formoso", "Abashiri", "Monbetsu", "Shari")
_PROMPT_TEMPLATES = (
    "When is high water at {place} on day {number}?",
    "Draft a briefing on catch rules for {place}, boat {number}.",
    "Which licence does an angler at {place} need for trip {number}?",
)


class LoadPlanError(BalsamspokeError):
    """The file given to the load tool isn't a valid plan."""


@dataclass(frozen=True, slots=True)
class TeamPlan:
    """One team's share of the load.

    Attributes
    ----------
    name : str
        Name of the team in the report.
    key : str
        API key of its requests; empty for none.
    adapters : tuple of str
        Adapters as ``adapter:version``, the most popular first.
    service : str
        Plain service for bookings; empty for none.
    share : float
        Weight of the team in the choice of who sends the next request.
    """

    name: str
    key: str
    adapters: tuple[str, ...]
    service: str = ""
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """Amount and kind of the load.

    Attributes
    ----------
    rate : float
        Mean requests a second of all teams together.
    duration : float
        Seconds during which requests are sent.
    zipf_exponent : float
        Exponent of the Zipf distribution of adapter popularity.
    booking_ratio : float
        Fraction of the requests that go to plain services.
    max_tokens : int
        Upper bound of ``max_tokens``, which is drawn uniformly from 1 up to it.
    timeout : float
        Seconds until an attempt is abandoned.
    should_verify : bool
        Whether the text of each response is compared with the expected one.
    """

    rate: float = 10.0
    duration: float = 10.0
    zipf_exponent: float = 1.0
    booking_ratio: float = 0.1
    max_tokens: int = 32
    timeout: float = 60.0
    should_verify: bool = False


@dataclass(frozen=True, slots=True)
class GenerationCall:
    """A completions request.

    Attributes
    ----------
    team : TeamPlan
        Team that sends it.
    document : dict
        JSON body.
    """

    team: TeamPlan
    document: dict


@dataclass(frozen=True, slots=True)
class BookingCall:
    """A call of a plain service.

    Attributes
    ----------
    team : TeamPlan
        Team that sends it.
    method : str
        HTTP method.
    path : str
        Path and query.
    reference : str
        Idempotency key; empty if the call is idempotent by itself.
    """

    team: TeamPlan
    method: str
    path: str
    reference: str = ""


class LoadPlan:
    """Random source of the calls of one run.

    Parameters
    ----------
    teams : sequence of TeamPlan
        Teams that send.
    settings : LoadSettings
        Amount and kind of the load.
    random_source : random.Random
        Source of all random choices; the default has a fixed seed.
    """

    def __init__(self, teams, settings, random_source=None):
        self.settings = settings
        self._random = random_source or random.Random(0)
        self._teams = teams
        self._cumulative_shares = list(
            itertools.accumulate(team.share for team in teams)
        )
        self._cumulative_popularity = {
            team.name: _accumulate_zipf(len(team.adapters), settings.zipf_exponent)
            for team in teams
        }
        self._call_count = 0

    def draw_interval(self):
        """Return the seconds until the next call, exponentially distributed."""
        return self._random.expovariate(self.settings.rate)

    def draw_call(self):
        """Return the next GenerationCall or BookingCall."""
        self._call_count += 1
        team = self._teams[self._draw_index(self._cumulative_shares)]
        is_booking = (
            team.service and self._random.random() < self.settings.booking_ratio
        )
        if is_booking or not team.adapters:
            return self._draw_booking(team)
        return self._draw_generation(team)

    def draw_entry(self, entries):
        """Return a random element of ``entries``."""
        return self._random.choice(entries)

    def _draw_generation(self, team):
        adapter = team.adapters[
            self._draw_index(self._cumulative_popularity[team.name])
        ]
        template = self._random.choice(_PROMPT_TEMPLATES)
        place = self._random.choice(_PLACES)
        document = {
            "model": adapter,
            "prompt": template.format(place=place, number=self._call_count),
            "max_tokens": self._random.randint(1, self.settings.max_tokens),
            "stream": True,
        }
        return GenerationCall(team, document)

    def _draw_booking(self, team):
        path = f"/services/{team.service}"
        if self._random.random() < 0.5:
            return BookingCall(
                team, "GET", f"{path}/availability?day={self._call_count}"
            )
        reference = f"{team.name}-{self._random.getrandbits(64):016x}"
        return BookingCall(team, "POST", f"{path}/bookings", reference)

    def _draw_index(self, cumulative):
        point = self._random.random() * cumulative[-1]
        return min(bisect.bisect_right(cumulative, point), len(cumulative) - 1)


def read_teams(content):
    """Return the TeamPlans in a JSON document ``{"teams": [...]}``.

    Raises
    ------
    LoadPlanError
        If the document isn't a valid plan.
    """
    try:
        return tuple(
            TeamPlan(
                name=item["name"],
                key=item["key"],
                adapters=tuple(item.get("adapters", ())),
                service=item.get("service", ""),
                share=float(item.get("share", 1.0)),
            )
            for item in orjson.loads(content)["teams"]
        )
    except (ValueError, KeyError, TypeError) as error:
        raise LoadPlanError(f"not a load plan: {error!r}") from error


def _accumulate_zipf(count, exponent):
    return list(
        itertools.accumulate(1 / rank**exponent for rank in range(1, count + 1))
    )
