"""Continuous load through a balancer, and planned replacement of VMs under it."""

from .checkers import expect_answers, is_same_run
from .fleet import DOMAINS

STEP_SECONDS = 0.1
HEALTH_CHECK_STEPS = 10
BOOKING_INTERVAL_STEPS = 4
ADAPTER_COUNT = 8
TOKEN_COUNTS = (1, 5, 40, 150)
DRAIN_LIMIT_SECONDS = 400
READY_LIMIT_SECONDS = 30


class BalancedLoad:
    """Callers behind a balancer that asks the entries for readiness.

    Parameters
    ----------
    fleet : Fleet
        Where the requests go.

    Attributes
    ----------
    ready : list of str
        Entry VMs that the last health check found ready.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.ready = []
        self._steps = 0

    def check_health(self):
        """Ask all entries whether they are ready."""
        self.ready = [vm for vm in self.fleet.entries() if self._is_ready(vm)]

    def run(self, seconds):
        """Send a request in each step, for some time."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def step(self):
        """Send a request to an entry and let time pass."""
        if self._steps % HEALTH_CHECK_STEPS == 0:
            self.check_health()
        number = self._steps
        self._steps += 1
        entry = self.ready[number % len(self.ready)]
        if number % BOOKING_INTERVAL_STEPS == 0:
            self.fleet.book(entry)
        else:
            adapter = f"adapter-{number % ADAPTER_COUNT}"
            key = f"{self.fleet.find_owner(adapter)}-key"
            tokens = TOKEN_COUNTS[number % 7 % len(TOKEN_COUNTS)]
            self.fleet.complete(entry, adapter, key, tokens, stream=number % 3 > 0)
        self.fleet.advance(STEP_SECONDS)

    def _is_ready(self, vm):
        machine = self.fleet.machines[vm]
        return (
            machine.is_running and not machine.clock.is_paused and machine.node.is_ready
        )


class RollingReplacement:
    """Planned stops of VMs, each with a new VM in its place, under load.

    Parameters
    ----------
    load : BalancedLoad
        Goes on meanwhile.
    is_listed : bool
        Whether the VM list also tells of each leaving VM.
    """

    def __init__(self, load, is_listed=True):
        self.load = load
        self.fleet = load.fleet
        self._is_listed = is_listed

    def replace_all(self):
        """Replace every VM, one after the other."""
        for vm in list(self.fleet.machines):
            self.replace(vm)

    def replace(self, vm):
        """Start a new VM, drain the old one, and take it away."""
        fleet = self.fleet
        record = fleet.machines[vm].record
        domain_index = DOMAINS.index(record.failure_domain)
        new = fleet.add_machine(record.role, record.service, domain_index)
        fleet.publish_vms()
        fleet.start(new)
        self._wait_until_ready(new)
        self.load.run(3)
        self.stop(vm)
        return new

    def _wait_until_ready(self, vm):
        """Wait for a new VM as operators do."""
        node = self.fleet.node(vm)
        deadline = self.fleet.time.elapsed.total_seconds() + READY_LIMIT_SECONDS
        while not node.is_ready:
            assert self.fleet.time.elapsed.total_seconds() < deadline, f"{vm} not ready"
            self.load.step()

    def stop(self, vm):
        """Drain a VM under load and take it away once it has ended."""
        fleet = self.fleet
        if self._is_listed:
            fleet.mark_leaving(vm)
        ended = []
        fleet.node(vm).drain().addBoth(ended.append)
        deadline = fleet.time.elapsed.total_seconds() + DRAIN_LIMIT_SECONDS
        while not ended and fleet.time.elapsed.total_seconds() < deadline:
            self.load.step()
        assert ended, f"{vm} did not end"
        fleet.node(vm).stop()
        fleet.remove_machine(vm)
        fleet.publish_vms()


def find_incomplete_answers(fleet, is_excused=lambda sent: False):
    """Give the requests that were not answered whole."""
    return [
        f"{describe(sent)} got {sent.responder.status} {sent.responder.code}"
        for sent in fleet.sent
        if not is_answered(sent) and not is_excused(sent)
    ]


def is_answered(sent):
    """Tell whether a caller got its whole and right answer."""
    responder = sent.responder
    if sent.is_booking:
        return not responder.is_open and responder.status == 200
    return responder.is_whole and responder.text in expect_answers(sent)


def describe(sent):
    """Name a request for a message."""
    kind = "booking" if sent.is_booking else "request"
    return f"{kind} {sent.number} of {sent.at} at {sent.entry}"


def make_lost_entry_check(fleet, vm):
    """Return a check of requests that a killed entry took with it."""
    return lambda sent: sent.entry == vm and not is_same_run(fleet, sent)
