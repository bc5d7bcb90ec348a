"""A small deployment of local processes on loopback, for the demo and benchmarks."""

from .addresses import Addresses
from .catalogue import make_catalogue, make_load_teams
from .fleet import Deployment, DeploymentPlan
from .load import LoadOptions, start_load
from .programs import Program, ProgramFailed

__all__ = [
    "Addresses",
    "Deployment",
    "DeploymentPlan",
    "LoadOptions",
    "Program",
    "ProgramFailed",
    "make_catalogue",
    "make_load_teams",
    "start_load",
]
