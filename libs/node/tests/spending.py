"""A fleet under load above a team's rate, and a record of the tokens used."""

from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_fakes.checkers import Admission, LimitChange, find_excess
from balsamspoke_node.completions import BYTES_PER_TOKEN
from balsamspoke_types.objects import Kind, Team
from hypothesis import strategies as st

from .fleet import Fleet
from .schedules import (
    BACKEND_FAILURES,
    NETWORK_FAILURES,
    PROCESS_FAILURES,
    ScheduleDriver,
)

SPENDER = "hotel"
RATE = 20.0
BURST = 200
STEP_SECONDS = 0.25

# The budgets assume that a VM that reappears in the VM list stays listed this long.
RELISTED_SECONDS = 9.0


@dataclass(frozen=True)
class AdmittedRequest:
    """A request that an entry process admitted."""

    at: timedelta
    body: bytes


class _RecordingRunner:
    """Call ``on_request`` with each generation and delegate to the real runner."""

    def __init__(self, runner, on_request):
        self._runner = runner
        self._on_request = on_request

    def run_generation(self, request, sink):
        self._on_request(request)
        return self._runner.run_generation(request, sink)

    def __getattr__(self, name):
        return getattr(self._runner, name)


class SpendingFleet(Fleet):
    """A fleet that records the admitted requests and the limits in force.

    A limit counts as in force while any entry process has it in its catalogue.
    """

    def __init__(self, seed=0):
        self.admitted = []
        self.limit_changes = [LimitChange(timedelta(0), RATE, BURST)]
        self.limits_recorded_at = timedelta(0)
        super().__init__(
            seed, engines=2, services=1, adapters=2, rate=RATE, burst=BURST
        )

    def start(self, vm):
        node = super().start(vm)
        if self.machines[vm].record.role == "entry":
            runner = node.context.runner
            node.context.runner = _RecordingRunner(runner, self._record_admission)
        return node

    def change_limits(self, rate, burst):
        self.put(Kind.TEAM, SPENDER, Team(SPENDER, rate, burst))

    def flood(self, seconds, tokens):
        """Send several times the team's rate through all entry processes."""
        for _ in range(round(seconds / STEP_SECONDS)):
            for vm in self.entries():
                self.complete(vm, tokens=tokens)
            self.advance(STEP_SECONDS)

    def advance(self, seconds):
        end = self.time.elapsed + timedelta(seconds=seconds)
        while self.time.elapsed < end:
            step = min(timedelta(seconds=STEP_SECONDS), end - self.time.elapsed)
            self.time.advance(step)
            self.record_limits()

    def record_limits(self):
        """Record the highest limits that any entry process has in force now.

        A raised limit counts from the previous call on and a lowered one from this
        call on. This makes the check more lenient by less than one step.
        """
        teams = [
            machine.node.catalogue.view.team(SPENDER)
            for machine in self.machines.values()
            if machine.record.role == "entry" and machine.is_running
        ]
        teams = [team for team in teams if team is not None]
        last = self.limit_changes[-1]
        rate = max((team.rate for team in teams), default=last.rate)
        burst = max((team.burst for team in teams), default=last.burst)
        highest = (max(rate, last.rate), max(burst, last.burst))
        if highest != (last.rate, last.burst):
            self.limit_changes.append(LimitChange(self.limits_recorded_at, *highest))
        if highest != (rate, burst):
            self.limit_changes.append(LimitChange(self.time.elapsed, rate, burst))
        self.limits_recorded_at = self.time.elapsed

    def list_uses(self):
        """Return an Admission for each request that an engine started.

        It counts the tokens of the prompt and those that the caller received.
        """
        started = {order.body for engine in self.engines for order in engine.started}
        by_prompt = {sent.prompt.encode(): sent for sent in self.sent if sent.prompt}
        uses = []
        for admitted in self.admitted:
            if admitted.body not in started:
                continue
            sent = next(
                sent
                for prompt, sent in by_prompt.items()
                if b'"%b"' % prompt in admitted.body
            )
            prompt_tokens = -(-len(sent.prompt) // BYTES_PER_TOKEN)
            delivered = self._count_tokens(sent.responder)
            uses.append(Admission(admitted.at, prompt_tokens + delivered))
        return uses

    def find_excess(self):
        """Return the largest Excess over any time window, or None."""
        return find_excess(self.list_uses(), self.limit_changes)

    @staticmethod
    def _count_tokens(responder):
        if responder.status != 200:
            return 0
        return len(responder.text.split())

    def _record_admission(self, request):
        self.record_limits()
        if request.team == SPENDER:
            self.admitted.append(AdmittedRequest(self.time.elapsed, request.body))


class SpendingDriver(ScheduleDriver):
    """Run schedules of floods, changed limits and failures."""

    def flood(self, seconds, tokens):
        self.fleet.flood(seconds, tokens)

    def set_limit(self, rate, burst):
        self.fleet.change_limits(rate, burst)

    def show_vms(self):
        super().show_vms()
        self.fleet.advance(RELISTED_SECONDS)


_VM_INDEXES = st.integers(0, 20)
_FLAGS = st.booleans()
_RATES = st.sampled_from([0.0, 0.1, 0.5])

FLOODS = st.tuples(
    st.just("flood"), st.sampled_from([1.0, 4.0, 12.0]), st.sampled_from([5, 40])
)
LIMITS = st.tuples(
    st.just("set_limit"),
    st.sampled_from([5.0, 20.0, 60.0]),
    st.sampled_from([100, 400]),
)
WAITS = st.tuples(st.just("wait"), st.sampled_from([1.0, 9.0, 45.0]))

# The lag stays below the maximum that the budgets assume, five seconds.
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
    st.tuples(st.just("delay_vm_list"), st.sampled_from([0, 3, 4])),
    st.tuples(st.just("hide_vm"), _VM_INDEXES),
    st.tuples(st.just("show_vms")),
)
SCHEDULES = st.lists(
    st.one_of(
        FLOODS,
        FLOODS,
        LIMITS,
        WAITS,
        PROCESS_FAILURES,
        PROCESS_FAILURES,
        NETWORK_FAILURES,
        PLATFORM_FAILURES,
        PLATFORM_FAILURES,
        BACKEND_FAILURES,
    ),
    min_size=8,
    max_size=24,
)
