"""What the load tool sends: teams, adapters by popularity, bookings."""

import bisect
import itertools
import random
from dataclasses import dataclass

import orjson
from balsamspoke_types.exceptions import BalsamspokeError

_PLACES = ("Tamandare", "Carneiros", "Rio Formoso", "Abashiri", "Monbetsu", "Shari")
_QUESTIONS = (
    "When is high water at {place} on day {number}?",
    "Draft a briefing on catch rules for {place}, boat {number}.",
    "Which licence does an angler at {place} need for trip {number}?",
)


class LoadPlanError(BalsamspokeError):
    """The file given to the load tool isn't a plan."""


@dataclass(frozen=True, slots=True)
class TeamPlan:
    """One team's part of the load.

    Attributes
    ----------
    name : str
        Shown in the report.
    key : str
        Sent with each request.
    adapters : tuple of str
        ``adapter:version`` each, the most popular first.
    service : str
        Plain service for bookings; empty for none.
    share : float
        Part of all requests, relative to the other teams.
    """

    name: str
    key: str
    adapters: tuple[str, ...]
    service: str = ""
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """How much is sent.

    Attributes
    ----------
    rate : float
        Requests a second on average, all teams together.
    duration : float
        Seconds.
    zipf_exponent : float
        Skew of the adapters' popularity.
    booking_part : float
        Part of the requests that go to plain services.
    max_tokens : int
        Longest answer asked for; lengths are drawn up to it.
    timeout : float
        Seconds until an answer is given up.
    verifies : bool
        Whether the text of each answer is compared.
    """

    rate: float = 10.0
    duration: float = 10.0
    zipf_exponent: float = 1.0
    booking_part: float = 0.1
    max_tokens: int = 32
    timeout: float = 60.0
    verifies: bool = False


@dataclass(frozen=True, slots=True)
class GenerationCall:
    """A completions request."""

    team: TeamPlan
    document: dict


@dataclass(frozen=True, slots=True)
class BookingCall:
    """A call of a plain service; ``reference`` is empty if it may be repeated."""

    team: TeamPlan
    method: str
    path: str
    reference: str = ""


class LoadPlan:
    """Draw the calls of one run.

    Parameters
    ----------
    teams : sequence of TeamPlan
        Who sends.
    settings : LoadSettings
        How much.
    random_source : random.Random
        Draws everything.
    """

    def __init__(self, teams, settings, random_source=None):
        self.settings = settings
        self._random = random_source or random.Random(0)
        self._teams = teams
        self._shares = list(itertools.accumulate(team.share for team in teams))
        self._weights = {
            team.name: _accumulate_zipf(len(team.adapters), settings.zipf_exponent)
            for team in teams
        }
        self._number = 0

    def draw_pause(self):
        """Return the seconds until the next call."""
        return self._random.expovariate(self.settings.rate)

    def draw_call(self):
        """Return the next GenerationCall or BookingCall."""
        self._number += 1
        team = self._teams[self._draw_index(self._shares)]
        books = team.service and self._random.random() < self.settings.booking_part
        if books or not team.adapters:
            return self._draw_booking(team)
        return self._draw_generation(team)

    def draw_entry(self, entries):
        """Return one of the entries."""
        return self._random.choice(entries)

    def _draw_generation(self, team):
        adapter = team.adapters[self._draw_index(self._weights[team.name])]
        question = self._random.choice(_QUESTIONS)
        place = self._random.choice(_PLACES)
        document = {
            "model": adapter,
            "prompt": question.format(place=place, number=self._number),
            "max_tokens": self._random.randint(1, self.settings.max_tokens),
            "stream": True,
        }
        return GenerationCall(team, document)

    def _draw_booking(self, team):
        path = f"/services/{team.service}"
        if self._random.random() < 0.5:
            return BookingCall(team, "GET", f"{path}/availability?day={self._number}")
        reference = f"{team.name}-{self._random.getrandbits(64):016x}"
        return BookingCall(team, "POST", f"{path}/bookings", reference)

    def _draw_index(self, accumulated):
        place = self._random.random() * accumulated[-1]
        return min(bisect.bisect_right(accumulated, place), len(accumulated) - 1)


def read_teams(content):
    """Return the TeamPlans in a JSON document ``{"teams": [...]}``.

    Raises
    ------
    LoadPlanError
        If it isn't one.
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
