"""Harness that runs the tool's commands against fakes in virtual time."""

import io
import itertools
import random
import tempfile
from datetime import timedelta
from pathlib import Path

import orjson
from balsamspoke_ctl.command import run_command
from balsamspoke_ctl.context import Context
from balsamspoke_ctl.exceptions import ProcessUnreachable
from balsamspoke_ctl.fleet import Fleet, StatusClient
from balsamspoke_ctl.output import Output
from balsamspoke_ctl.parser import make_parser
from balsamspoke_ctl.shares import MetricsClient
from balsamspoke_ctl.writing import ChangeWriter
from balsamspoke_fakes import (
    FakeStore,
    FakeVmList,
    StoreState,
    VirtualClock,
    VirtualTime,
    VmListState,
)
from balsamspoke_types.ports import VmRecord, VmState
from twisted.internet.defer import fail, succeed

CATALOGUE = """\
- kind: teams
  name: hotel
  rate: 100
  burst: 1000
- kind: models
  name: porto
- kind: adapters
  name: tides
  team: hotel
  model: porto
  default_version: 1
  versions: [1, 2]
"""


class FakeStatusClient(StatusClient):
    """Status client with documents by VM id and path; other VMs are unreachable."""

    def __init__(self):
        self.documents = {}

    def fetch_document(self, vm, path):
        if vm.vm not in self.documents:
            return fail(ProcessUnreachable(vm.vm))
        return succeed(self.documents[vm.vm].get(path))


class FakeMetricsClient(MetricsClient):
    """Metrics client with pages by address; other addresses are unreachable."""

    def __init__(self):
        self.pages = {}

    def read(self, address):
        if address not in self.pages:
            return fail(ProcessUnreachable(f"{address}: refused"))
        return succeed(self.pages[address])


class CtlHarness:
    """A fake platform on which commands run."""

    def __init__(self, test):
        self.time = VirtualTime()
        self.clock = VirtualClock(self.time)
        self.state = StoreState()
        self.vms = VmListState(self.time)
        self.status = FakeStatusClient()
        self.metrics = FakeMetricsClient()
        folder = tempfile.TemporaryDirectory()
        test.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self._runs = itertools.count()

    def write(self, text, name="catalogue.yaml"):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def add_vm(self, name, role="entry", service="", state=VmState.LIVE):
        record = VmRecord(name, "127.0.0.1:1", "r", "shari", role, service, state)
        self.vms.set([*self.vms.get_visible(), record])

    def start(self, *arguments, seed=0):
        """Start a command with operation ids that differ from those of other runs."""
        return _Run(self, arguments, f"{seed}-{next(self._runs)}")

    def run(self, *arguments):
        """Run a command; return its exit code, printed results and printed problems."""
        run = self.start(*arguments)
        self.time.advance(timedelta(minutes=5))
        return run.get_outcome()

    def run_json(self, *arguments):
        code, results, _ = self.run("--output", "json", *arguments)
        return code, [orjson.loads(line) for line in results.splitlines()]


class _Run:
    def __init__(self, harness, arguments, seed):
        self.store = FakeStore(harness.state, harness.clock, random.Random(seed))
        self.results, self.problems = io.StringIO(), io.StringIO()
        parsed = make_parser({}).parse_args(arguments)
        clock = harness.clock
        writer = ChangeWriter(self.store, clock, random.Random(seed), parsed.timeout)
        vm_list = FakeVmList(harness.vms, clock)
        output = Output(parsed.output == "json", self.results, self.problems)
        context = Context(
            store=self.store,
            fleet=Fleet(vm_list, harness.status, clock),
            writer=writer,
            metrics=harness.metrics,
            output=output,
            timeout=parsed.timeout,
        )
        self._outcomes = []
        run_command(parsed, context).addBoth(self._outcomes.append)

    def get_outcome(self):
        if hasattr(self._outcomes[0], "raiseException"):
            self._outcomes[0].raiseException()
        return self._outcomes[0], self.results.getvalue(), self.problems.getvalue()
