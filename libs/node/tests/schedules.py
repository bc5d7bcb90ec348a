"""Generated schedules of requests and failures for a Fleet."""

from datetime import timedelta

from balsamspoke_types.identifiers import AdapterRef
from balsamspoke_types.objects import Adapter, Kind
from hypothesis import strategies as st

from .fleet import DOMAINS, MODEL, TEAMS

HEAL_SECONDS = 150

# How often each action is drawn, relative to the others.
REQUEST_WEIGHT = 4
NUMBERS = st.integers(0, 5)
PAUSES = st.sampled_from([0.05, 0.3, 1.0, 4.0, 15.0])


class ScheduleDriver:
    """Carry the actions of a schedule out on a Fleet."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.hidden = set()
        self.draining = set()

    def run(self, actions):
        """Carry out actions, each a tuple of a method's name and arguments."""
        for name, *arguments in actions:
            getattr(self, name)(*arguments)

    def heal(self, seconds=HEAL_SECONDS):
        """End all failures that last, and let the fleet recover."""
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
        self.fleet.complete(self._entry(entry), name, key, tokens, stream)

    def steal(self, entry, adapter):
        """Ask for another team's adapter."""
        owner = self.fleet.find_owner(f"adapter-{adapter}")
        other = TEAMS[1 - TEAMS.index(owner)]
        self.fleet.complete(self._entry(entry), f"adapter-{adapter}", f"{other}-key")

    def book(self, entry, idempotency):
        key = f"once-{idempotency}" if idempotency else ""
        body = b"booking-9%d." % idempotency if idempotency else b""
        self.fleet.book(self._entry(entry), idempotency_key=key, body=body)

    def leave(self, number):
        """Let the caller of one of the last requests go away."""
        for sent in self.fleet.sent[-1 - number : len(self.fleet.sent) - number]:
            machine = self.fleet.machines.get(sent.entry)
            exchange = getattr(sent.responder, "exchange", None)
            is_awake = machine and machine.is_running and not machine.clock.is_paused
            if exchange is not None and sent.responder.is_open and is_awake:
                exchange.cancel()
                sent.responder.is_open = False

    def restart(self, number):
        vm = self._any(number)
        self.fleet.restart(vm)

    def kill(self, number):
        self.fleet.kill(self._any(number))

    def replace(self, number):
        """Lose a VM for good and get another in its place."""
        fleet = self.fleet
        vm = self._any(number)
        old = fleet.remove_machine(vm).record
        place = DOMAINS.index(old.failure_domain)
        new = fleet.add_machine(old.role, old.service, place)
        self.publish()
        fleet.start(new)

    def pause(self, number):
        self.fleet.machines[self._any(number)].clock.pause()

    def resume_all(self):
        for machine in self.fleet.machines.values():
            if machine.clock.is_paused:
                machine.clock.resume()

    def cut(self, left, right, both_ways):
        one, other = self._any(left), self._any(right)
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

    def mend_network(self):
        self.fleet.network.heal()

    def disturb(self, loss, double, jitter):
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
        machine = self.fleet.machines[self._any(number)]
        machine.store.reachable = False
        machine.store.end_watches()

    def disturb_store(self, number, lost, stale, lost_events):
        store = self.fleet.machines[self._any(number)].store
        store.lost_reply_rate = lost
        store.lost_event_rate = lost_events
        store.stale_reads = stale
        store.duplicates_events = True

    def lag_vms(self, seconds):
        self.fleet.vms.lag = timedelta(seconds=seconds)

    def hide_vm(self, number):
        """Let a live VM be missing from the VM list for a while."""
        self.hidden.add(self._any(number))
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
        """Stop a process as planned, and start it again when it has ended."""
        vm = self._any(number)
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

    def _entry(self, number):
        return self._pick(self.fleet.entries(), number)

    def _any(self, number):
        return self._pick(list(self.fleet.machines), number)

    @staticmethod
    def _pick(things, number):
        return things[number % len(things)]


_RATES = st.sampled_from([0.0, 0.1, 0.5])
_FLAGS = st.booleans()
_ANY = st.integers(0, 20)

REQUESTS = st.one_of(
    st.tuples(
        st.just("complete"),
        NUMBERS,
        st.integers(0, 7),
        st.integers(0, 2),
        st.sampled_from([1, 5, 40]),
        _FLAGS,
    ),
    st.tuples(st.just("book"), NUMBERS, st.integers(0, 4)),
    st.tuples(st.just("wait"), PAUSES),
)
SMALL = st.one_of(
    st.tuples(st.just("steal"), NUMBERS, NUMBERS),
    st.tuples(st.just("leave"), NUMBERS),
    st.tuples(st.just("change_adapter"), NUMBERS, st.integers(1, 2)),
)
PROCESS_FAILURES = st.one_of(
    st.tuples(st.just("restart"), _ANY),
    st.tuples(st.just("kill"), _ANY),
    st.tuples(st.just("replace"), _ANY),
    st.tuples(st.just("pause"), _ANY),
    st.tuples(st.just("resume_all")),
    st.tuples(st.just("drain"), _ANY),
)
NETWORK_FAILURES = st.one_of(
    st.tuples(st.just("cut"), _ANY, _ANY, _FLAGS),
    st.tuples(st.just("cut_domain"), NUMBERS),
    st.tuples(st.just("mend_network")),
    st.tuples(st.just("disturb"), _RATES, _RATES, st.sampled_from([0, 50, 3000])),
)
PLATFORM_FAILURES = st.one_of(
    st.tuples(st.just("stop_store"), _FLAGS),
    st.tuples(st.just("cut_from_store"), _ANY),
    st.tuples(
        st.just("disturb_store"), _ANY, _RATES, st.sampled_from([0, 2, 10]), _RATES
    ),
    st.tuples(st.just("lag_vms"), st.sampled_from([0, 3, 8])),
    st.tuples(st.just("hide_vm"), _ANY),
    st.tuples(st.just("show_vms")),
)
BACKEND_FAILURES = st.one_of(
    st.tuples(st.just("restart_engine"), NUMBERS),
    st.tuples(st.just("fail_loads"), NUMBERS, NUMBERS),
    st.tuples(st.just("stop_service"), NUMBERS, _FLAGS, _FLAGS),
)
ALL_FAILURES = (
    PROCESS_FAILURES,
    NETWORK_FAILURES,
    PLATFORM_FAILURES,
    BACKEND_FAILURES,
)


def draw_schedules(*failures, size=40):
    """Return a strategy of schedules with requests and some kinds of failures."""
    kinds = [REQUESTS] * (REQUEST_WEIGHT + len(failures)) + [SMALL, *failures]
    return st.lists(st.one_of(*kinds), min_size=5, max_size=size)
