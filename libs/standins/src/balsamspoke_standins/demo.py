"""Run a small deployment on loopback, send load to it and print a report."""

import argparse
import sys
import tempfile
from datetime import timedelta
from pathlib import Path

from .deployment import (
    Deployment,
    DeploymentPlan,
    LoadOptions,
    ProgramFailed,
    make_catalogue,
    start_load,
)
from .stall_report import format_stalls, read_stalls

LOAD_TIMEOUT_MARGIN = timedelta(seconds=60)
MINIMUM_ANSWERED = 0.9


def make_parser():
    """Return the argument parser of the demo."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--seconds", type=float, default=15.0, help="duration of the load"
    )
    parser.add_argument("--rate", type=float, default=20.0, help="requests a second")
    parser.add_argument("--adapters", type=int, default=300)
    parser.add_argument("--engines", type=int, default=5)
    parser.add_argument("--services", type=int, default=3)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument(
        "--bookings", type=float, default=0.15, help="fraction of requests"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--keep-logs", metavar="DIRECTORY", help="where to keep the logs"
    )
    return parser


def main():
    """Run the demo and return the exit status."""
    options = make_parser().parse_args()
    if options.keep_logs:
        Path(options.keep_logs).mkdir(parents=True, exist_ok=True)
        return _run(options, options.keep_logs)
    with tempfile.TemporaryDirectory(prefix="balsamspoke-demo-") as directory:
        return _run(options, directory)


def _run(options, directory):
    plan = DeploymentPlan(
        entries=options.entries, engines=options.engines, services=options.services
    )
    catalogue = make_catalogue(options.adapters, plan.slots, plan.batch)
    deployment = Deployment(plan, directory)
    problems = []
    print(f"starting {plan.entries} entry processes, {plan.engines} engines and")
    print(f"{plan.services} booking services with their side processes", flush=True)
    try:
        deployment.start(catalogue.objects)
        print(f"sending {options.rate} requests a second for {options.seconds} s")
        report = _send_load(options, deployment, catalogue, directory)
        print(report.decode(), flush=True)
        print(format_stalls(read_stalls(deployment.status_urls.values())), flush=True)
    except (ProgramFailed, OSError) as error:
        problems.append(str(error))
    print("stopping all processes", flush=True)
    problems += deployment.stop()
    for problem in problems:
        print(f"error: {problem}", file=sys.stderr)
    print("failed" if problems else "done")
    return 1 if problems else 0


def _send_load(options, deployment, catalogue, directory):
    plan = LoadOptions(options.rate, options.seconds, options.bookings, options.seed)
    load = start_load(plan, deployment, catalogue, directory)
    status = load.wait(timedelta(seconds=options.seconds) + LOAD_TIMEOUT_MARGIN)
    if status != 0:
        raise ProgramFailed(
            f"the load tool exited with status {status}:\n{load.read_log()}"
        )
    return load.log.read_bytes()


if __name__ == "__main__":
    sys.exit(main())
