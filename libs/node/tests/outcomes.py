"""Failures aimed at outcomes, and checkers over all submissions of one booking."""

from collections import defaultdict
from datetime import timedelta

from hypothesis import strategies as st

from .checkers import find_bad_answers, find_double_bookings, find_false_refusals
from .fleet import MODEL, SERVICE
from .schedules import ScheduleDriver

STORE_DELAY = timedelta(milliseconds=1)
KEYS = st.integers(1, 4)
ENTRIES = st.integers(0, 2)
MILLISECONDS = st.sampled_from([0, 1, 2, 3, 10, 200, 1000])
RATES = st.sampled_from([0.0, 0.2, 0.6])
FLAGS = st.booleans()


class OutcomeDriver(ScheduleDriver):
    """Carry out schedules whose failures fall between record, order and answer."""

    def heal(self, *arguments):
        for machine in self.fleet.machines.values():
            machine.store.delay = STORE_DELAY
        self.resume_callers()
        super().heal(*arguments)

    def repeat_all(self):
        """Repeat every keyed booking through every entry once all is well."""
        keys = {sent.idempotency_key for sent in self.fleet.sent}
        for key in sorted(keys - {""}):
            for number, _ in enumerate(self.fleet.entries()):
                self.book(number, int(key.removeprefix("once-")))
                self.wait(2)

    def race(self, key, first, count, gap):
        """Send one booking through several entries, so many milliseconds apart."""
        for number in range(count):
            self.book(first + number, key)
            self.wait(gap / 1000)

    def kill_amid(self, key, entry, gap):
        """Kill an entry so long after it took a booking, and repeat elsewhere."""
        self.book(entry, key)
        self.wait(gap / 1000)
        self.fleet.restart(self._entry(entry))
        self.book(entry + 1, key)

    def pause_amid(self, key, entry, gap, seconds):
        """Pause an entry so long after it took a booking, and repeat elsewhere."""
        self.book(entry, key)
        self.wait(gap / 1000)
        clock = self.fleet.machines[self._entry(entry)].clock
        clock.pause()
        self.book(entry + 1, key)
        self.wait(seconds)
        self.book(entry + 2, key)
        self.wait(0.1)
        if clock.is_paused:
            clock.resume()

    def slow_store(self, entry, milliseconds):
        store = self.fleet.machines[self._entry(entry)].store
        store.delay = timedelta(milliseconds=max(1, milliseconds))

    def lose_replies(self, entry, rate):
        self.fleet.machines[self._entry(entry)].store.lost_reply_rate = rate

    def restart_side(self, service, number):
        self.fleet.restart(self._side(service, number))

    def pause_side(self, service, number):
        self.fleet.machines[self._side(service, number)].clock.pause()

    def cut_side(self, service, number, entry, both_ways):
        one, other = self._side(service, number), self._entry(entry)
        self.fleet.network.cut.add((one, other))
        if both_ways:
            self.fleet.network.cut.add((other, one))

    def pause_caller(self, number):
        self._tell_caller(number, "pause")

    def resume_caller(self, number):
        self._tell_caller(number, "resume")

    def resume_callers(self):
        for number in range(len(self.fleet.sent)):
            self.resume_caller(number)

    def _tell_caller(self, number, change):
        for sent in self.fleet.sent[len(self.fleet.sent) - 1 - number :][:1]:
            machine = self.fleet.machines.get(sent.entry)
            exchange = getattr(sent.responder, "exchange", None)
            is_there = machine and machine.is_running and machine.boots == sent.boot
            if exchange is not None and is_there and sent.responder.is_open:
                getattr(exchange, change)()

    def _side(self, service, number):
        return self._pick(self.fleet.sides(service), number)


def _draw(name, *arguments):
    return st.tuples(st.just(name), *arguments)


WAITS = _draw("wait", st.sampled_from([0.002, 0.05, 0.4, 1.5, 6.0]))
BOOKINGS = (
    _draw("book", ENTRIES, st.integers(0, 4)),
    _draw("race", KEYS, ENTRIES, st.integers(2, 3), MILLISECONDS),
    _draw("kill_amid", KEYS, ENTRIES, MILLISECONDS),
    _draw("pause_amid", KEYS, ENTRIES, MILLISECONDS, st.sampled_from([0.5, 2.0, 8.0])),
)
RECORD_FAILURES = (
    _draw("stop_store", FLAGS),
    _draw("slow_store", ENTRIES, MILLISECONDS),
    _draw("lose_replies", ENTRIES, RATES),
)
SERVICE_FAILURES = (
    _draw("restart_side", st.just(SERVICE), ENTRIES),
    _draw("pause_side", st.just(SERVICE), ENTRIES),
    _draw("cut_side", st.just(SERVICE), ENTRIES, ENTRIES, FLAGS),
    _draw("stop_service", ENTRIES, FLAGS, FLAGS),
)
LATE_MESSAGES = (
    _draw("disturb", RATES, RATES, st.sampled_from([0, 50, 3000, 7000])),
    _draw("mend_network"),
    _draw("resume_all"),
)
STREAMS = (
    _draw(
        "complete",
        ENTRIES,
        st.integers(0, 5),
        st.integers(0, 2),
        st.sampled_from([5, 60, 400]),
        FLAGS,
    ),
    _draw("leave", ENTRIES),
    _draw("pause_caller", ENTRIES),
    _draw("resume_caller", ENTRIES),
)
ENGINE_FAILURES = (
    _draw("restart_engine", ENTRIES),
    _draw("restart_side", st.just(MODEL), ENTRIES),
    _draw("pause_side", st.just(MODEL), ENTRIES),
    _draw("cut_side", st.just(MODEL), ENTRIES, ENTRIES, FLAGS),
)


def draw_actions(*kinds, size=25):
    """Return a strategy of schedules of some kinds of actions, with waits."""
    return st.lists(st.one_of(WAITS, *kinds), min_size=6, max_size=size)


def find_different_answers(fleet):
    """Give the idempotency keys whose submissions got different answers."""
    answers = defaultdict(set)
    for sent in fleet.sent:
        if sent.idempotency_key and sent.responder.status == 200:
            answers[sent.key, sent.idempotency_key].add(sent.responder.body)
    return [f"{key} got {found}" for key, found in answers.items() if len(found) > 1]


def find_denied_bookings(fleet):
    """Give the bookings that ran though each submission was told not run."""
    booked = {call.body for service in fleet.services for call in service.calls}
    outcomes = defaultdict(set)
    for sent in fleet.sent:
        if sent.is_booking:
            outcomes[sent.request.body].add(sent.responder.outcome)
    return [
        f"{body} ran, and all were told that it did not"
        for body, told in outcomes.items()
        if told == {"not-run"} and body in booked
    ]


def find_busy_engines(fleet):
    """Give the requests that engines still run when no caller waits for any.

    The fake engine doesn't notice that the side process which held a generation back
    was killed, as a real one does by its closed connection; only these are let pass.
    """
    return [
        f"{order} still runs"
        for machine in fleet.machines.values()
        for order, generation in getattr(machine.backend, "running", {}).items()
        if not (generation._is_paused and generation.order.fencing < machine.boots)
    ]


OUTCOMES = (
    find_double_bookings,
    find_different_answers,
    find_denied_bookings,
    find_false_refusals,
    find_bad_answers,
)


def check_outcomes(fleet):
    """Return the violations of at most once, not run is true and whole answers."""
    return [violation for find in OUTCOMES for violation in find(fleet)]
