"""Start of the load tool against a deployment."""

from dataclasses import dataclass
from pathlib import Path

import orjson

from .catalogue import make_load_teams
from .programs import Program

LOAD_MODULE = "balsamspoke_standins.load"


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """Options of the load tool.

    Attributes
    ----------
    rate : float
        Requests a second.
    seconds : float
        Duration of the load.
    bookings : float
        Fraction of the requests that go to the booking service.
    seed : int
        Seed of the load plan.
    health_interval : float
        Seconds between two readiness checks of an entry process; 0 for none.
    output : str
        Format of the report, ``text`` or ``json``.
    """

    rate: float
    seconds: float
    bookings: float
    seed: int
    health_interval: float = 0.0
    output: str = "text"


def start_load(options, deployment, catalogue, directory):
    """Start the load tool against a deployment; return its Program.

    Parameters
    ----------
    options : LoadOptions
        Amount and kind of the load.
    deployment : Deployment
        Running deployment.
    catalogue : DemoCatalogue
        Teams, keys and adapters of the requests.
    directory : Path
        Directory of the load plan and the log.
    """
    plan = Path(directory) / "load-plan.json"
    plan.write_bytes(orjson.dumps({"teams": make_load_teams(catalogue)}))
    arguments = [
        *(f"--entry={url}" for url in deployment.entry_urls),
        f"--plan={plan}",
        f"--rate={options.rate}",
        f"--duration={options.seconds}",
        f"--bookings={options.bookings}",
        f"--seed={options.seed}",
        f"--health-interval={options.health_interval}",
        f"--output={options.output}",
        "--verify",
    ]
    return Program.start("load", LOAD_MODULE, arguments, directory)
