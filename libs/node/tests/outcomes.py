"""Failures around the outcome of a request, and checks over repeated bookings."""

from collections import defaultdict
from datetime import timedelta

from hypothesis import strategies as st

from .checkers import find_double_bookings, find_false_refusals, find_wrong_answers
from .fleet import MODEL, SERVICE
from .schedules import ScheduleDriver

STORE_DELAY = timedelta(milliseconds=1)
KEYS = st.integers(1, 4)
ENTRIES = st.integers(0, 2)
MILLISECONDS = st.sampled_from([0, 1, 2, 3, 10, 200, 1000])
RATES = st.sampled_from([0.0, 0.2, 0.6])
FLAGS = st.booleans()


class OutcomeDriver(ScheduleDriver):
    """Run schedules with failures between idempotency record, order and answer."""

    def heal(self, *arguments):
        for machine in self.fleet.machines.values():
            machine.store.delay = STORE_DELAY
        self.resume_exchanges()
        super().heal(*arguments)

    def repeat_all(self):
        """Repeat each booking with an idempotency key at each entry."""
        keys = {sent.idempotency_key for sent in self.fleet.sent}
        for key in sorted(keys - {""}):
            for number, _ in enumerate(self.fleet.entries()):
                self.book(number, int(key.removeprefix("once-")))
                self.wait(2)

    def book_concurrently(self, key, first, count, gap):
        """Send one booking to several entries, ``gap`` milliseconds apart."""
        for number in range(count):
            self.book(first + number, key)
            self.wait(gap / 1000)

    def kill_during_booking(self, key, entry, gap):
        """Restart an entry ``gap`` ms after a booking, and repeat that elsewhere."""
        self.book(entry, key)
        self.wait(gap / 1000)
        self.fleet.restart(self._pick_entry(entry))
        self.book(entry + 1, key)

    def pause_during_booking(self, key, entry, gap, seconds):
        """Pause an entry ``gap`` ms after a booking, and repeat that elsewhere."""
        self.book(entry, key)
        self.wait(gap / 1000)
        clock = self.fleet.machines[self._pick_entry(entry)].clock
        clock.pause()
        self.book(entry + 1, key)
        self.wait(seconds)
        self.book(entry + 2, key)
        self.wait(0.1)
        if clock.is_paused:
            clock.resume()

    def set_store_delay(self, entry, milliseconds):
        store = self.fleet.machines[self._pick_entry(entry)].store
        store.delay = timedelta(milliseconds=max(1, milliseconds))

    def set_lost_reply_rate(self, entry, rate):
        self.fleet.machines[self._pick_entry(entry)].store.lost_reply_rate = rate

    def restart_side_process(self, service, number):
        self.fleet.restart(self._pick_side(service, number))

    def pause_side_process(self, service, number):
        self.fleet.machines[self._pick_side(service, number)].clock.pause()

    def cut_side_process(self, service, number, entry, both_ways):
        one, other = self._pick_side(service, number), self._pick_entry(entry)
        self.fleet.network.cut.add((one, other))
        if both_ways:
            self.fleet.network.cut.add((other, one))

    def pause_exchange(self, number):
        self._signal_exchange(number, "pause")

    def resume_exchange(self, number):
        self._signal_exchange(number, "resume")

    def resume_exchanges(self):
        for number in range(len(self.fleet.sent)):
            self.resume_exchange(number)

    def _signal_exchange(self, number, change):
        for sent in self.fleet.sent[len(self.fleet.sent) - 1 - number :][:1]:
            machine = self.fleet.machines.get(sent.entry)
            exchange = getattr(sent.responder, "exchange", None)
            is_active = machine and machine.is_running and machine.boots == sent.boot
            if exchange is not None and is_active and sent.responder.is_open:
                getattr(exchange, change)()

    def _pick_side(self, service, number):
        return self._pick(self.fleet.sides(service), number)


def _draw_action(name, *arguments):
    return st.tuples(st.just(name), *arguments)


WAITS = _draw_action("wait", st.sampled_from([0.002, 0.05, 0.4, 1.5, 6.0]))
BOOKINGS = (
    _draw_action("book", ENTRIES, st.integers(0, 4)),
    _draw_action("book_concurrently", KEYS, ENTRIES, st.integers(2, 3), MILLISECONDS),
    _draw_action("kill_during_booking", KEYS, ENTRIES, MILLISECONDS),
    _draw_action(
        "pause_during_booking",
        KEYS,
        ENTRIES,
        MILLISECONDS,
        st.sampled_from([0.5, 2.0, 8.0]),
    ),
)
RECORD_FAILURES = (
    _draw_action("stop_store", FLAGS),
    _draw_action("set_store_delay", ENTRIES, MILLISECONDS),
    _draw_action("set_lost_reply_rate", ENTRIES, RATES),
)
SERVICE_FAILURES = (
    _draw_action("restart_side_process", st.just(SERVICE), ENTRIES),
    _draw_action("pause_side_process", st.just(SERVICE), ENTRIES),
    _draw_action("cut_side_process", st.just(SERVICE), ENTRIES, ENTRIES, FLAGS),
    _draw_action("stop_service", ENTRIES, FLAGS, FLAGS),
)
LATE_MESSAGES = (
    _draw_action("degrade_network", RATES, RATES, st.sampled_from([0, 50, 3000, 7000])),
    _draw_action("heal_network"),
    _draw_action("resume_all"),
)
STREAMS = (
    _draw_action(
        "complete",
        ENTRIES,
        st.integers(0, 5),
        st.integers(0, 2),
        st.sampled_from([5, 60, 400]),
        FLAGS,
    ),
    _draw_action("cancel_request", ENTRIES),
    _draw_action("pause_exchange", ENTRIES),
    _draw_action("resume_exchange", ENTRIES),
)
ENGINE_FAILURES = (
    _draw_action("restart_engine", ENTRIES),
    _draw_action("restart_side_process", st.just(MODEL), ENTRIES),
    _draw_action("pause_side_process", st.just(MODEL), ENTRIES),
    _draw_action("cut_side_process", st.just(MODEL), ENTRIES, ENTRIES, FLAGS),
)


def draw_actions(*kinds, size=25):
    """Return a strategy of schedules with the given kinds of actions, and waits."""
    return st.lists(st.one_of(WAITS, *kinds), min_size=6, max_size=size)


def find_different_answers(fleet):
    """Return the idempotency keys whose submissions got different answers."""
    answers = defaultdict(set)
    for sent in fleet.sent:
        if sent.idempotency_key and sent.responder.status == 200:
            answers[sent.key, sent.idempotency_key].add(sent.responder.body)
    return [f"{key} got {found}" for key, found in answers.items() if len(found) > 1]


def find_bookings_reported_not_run(fleet):
    """Return the bookings that ran though all submissions were reported not-run."""
    booked = {call.body for service in fleet.services for call in service.calls}
    outcomes = defaultdict(set)
    for sent in fleet.sent:
        if sent.is_booking:
            outcomes[sent.request.body].add(sent.responder.outcome)
    return [
        f"{body} ran, and all submissions were reported not-run"
        for body, reported in outcomes.items()
        if reported == {"not-run"} and body in booked
    ]


def find_orphaned_generations(fleet):
    """Return the generations that engines still run when no caller waits for any.

    Generations paused by a side process that was then killed are left out: the fake
    engine doesn't detect the loss, as a real one does by the closed connection.
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
    find_bookings_reported_not_run,
    find_false_refusals,
    find_wrong_answers,
)


def check_outcomes(fleet):
    """Return the violations of the checks in OUTCOMES."""
    return [violation for find in OUTCOMES for violation in find(fleet)]
