"""Generated schedules of requests and failures for a Fleet."""

from datetime import timedelta

from balsamspoke_types.identifiers import AdapterRef
from balsamspoke_types.objects import Adapter, Kind
from hypothesis import strategies as st

from .fleet import DOMAINS, MODEL, TEAMS

HEAL_SECONDS = 150

# Requests are drawn with this weight plus the number of kinds of failures; each other
# kind of action has weight 1.
REQUEST_WEIGHT = 4
INDEXES = st.integers(0, 5)
WAIT_SECONDS = st.sampled_from([0.05, 0.3, 1.0, 4.0, 15.0])


class ScheduleDriver:
    """Run the actions of a schedule on a Fleet.

    Attributes
    ----------
    hidden : set of str
        VMs of the fleet that are left out of the VM list.
    draining : set of str
        VMs whose process is draining.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.hidden = set()
        self.draining = set()

    def run(self, actions):
        """Run actions, each a tuple of a method name and its arguments."""
        for name, *arguments in actions:
            getattr(self, name)(*arguments)

    def heal(self, seconds=HEAL_SECONDS):
        """End all ongoing failures and give the fleet time to recover."""
        fleet = self.fleet
        fleet.network.heal()
        fleet.network.loss_rate = fleet.network.duplicate_rate = 0.0
        fleet.network.jitter = timedelta(0)
        fleet.store.available = True
        fleet.vms.available = True
        fleet.vms.lag = timedelta(0)
        self.hidden.clear()
        for vm, machine in list(fleet.machines.items()):
            machine.store.lost_reply_rate = machine.store.lost_event_rate = 0.0
            machine.store.reachable = machine.vm_list.reachable = True
            machine.store.stale_reads = 0
            if machine.clock.is_paused:
                machine.clock.resume()
            if not machine.is_running:
                fleet.start(vm)
            if machine.backend is not None:
                machine.backend.up = True
                machine.backend.loses_answers = False
        fleet.publish_vms()
        fleet.advance(seconds)

    def wait(self, seconds):
        self.fleet.advance(seconds)

    def complete(self, entry, adapter, version, tokens, stream):
        name = f"adapter-{adapter}" + (f":{version}" if version else "")
        key = f"{self.fleet.find_owner(f'adapter-{adapter}')}-key"
        self.fleet.complete(self._pick_entry(entry), name, key, tokens, stream)

    def request_foreign_adapter(self, entry, adapter):
        """Send a request for an adapter with another team's key."""
        owner = self.fleet.find_owner(f"adapter-{adapter}")
        other = TEAMS[1 - TEAMS.index(owner)]
        self.fleet.complete(
            self._pick_entry(entry), f"adapter-{adapter}", f"{other}-key"
        )

    def book(self, entry, idempotency):
        key = f"once-{idempotency}" if idempotency else ""
        body = b"booking-9%d." % idempotency if idempotency else b""
        self.fleet.book(self._pick_entry(entry), idempotency_key=key, body=body)

    def cancel_request(self, number):
        """Disconnect the caller of one of the last requests."""
        for sent in self.fleet.sent[-1 - number : len(self.fleet.sent) - number]:
            machine = self.fleet.machines.get(sent.entry)
            exchange = getattr(sent.responder, "exchange", None)
            is_active = machine and machine.is_running and not machine.clock.is_paused
            if exchange is not None and sent.responder.is_open and is_active:
                exchange.cancel()
                sent.responder.is_open = False

    def restart(self, number):
        vm = self._pick_vm(number)
        self.fleet.restart(vm)

    def kill(self, number):
        self.fleet.kill(self._pick_vm(number))

    def replace(self, number):
        """Remove a VM without a planned stop and start a new one in its place."""
        fleet = self.fleet
        vm = self._pick_vm(number)
        removed = fleet.remove_machine(vm).record
        domain_index = DOMAINS.index(removed.failure_domain)
        replacement = fleet.add_machine(removed.role, removed.service, domain_index)
        self.publish()
        fleet.start(replacement)

    def pause(self, number):
        self.fleet.machines[self._pick_vm(number)].clock.pause()

    def resume_all(self):
        for machine in self.fleet.machines.values():
            if machine.clock.is_paused:
                machine.clock.resume()

    def cut(self, left, right, both_ways):
        one, other = self._pick_vm(left), self._pick_vm(right)
        if one != other:
            self.fleet.network.cut.add((one, other))
            if both_ways:
                self.fleet.network.cut.add((other, one))

    def cut_domain(self, number):
        inside, outside = [], []
        for vm, machine in self.fleet.machines.items():
            is_inside = machine.record.failure_domain == DOMAINS[number % len(DOMAINS)]
            (inside if is_inside else outside).append(vm)
        self.fleet.network.cut_between(inside, outside)

    def heal_network(self):
        self.fleet.network.heal()

    def degrade_network(self, loss, double, jitter):
        network = self.fleet.network
        network.loss_rate, network.duplicate_rate = loss, double
        network.jitter = timedelta(milliseconds=jitter)

    def stop_store(self, available):
        self.fleet.store.available = available
        if not available:
            for machine in self.fleet.machines.values():
                if machine.is_running:
                    machine.store.end_watches()

    def cut_from_store(self, number):
        machine = self.fleet.machines[self._pick_vm(number)]
        machine.store.reachable = False
        machine.store.end_watches()

    def degrade_store(self, number, lost, stale, lost_events):
        store = self.fleet.machines[self._pick_vm(number)].store
        store.lost_reply_rate = lost
        store.lost_event_rate = lost_events
        store.stale_reads = stale
        store.duplicates_events = True

    def delay_vm_list(self, seconds):
        self.fleet.vms.lag = timedelta(seconds=seconds)

    def hide_vm(self, number):
        """Remove a live VM from the VM list until ``show_vms`` or ``heal``."""
        self.hidden.add(self._pick_vm(number))
        self.publish()

    def show_vms(self):
        self.hidden.clear()
        self.publish()

    def publish(self):
        self.fleet.vms.set(
            [
                machine.record
                for vm, machine in self.fleet.machines.items()
                if vm not in self.hidden
            ]
        )

    def restart_engine(self, number):
        self._pick(self.fleet.engines, number).restart()

    def fail_loads(self, number, adapter):
        engine = self._pick(self.fleet.engines, number)
        engine.failing ^= {AdapterRef(f"adapter-{adapter}", 1)}

    def stop_service(self, number, up, loses_answers):
        service = self._pick(self.fleet.services, number)
        service.up, service.loses_answers = up, loses_answers

    def change_adapter(self, adapter, default_version):
        name = f"adapter-{adapter}"
        team = self.fleet.find_owner(name)
        changed = Adapter(name, team, MODEL, default_version, (1, 2))
        self.fleet.put(Kind.ADAPTER, name, changed)

    def drain(self, number):
        """Drain a process, and restart it once it is drained."""
        vm = self._pick_vm(number)
        machine = self.fleet.machines[vm]
        if vm in self.draining or not machine.is_running or machine.clock.is_paused:
            return
        self.draining.add(vm)
        started_at = machine.started_at
        stopped = machine.node.drain()
        stopped.addBoth(lambda _: self._end_drain(vm, started_at))

    def _end_drain(self, vm, started_at):
        self.draining.discard(vm)
        machine = self.fleet.machines.get(vm)
        if machine is not None and machine.started_at == started_at:
            machine.node.stop()
            self.fleet.restart(vm)

    def _pick_entry(self, number):
        return self._pick(self.fleet.entries(), number)

    def _pick_vm(self, number):
        return self._pick(list(self.fleet.machines), number)

    @staticmethod
    def _pick(things, number):
        return things[number % len(things)]


_RATES = st.sampled_from([0.0, 0.1, 0.5])
_FLAGS = st.booleans()
_VM_INDEXES = st.integers(0, 20)

REQUESTS = st.one_of(
    st.tuples(
        st.just("complete"),
        INDEXES,
        st.integers(0, 7),
        st.integers(0, 2),
        st.sampled_from([1, 5, 40]),
        _FLAGS,
    ),
    st.tuples(st.just("book"), INDEXES, st.integers(0, 4)),
    st.tuples(st.just("wait"), WAIT_SECONDS),
)
MINOR_EVENTS = st.one_of(
    st.tuples(st.just("request_foreign_adapter"), INDEXES, INDEXES),
    st.tuples(st.just("cancel_request"), INDEXES),
    st.tuples(st.just("change_adapter"), INDEXES, st.integers(1, 2)),
)
PROCESS_FAILURES = st.one_of(
    st.tuples(st.just("restart"), _VM_INDEXES),
    st.tuples(st.just("kill"), _VM_INDEXES),
    st.tuples(st.just("replace"), _VM_INDEXES),
    st.tuples(st.just("pause"), _VM_INDEXES),
    st.tuples(st.just("resume_all")),
    st.tuples(st.just("drain"), _VM_INDEXES),
)
NETWORK_FAILURES = st.one_of(
    st.tuples(st.just("cut"), _VM_INDEXES, _VM_INDEXES, _FLAGS),
    st.tuples(st.just("cut_domain"), INDEXES),
    st.tuples(st.just("heal_network")),
    st.tuples(
        st.just("degrade_network"), _RATES, _RATES, st.sampled_from([0, 50, 3000])
    ),
)
PLATFORM_FAILURES = st.one_of(
    st.tuples(st.just("stop_store"), _FLAGS),
    st.tuples(st.just("cut_from_store"), _VM_INDEXES),
    st.tuples(
        st.just("degrade_store"),
        _VM_INDEXES,
        _RATES,
        st.sampled_from([0, 2, 10]),
        _RATES,
    ),
    st.tuples(st.just("delay_vm_list"), st.sampled_from([0, 3, 8])),
    st.tuples(st.just("hide_vm"), _VM_INDEXES),
    st.tuples(st.just("show_vms")),
)
BACKEND_FAILURES = st.one_of(
    st.tuples(st.just("restart_engine"), INDEXES),
    st.tuples(st.just("fail_loads"), INDEXES, INDEXES),
    st.tuples(st.just("stop_service"), INDEXES, _FLAGS, _FLAGS),
)
ALL_FAILURES = (
    PROCESS_FAILURES,
    NETWORK_FAILURES,
    PLATFORM_FAILURES,
    BACKEND_FAILURES,
)


def draw_schedules(*failures, size=40):
    """Return a strategy of schedules with requests and the given kinds of failures."""
    kinds = [REQUESTS] * (REQUEST_WEIGHT + len(failures)) + [MINOR_EVENTS, *failures]
    return st.lists(st.one_of(*kinds), min_size=5, max_size=size)
