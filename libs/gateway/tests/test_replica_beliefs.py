"""What an entry process believes of one replica, in any order of what it hears."""

import unittest
from dataclasses import replace

from balsamspoke_fakes.properties import examples
from balsamspoke_gateway.exceptions import AnswerLost, NotSent
from balsamspoke_gateway.messages import ReplicaLeaving
from balsamspoke_gateway.quarantine import (
    QuarantineEntry,
    QuarantineUpdate,
    make_fingerprint,
)
from balsamspoke_gateway.rate_limiting import RateLimitNotice
from balsamspoke_gateway.rate_limiting.permits import BURST_TIME
from balsamspoke_gateway.requests import CallerRequest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from .entry_world import EntryWorld
from .scripted_replicas import Answer, ScriptedClient
from .world import HOST, make_record, seconds

PEER = "10.0.1.2"
RATE = 2.0
# Time in seconds within which a change in the store is known, while it answers.
STORE_DELAY = 2.0

ANSWERS = {
    "answers": lambda: Answer(),
    "fails": lambda: Answer(500),
    "leaves": lambda: Answer(is_leaving=True),
    "asks for a backoff": lambda: Answer(503, has_run=False, retry_after=seconds(1.5)),
    "names a limit": lambda: Answer(rate_limit=RATE),
    "is another replica": lambda: Answer(421, has_run=False, is_leaving=True),
    "is lost": lambda: Answer(error=AnswerLost("reset")),
    "is not reached": lambda: Answer(error=NotSent("refused")),
}


class RecordingClient(ScriptedClient):
    """Client that answers as a machine says, and records what it gets."""

    def __init__(self, machine):
        super().__init__()
        self._machine = machine

    def send(self, record, request):
        self.answers = {record.id: [self._machine.answer(record, request)]}
        return super().send(record, request)


class ReplicaBeliefs(RuleBasedStateMachine):
    """One entry process, replica "a" that it prefers, and replica "b".

    Each ``_check`` is an invariant of what the users ask for.
    """

    def __init__(self):
        super().__init__()
        self.world = EntryWorld()
        self.world.context.client = RecordingClient(self)
        self.store = self.world.store
        self.world.configure(1)
        self.born = 1
        self.next_answer = "answers"
        self.left = set()
        self.removed_at = {}
        self.held_until = {}
        self.limited_since = {}
        self.limited_sends = {}
        self.refused_bodies = []
        self.violations = []
        self.store_interrupted_at = self.seconds
        self._write(make_record("a", born=1))
        self._write(replace(make_record("b", number=2), failure_domain="south"))
        self.world.core.start()
        self.world.pass_time(1)
        self.copies = [self.store.copy()]

    @property
    def seconds(self):
        return self.world.time.elapsed.total_seconds()

    def _write(self, record, is_removed=False):
        self.store.write("replicas", record.id, None if is_removed else record)

    def _make_record(self, **others):
        return make_record("a", born=self.born, **others)

    def answer(self, record, request):
        """Check a request that the process sends; return the Answer to it."""
        key = (record.id, record.born)
        if key[0] != "a":
            return Answer()
        self._check_send(key, request)
        answer = ANSWERS[self.next_answer]()
        if self.next_answer == "leaves":
            self.left.add(key)
        elif self.next_answer == "asks for a backoff":
            self.held_until[key] = self.seconds + 1.5
        elif self.next_answer == "names a limit":
            self._begin_limit(key)
        elif answer.error is None and self.next_answer != "is another replica":
            self.limited_since.pop(key, None)
        return answer

    def _begin_limit(self, key):
        self.limited_since.setdefault(key, self.seconds)
        self.limited_sends.setdefault(key, [])

    def _check_send(self, key, request):
        if key in self.left:
            self.violations.append(f"sent to {key}, which leaves")
        if self.seconds < self.held_until.get(key, 0.0):
            self.violations.append(f"sent to {key} in its backoff")
        if request.caller.body in self.refused_bodies:
            self.violations.append("sent a request that is in quarantine")
        removed_at = self.removed_at.get(key)
        is_known = max(removed_at or 0.0, self.store_interrupted_at) + 3 * STORE_DELAY
        if removed_at is not None and self.seconds > is_known:
            self.violations.append(f"sent to {key}, which is gone")
        if key in self.limited_since:
            self._check_limit(key)

    def _check_limit(self, key):
        sends = self.limited_sends[key]
        sends.append(self.seconds)
        burst = max(1.0, RATE * BURST_TIME.total_seconds())
        for index, begin in enumerate(sends):
            count = len(sends) - index
            if count > RATE * (self.seconds - begin) + burst + 1e-6:
                self.violations.append(f"{count} requests to {key} since {begin}")

    @rule(
        names=st.lists(st.sampled_from(sorted(ANSWERS)), min_size=1, max_size=4),
        route=st.sampled_from(["safe", "unsafe"]),
    )
    def send(self, names, route):
        for name in names:
            self.next_answer = name
            self.world.send(route)

    @rule(
        names=st.lists(st.sampled_from(sorted(ANSWERS)), min_size=1, max_size=4),
        pause=st.sampled_from([0.01, 0.3, 1.0]),
    )
    def send_to_a_new_start(self, names, pause):
        self.start_again()
        self.world.pass_time(1)
        for name in names:
            self.next_answer = name
            self.world.send("safe")
            self.world.pass_time(pause)

    @rule(duration=st.sampled_from([0.01, 0.3, 1.0, 4.0]))
    def wait(self, duration):
        self.world.pass_time(duration)

    @rule()
    def hear_that_it_leaves(self):
        self.world.core.receive_message(PEER, ReplicaLeaving("a", self.born))
        self.left.add(("a", self.born))

    @rule()
    def hear_of_its_limit(self):
        listed = self.world.context.fleet.directory.find("a")
        notice = RateLimitNotice("a", self.born, RATE)
        self.world.core.receive_message(PEER, notice)
        if listed is not None and listed.born == self.born:
            self._begin_limit(("a", self.born))

    @rule()
    def hear_that_its_limit_ended(self):
        notice = RateLimitNotice("a", self.born, None)
        self.world.core.receive_message(PEER, notice)
        self.limited_since.pop(("a", self.born), None)

    @rule()
    def hear_of_a_request_in_quarantine(self):
        body = b"refused %d" % len(self.refused_bodies)
        request = CallerRequest("", b"POST", b"/unsafe/x", HOST, "/unsafe/x", (), body)
        entry = QuarantineEntry((make_fingerprint(request, ""),), 3600.0)
        self.world.core.receive_message(PEER, QuarantineUpdate((entry,)))
        self.refused_bodies.append(body)

    @rule()
    def send_what_is_in_quarantine(self):
        for body in self.refused_bodies:
            self.world.send("unsafe", body=body)

    @rule(is_leaving=st.booleans())
    def write_its_entry(self, is_leaving):
        key = ("a", self.born)
        if key in self.removed_at:
            return
        self._write(self._make_record(is_leaving=is_leaving))

    @rule()
    def remove_its_entry(self):
        self._write(self._make_record(), is_removed=True)
        self.removed_at[("a", self.born)] = self.seconds

    @rule()
    def start_again(self):
        self.born += 1
        self._write(self._make_record())

    @rule()
    def interrupt_the_store(self):
        self.store.go_away()
        self.world.pass_time(0.5)
        self.store.return_()
        self.store_interrupted_at = self.seconds

    @rule()
    def drop_the_history(self):
        self.store.forget_history()
        self.store_interrupted_at = self.seconds

    @rule()
    def copy_the_store(self):
        self.copies.append(self.store.copy())

    @rule()
    def restore_the_store(self):
        """Restore a copy; then the replica writes its entry again if it is there."""
        before = self.store.era
        self.store.restore(self.copies[-1])
        self.world.core.handle_restored_store(before, self.store.era)
        self.world.pass_time(0.5)
        key = ("a", self.born)
        if key in self.removed_at:
            self._write(self._make_record(), is_removed=True)
        else:
            self._write(self._make_record())
        self.store_interrupted_at = self.seconds

    @invariant()
    def nothing_is_violated(self):
        assert not self.violations, self.violations


ReplicaBeliefsTests = ReplicaBeliefs.TestCase
ReplicaBeliefsTests.settings = settings(examples(100), stateful_step_count=30)

if __name__ == "__main__":
    unittest.main()
