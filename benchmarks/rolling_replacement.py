"""Stop and start every entry and side process of a deployment under load.

The processes run on loopback. Each is stopped by SIGTERM, one after the other, and
started again, while the load tool sends to the entries that are ready. Prints what
became of the requests and how long the stops took; the exit status is 1 if a request
was refused, broken off, or answered wrongly.
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
LIMIT_SECONDS = 90.0
LOAD_SECONDS = 55.0
PAUSE_SECONDS = 1.0
WARM_UP_SECONDS = 3.0


def make_parser():
    """Return the argument parser."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rate", type=float, default=20.0, help="requests a second")
    parser.add_argument("--bookings", type=float, default=0.3, help="part of requests")
    parser.add_argument("--seconds", type=float, default=LOAD_SECONDS, help="of load")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--pause",
        type=float,
        default=PAUSE_SECONDS,
        metavar="SECONDS",
        help="between a process being started again and the next stop",
    )
    return parser


def main():
    """Run it; return the exit status."""
    options = make_parser().parse_args()
    with tempfile.TemporaryDirectory(prefix="balsamspoke-rolling-") as directory:
        return run(options, directory)


def run(options, directory):
    """Start a deployment, replace its processes under load, and report."""
    end = time.monotonic() + LIMIT_SECONDS
    plan = DeploymentPlan(entries=2, engines=2, services=2)
    catalogue = make_catalogue(ADAPTERS, plan.slots, plan.batch)
    deployment = Deployment(plan, directory)
    load = None
    troubles = []
    try:
        deployment.start(catalogue.objects)
        load = start_load(make_load(options), deployment, catalogue, directory)
        time.sleep(WARM_UP_SECONDS)
        troubles += replace_all(deployment, load, options.pause)
        left = max(1.0, end - time.monotonic())
        load.wait(timedelta(seconds=left))
        troubles += report(orjson.loads(load.log.read_bytes())["(all)"])
    except (ProgramFailed, orjson.JSONDecodeError) as error:
        troubles.append(str(error))
    finally:
        if load is not None:
            load.terminate()
        troubles += deployment.stop()
    for trouble in troubles:
        print(f"trouble: {trouble}")
    return 1 if troubles else 0


def make_load(options):
    """Return the LoadOptions for the command's options."""
    return LoadOptions(
        options.rate,
        options.seconds,
        options.bookings,
        options.seed,
        HEALTH_INTERVAL_SECONDS,
        "json",
    )


def replace_all(deployment, load, pause):
    """Restart each entry and side process; return what went wrong."""
    names = [one.name for one in (*deployment.entries, *deployment.sides)]
    seconds = []
    for name in names:
        took = deployment.restart(name).total_seconds()
        seconds.append(took)
        print(f"{name} ended in {took:.1f} s", flush=True)
        time.sleep(pause)
    median, longest = statistics.median(seconds), max(seconds)
    print(f"{len(names)} stops: median {median:.1f} s, longest {longest:.1f} s")
    if load.process.poll() is not None:
        return ["the load ended before the last restart"]
    return []


def report(total):
    """Print the counts; return what isn't as it must be."""
    refused = sum(total["refused"].values())
    broken = sum(total["broken"].values())
    wrong = total["wrong"] + total["short"]
    print(f"requests {total['requests']}, answered {total['answered']},")
    print(f"refused {refused} {total['refused']}, broken {broken} {total['broken']},")
    print(f"wrong or short {wrong}, repeats by the caller {total['repeats']}")
    if refused + broken + wrong or total["answered"] != total["requests"]:
        return ["not every request was answered whole"]
    return []


if __name__ == "__main__":
    sys.exit(main())
