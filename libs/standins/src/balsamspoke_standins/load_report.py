"""Results of the load tool by team, and their report."""

from array import array
from collections import Counter
from dataclasses import dataclass, field

_MILLISECONDS_PER_SECOND = 1000
_ALL_TEAMS = "(all)"


@dataclass
class TeamTally:
    """Counts and latencies of one team.

    Attributes
    ----------
    requests : int
        Requests sent, without retries.
    answered : int
        Requests with a complete and correct response.
    refused : Counter
        Completions with an error status, and calls to plain services that failed at
        every attempt; by cause.
    broken : Counter
        Completions that failed in any other way, by cause.
    wrong : int
        Completions whose text differs from the expected one.
    short : int
        Complete streams with too few tokens.
    tokens : int
        Tokens received.
    bookings : int
        Bookings made.
    repeats : int
        Retries of calls to plain services.
    first_token : array of float
        Seconds from a request to its first token.
    between_tokens : array of float
        Seconds between consecutive tokens, averaged over the tokens of one event.
    """

    requests: int = 0
    answered: int = 0
    refused: Counter = field(default_factory=Counter)
    broken: Counter = field(default_factory=Counter)
    wrong: int = 0
    short: int = 0
    tokens: int = 0
    bookings: int = 0
    repeats: int = 0
    first_token: array = field(default_factory=lambda: array("d"))
    between_tokens: array = field(default_factory=lambda: array("d"))

    def add(self, other):
        """Add another tally to this one."""
        for name in (
            "requests",
            "answered",
            "wrong",
            "short",
            "tokens",
            "bookings",
            "repeats",
        ):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.refused += other.refused
        self.broken += other.broken
        self.first_token.extend(other.first_token)
        self.between_tokens.extend(other.between_tokens)


def find_quantile(values, fraction):
    """Return a quantile by nearest rank, or None if there are no values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def make_report(tallies):
    """Return the report as a dict for JSON, by team and for all teams together."""
    total = TeamTally()
    for tally in tallies.values():
        total.add(tally)
    all_tallies = {**tallies, _ALL_TEAMS: total}
    return {name: _make_team_report(tally) for name, tally in all_tallies.items()}


def format_report(report):
    """Return a report as a table."""
    rows = [_HEADINGS, *(_make_row(name, team) for name, team in report.items())]
    widths = [max(map(len, column)) for column in zip(*rows)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) if position == 0 else cell.rjust(width)
            for position, (cell, width) in enumerate(zip(row, widths))
        ).rstrip()
        for row in rows
    )


_HEADINGS = (
    "team",
    "requests",
    "answered",
    "refused",
    "broken",
    "wrong",
    "short",
    "bookings",
    "first p50 ms",
    "first p95 ms",
    "between p95 ms",
    "causes",
)


def _make_row(name, team):
    causes = Counter(team["refused"]) + Counter(team["broken"])
    return (
        name,
        str(team["requests"]),
        str(team["answered"]),
        str(sum(team["refused"].values())),
        str(sum(team["broken"].values())),
        str(team["wrong"]),
        str(team["short"]),
        str(team["bookings"]),
        _format_milliseconds(team["first_token_p50_ms"]),
        _format_milliseconds(team["first_token_p95_ms"]),
        _format_milliseconds(team["between_tokens_p95_ms"]),
        " ".join(f"{cause}={count}" for cause, count in causes.most_common()) or "-",
    )


def _make_team_report(tally):
    return {
        "requests": tally.requests,
        "answered": tally.answered,
        "refused": dict(tally.refused),
        "broken": dict(tally.broken),
        "wrong": tally.wrong,
        "short": tally.short,
        "tokens": tally.tokens,
        "bookings": tally.bookings,
        "repeats": tally.repeats,
        "first_token_p50_ms": _to_milliseconds(find_quantile(tally.first_token, 0.5)),
        "first_token_p95_ms": _to_milliseconds(find_quantile(tally.first_token, 0.95)),
        "between_tokens_p95_ms": _to_milliseconds(
            find_quantile(tally.between_tokens, 0.95)
        ),
    }


def _to_milliseconds(seconds):
    return None if seconds is None else round(seconds * _MILLISECONDS_PER_SECOND, 1)


def _format_milliseconds(number):
    return "-" if number is None else f"{number:.1f}"
