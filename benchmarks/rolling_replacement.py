"""Restart each entry and side process of a deployment under load.

The processes run on loopback. One after the other, each is stopped with SIGTERM and
started again, while the load tool sends requests to the entry processes that are ready.
The benchmark prints the outcomes of the requests and the duration of each stop. The
exit status is 1 if a request was refused, broken off or answered wrongly, or if a
program failed.
"""

import argparse
import statistics
import sys
import tempfile
import time
from datetime import timedelta

import orjson
from balsamspoke_standins.deployment import (
    Deployment,
    DeploymentPlan,
    LoadOptions,
    ProgramFailed,
    make_catalogue,
    start_load,
)

ADAPTERS = 40
HEALTH_INTERVAL_SECONDS = 0.25
RUN_TIMEOUT_SECONDS = 90.0
LOAD_SECONDS = 55.0
RESTART_INTERVAL_SECONDS = 1.0
WARM_UP_SECONDS = 3.0


def make_parser():
    """Return the argument parser."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rate", type=float, default=20.0, help="requests a second")
    parser.add_argument(
        "--bookings",
        type=float,
        default=0.3,
        help="fraction of the requests that are bookings",
    )
    parser.add_argument(
        "--seconds", type=float, default=LOAD_SECONDS, help="duration of the load"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--pause",
        type=float,
        default=RESTART_INTERVAL_SECONDS,
        metavar="SECONDS",
        help="from the readiness of a restarted process to the next stop",
    )
    return parser


def main():
    """Run the benchmark; return the exit status."""
    options = make_parser().parse_args()
    with tempfile.TemporaryDirectory(prefix="balsamspoke-rolling-") as directory:
        return run(options, directory)


def run(options, directory):
    """Restart the processes of a deployment under load; return the exit status."""
    deadline = time.monotonic() + RUN_TIMEOUT_SECONDS
    plan = DeploymentPlan(entries=2, engines=2, services=2)
    catalogue = make_catalogue(ADAPTERS, plan.slots, plan.batch)
    deployment = Deployment(plan, directory)
    load = None
    problems = []
    try:
        deployment.start(catalogue.objects)
        load = start_load(make_load_options(options), deployment, catalogue, directory)
        time.sleep(WARM_UP_SECONDS)
        problems += restart_all(deployment, load, options.pause)
        remaining_seconds = max(1.0, deadline - time.monotonic())
        load.wait(timedelta(seconds=remaining_seconds))
        problems += report(orjson.loads(load.log.read_bytes())["(all)"])
    except (ProgramFailed, orjson.JSONDecodeError) as error:
        problems.append(str(error))
    finally:
        if load is not None:
            load.terminate()
        problems += deployment.stop()
    for problem in problems:
        print(f"trouble: {problem}")
    return 1 if problems else 0


def make_load_options(options):
    """Return the LoadOptions for the command line options."""
    return LoadOptions(
        options.rate,
        options.seconds,
        options.bookings,
        options.seed,
        HEALTH_INTERVAL_SECONDS,
        "json",
    )


def restart_all(deployment, load, pause):
    """Restart each entry and side process in turn; return a list of problems."""
    names = [program.name for program in (*deployment.entries, *deployment.sides)]
    seconds = []
    for name in names:
        stop_seconds = deployment.restart(name).total_seconds()
        seconds.append(stop_seconds)
        print(f"{name} ended in {stop_seconds:.1f} s", flush=True)
        time.sleep(pause)
    median, longest = statistics.median(seconds), max(seconds)
    print(f"{len(names)} stops: median {median:.1f} s, longest {longest:.1f} s")
    if load.process.poll() is not None:
        return ["the load tool ended before the last restart"]
    return []


def report(total):
    """Print the request counts by outcome; return a list of problems."""
    refused = sum(total["refused"].values())
    broken = sum(total["broken"].values())
    wrong = total["wrong"] + total["short"]
    print(f"requests {total['requests']}, answered {total['answered']},")
    print(f"refused {refused} {total['refused']}, broken {broken} {total['broken']},")
    print(f"wrong or short {wrong}, repeats by the caller {total['repeats']}")
    if refused + broken + wrong or total["answered"] != total["requests"]:
        return ["not every request was answered completely and correctly"]
    return []


if __name__ == "__main__":
    sys.exit(main())
