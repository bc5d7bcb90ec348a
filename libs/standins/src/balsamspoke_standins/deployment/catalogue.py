"""Catalogue of the small deployment, and the teams of its load."""

import secrets
from dataclasses import dataclass

from balsamspoke_catalogue import digest_key
from balsamspoke_types.keys import KEY_RANDOM_BYTES, format_key
from balsamspoke_types.objects import (
    Adapter,
    KeyRecord,
    Model,
    PlainService,
    PriorityClass,
    ServiceCall,
    Team,
)

MODEL = "assistente-porto"
SERVICE = "balcao-reservas"
TEAM_RATES = {
    "prefeitura": 6000.0,
    "hotel-carneiros": 4000.0,
    "marina-rio-formoso": 2000.0,
    "escola-de-pesca": 800.0,
    "quiosque": 400.0,
}
BURST_SECONDS = 10
PRIORITY_CLASSES = tuple(PriorityClass)


@dataclass(frozen=True, slots=True)
class DemoCatalogue:
    """Objects of a catalogue, with the API keys of its teams.

    Attributes
    ----------
    objects : tuple
        Catalogue objects.
    keys : dict of str
        API key of each team, by team name.
    """

    objects: tuple
    keys: dict


def make_catalogue(adapters, slots, batch):
    """Return a DemoCatalogue with adapters spread evenly over the teams.

    Parameters
    ----------
    adapters : int
        Number of adapters.
    slots : int
        Adapter slots of each replica.
    batch : int
        Batch size of each replica.
    """
    teams = tuple(
        Team(name, rate, int(rate * BURST_SECONDS)) for name, rate in TEAM_RATES.items()
    )
    keys = {
        team.name: format_key(secrets.token_urlsafe(KEY_RANDOM_BYTES)) for team in teams
    }
    key_records = tuple(
        KeyRecord(f"{name}-1", name, digest_key(key)) for name, key in keys.items()
    )
    calls = (
        ServiceCall("POST", "/bookings", False),
        ServiceCall("DELETE", "/bookings", False),
    )
    names = tuple(keys)
    return DemoCatalogue(
        objects=(
            Model(MODEL, adapter_slots=slots, batch_size=batch),
            PlainService(SERVICE, names, calls),
            *teams,
            *key_records,
            *(_make_adapter(number, names) for number in range(adapters)),
        ),
        keys=keys,
    )


def make_load_teams(catalogue):
    """Return the teams of the load tool's plan, as dicts for JSON."""
    rates = TEAM_RATES
    adapters = [item for item in catalogue.objects if isinstance(item, Adapter)]
    return [
        {
            "name": name,
            "key": key,
            "adapters": [
                f"{adapter.name}:{adapter.default_version}"
                for adapter in adapters
                if adapter.team == name
            ],
            "service": SERVICE,
            "share": rates[name],
        }
        for name, key in catalogue.keys.items()
    ]


def _make_adapter(number, teams):
    team = teams[number % len(teams)]
    return Adapter(
        f"{team}-{number}",
        team,
        MODEL,
        1,
        (1,),
        PRIORITY_CLASSES[number % len(PRIORITY_CLASSES)],
    )
