"""A load tool: send completions and bookings to entry processes, and print a report.

The plan is a JSON file ``{"teams": [{"name", "key", "adapters": ["a:1", ...],
"service", "share"}, ...]}``. The exit status is 1 if a response was wrong, too short or
broken, or if no request was answered.
"""

import argparse
import random
import sys
from pathlib import Path

import orjson
from balsamspoke_platform import HttpClient, build_agent

from .load_balancer import Balancer
from .load_plan import LoadPlan, LoadSettings, read_teams
from .load_report import format_report, make_report
from .load_run import LoadRun
from .serving import get_reactor

MAX_IDLE_CONNECTIONS = 1024


def make_parser():
    """Return the load tool's ArgumentParser."""
    defaults = LoadSettings()
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--entry", action="append", required=True, metavar="URL")
    parser.add_argument("--plan", required=True, type=Path, metavar="FILE")
    parser.add_argument("--rate", type=float, default=defaults.rate)
    parser.add_argument("--duration", type=float, default=defaults.duration)
    parser.add_argument("--zipf", type=float, default=defaults.zipf_exponent)
    parser.add_argument("--bookings", type=float, default=defaults.booking_ratio)
    parser.add_argument("--max-tokens", type=int, default=defaults.max_tokens)
    parser.add_argument("--timeout", type=float, default=defaults.timeout)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--verify", action="store_true")
    parser.add_argument(
        "--health-interval",
        type=float,
        default=0.0,
        metavar="SECONDS",
        help="time between readiness checks; only ready entries get requests",
    )
    parser.add_argument("--output", choices=("text", "json"), default="text")
    return parser


def main():
    """Run the load tool and exit."""
    arguments = make_parser().parse_args()
    settings = LoadSettings(
        rate=arguments.rate,
        duration=arguments.duration,
        zipf_exponent=arguments.zipf,
        booking_ratio=arguments.bookings,
        max_tokens=arguments.max_tokens,
        timeout=arguments.timeout,
        should_verify=arguments.verify,
    )
    teams = read_teams(arguments.plan.read_bytes())
    plan = LoadPlan(teams, settings, random.Random(arguments.seed))
    reactor = get_reactor()
    agent = build_agent(reactor, MAX_IDLE_CONNECTIONS)
    clients = [HttpClient(agent, reactor, url) for url in arguments.entry]
    balancer = Balancer(reactor, clients, arguments.health_interval)
    balancer.start()
    run = LoadRun(reactor, balancer.ready, plan)
    run.start().addBoth(lambda _: reactor.stop())
    reactor.run()
    report = make_report(run.tallies)
    print_report(report, arguments.output)
    sys.exit(0 if is_successful(report) else 1)


def print_report(report, output):
    """Print a report as text or JSON."""
    if output == "json":
        print(orjson.dumps(report, option=orjson.OPT_INDENT_2).decode())
    else:
        print(format_report(report))


def is_successful(report):
    """Return whether requests were answered, and none wrong, too short or broken."""
    total = report["(all)"]
    failures = total["wrong"] + total["short"] + sum(total["broken"].values())
    return total["answered"] > 0 and failures == 0


if __name__ == "__main__":
    main()
