import unittest

from balsamspoke_fakes.properties import examples
from hypothesis import given
from hypothesis import strategies as st

from .entry_world import EntryWorld
from .world import make_record, seconds

WATCH_TIMES = {
    "configurations": seconds(3.8),
    "replicas": seconds(3.8),
    "versions": seconds(6.8),
    "entries": seconds(18.8),
}
# Bounds of the deployment, in seconds.
CALM_SECONDS = 3.0
DRAIN_SECONDS = 2.0
HEARTBEAT_SECONDS = 1.2


class SilentConnectionTests(unittest.TestCase):
    """Connections to the store that go silent for good, all at once."""

    def setUp(self):
        self.world = EntryWorld(watch_times=WATCH_TIMES)
        self.store = self.world.store
        self.now = 0.0
        self.world.configure(1)
        for number, name in enumerate("abc", 1):
            self.store.write("replicas", name, make_record(name, number=number))
        self.world.core.start()
        self.pass_until(6)

    def pass_until(self, at):
        """Let time pass until some seconds after the start."""
        self.world.pass_time(at - self.now)
        self.now = at

    def change_adapter(self, name, version):
        """Let a replica write an entry that differs in what it holds."""
        record = make_record(name, software_version=str(version))
        self.store.write("replicas", name, record)

    # Each watch that failed later counted as an outage and began the grace anew.
    def test_a_removal_after_a_silence_takes_effect_within_the_drain_time(self):
        for phase in range(12):
            with self.subTest(phase=phase):
                self.setUp()
                silent_at = 6 + phase / 3
                self.pass_until(silent_at)
                self.store.silence_connections()
                self.pass_until(silent_at + CALM_SECONDS + 0.3)
                self.store.write("replicas", "c", None)
                self.pass_until(silent_at + CALM_SECONDS + 0.3 + DRAIN_SECONDS)
                self.assertEqual(self.world.list_replica_ids(), ["a", "b"])

    def test_a_removal_is_in_effect_once_the_time_of_calm_after_a_silence_is_over(self):
        for phase in range(12):
            with self.subTest(phase=phase):
                self.setUp()
                self.pass_until(6 + phase / 3)
                self.change_adapter("a", 2)
                silent_at = 6 + phase / 3 + 0.1
                self.pass_until(silent_at)
                self.store.write("replicas", "c", None)
                self.store.silence_connections()
                self.pass_until(silent_at + CALM_SECONDS)
                self.assertEqual(self.world.list_replica_ids(), ["a", "b"])

    @given(
        st.lists(st.floats(0.0, 4.0), min_size=1, max_size=3),
        st.floats(0.0, 9.0),
        st.lists(st.floats(0.0, 9.0), max_size=6),
    )
    @examples(60)
    def test_no_series_of_silences_and_changes_delays_a_removal_beyond_the_bounds(
        self, pauses, removal, changes
    ):
        self.setUp()
        silences = [6 + sum(pauses[: n + 1]) for n in range(len(pauses))]
        events = [(at, self.store.silence_connections, ()) for at in silences]
        for number, at in enumerate(changes):
            name = "ab"[number % 2]
            events.append((6 + at, self.change_adapter, (name, number)))
        events.append((6 + removal, self.store.write, ("replicas", "c", None)))
        due = max(6 + removal + DRAIN_SECONDS, silences[-1] + CALM_SECONDS)
        for at, act, arguments in sorted(events, key=lambda event: event[0]):
            self.pass_until(at)
            act(*arguments)
        self.pass_until(due)
        self.assertEqual(self.world.list_replica_ids(), ["a", "b"])

    def test_entries_that_may_have_expired_in_an_outage_stay_for_the_grace(self):
        self.store.go_away()
        for name in "abc":
            self.store.write("replicas", name, None)
        self.pass_until(6 + 3 * HEARTBEAT_SECONDS)
        self.store.return_()
        self.pass_until(6 + 3 * HEARTBEAT_SECONDS + 1.9)
        self.assertEqual(self.world.list_replica_ids(), ["a", "b", "c"])


if __name__ == "__main__":
    unittest.main()
