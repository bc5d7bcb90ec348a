"""Continuous load through a load balancer, and rolling replacement of VMs."""

from .checkers import get_expected_texts, is_same_run
from .fleet import DOMAINS

STEP_SECONDS = 0.1
HEALTH_CHECK_STEPS = 10
BOOKING_INTERVAL_STEPS = 4
ADAPTER_COUNT = 8
TOKEN_COUNTS = (1, 5, 40, 150)
DRAIN_TIMEOUT_SECONDS = 400
READY_TIMEOUT_SECONDS = 30


class BalancedLoad:
    """Callers behind a load balancer with health checks of the entries.

    Parameters
    ----------
    fleet : Fleet
        Fleet that the requests are sent to.

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
        """Check the readiness of all entries."""
        self.ready = [vm for vm in self.fleet.entries() if self._is_ready(vm)]

    def run(self, seconds):
        """Send a request in each step for the given time."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def step(self):
        """Send a request to a ready entry and advance the time by a step."""
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
    """Rolling replacement of VMs under load, by planned stops.

    Parameters
    ----------
    load : BalancedLoad
        Load that continues during the replacement.
    is_listed : bool
        Whether each VM is marked as leaving in the VM list before it drains.
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
        """Start a new VM, then drain and remove the old one."""
        fleet = self.fleet
        record = fleet.machines[vm].record
        domain_index = DOMAINS.index(record.failure_domain)
        replacement = fleet.add_machine(record.role, record.service, domain_index)
        fleet.publish_vms()
        fleet.start(replacement)
        self._wait_until_ready(replacement)
        self.load.run(3)
        self.stop(vm)
        return replacement

    def _wait_until_ready(self, vm):
        """Wait until the process on a new VM is ready, as operators do."""
        node = self.fleet.node(vm)
        deadline = self.fleet.time.elapsed.total_seconds() + READY_TIMEOUT_SECONDS
        while not node.is_ready:
            assert self.fleet.time.elapsed.total_seconds() < deadline, (
                f"{vm} is not ready in time"
            )
            self.load.step()

    def stop(self, vm):
        """Drain a VM under load and remove it once it is drained."""
        fleet = self.fleet
        if self._is_listed:
            fleet.mark_leaving(vm)
        ended = []
        fleet.node(vm).drain().addBoth(ended.append)
        deadline = fleet.time.elapsed.total_seconds() + DRAIN_TIMEOUT_SECONDS
        while not ended and fleet.time.elapsed.total_seconds() < deadline:
            self.load.step()
        assert ended, f"{vm} did not drain in time"
        fleet.node(vm).stop()
        fleet.remove_machine(vm)
        fleet.publish_vms()


def find_incomplete_answers(fleet, is_excused=lambda sent: False):
    """Return the requests without a complete and correct answer."""
    return [
        f"{describe(sent)} got {sent.responder.status} {sent.responder.code}"
        for sent in fleet.sent
        if not is_answered(sent) and not is_excused(sent)
    ]


def is_answered(sent):
    """Return whether a request got its complete and correct answer."""
    responder = sent.responder
    if sent.is_booking:
        return not responder.is_open and responder.status == 200
    return responder.is_whole and responder.text in get_expected_texts(sent)


def describe(sent):
    """Describe a request for an assertion message."""
    kind = "booking" if sent.is_booking else "request"
    return f"{kind} {sent.number} of {sent.at} at {sent.entry}"


def make_lost_entry_check(fleet, vm):
    """Return a predicate of the requests lost with the entry process on a VM."""
    return lambda sent: sent.entry == vm and not is_same_run(fleet, sent)
