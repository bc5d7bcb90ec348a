import unittest
from datetime import timedelta

from balsamspoke_fakes.properties import examples
from balsamspoke_gateway.settings import GatewaySettings
from balsamspoke_gateway.store.watch_times import (
    MIN_WATCH_TIME,
    READ_SPREAD,
    REPLICA_POLL_RATIO,
    VERSION_POLL_INTERVAL,
    choose_probe_interval,
    compute_harmless_outage,
    make_watch_times,
)
from hypothesis import given
from hypothesis import strategies as st

from .entry_world import EntryWorld
from .world import make_record, seconds

# Bounds of the deployment, in seconds.
CALM_SECONDS = 3.0
DRAIN_SECONDS = 2.0
HEARTBEAT_SECONDS = 1.2


# Time to notice that the answer to a watch is overdue: its time limit, the backoff and
# a list that is answered in its own limit.
OVERDUE_SECONDS = 0.7
BACKOFF_SECONDS = 0.15
LIST_SECONDS = 0.3

milliseconds = st.integers(500, 20_000).map(lambda number: timedelta(0, 0, 0, number))


class SilentConnectionTests(unittest.TestCase):
    """Connections to the store that go silent for good."""

    def setUp(self):
        self.world = EntryWorld(has_watch_times=True)
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

    # The pause after a change was no part of the time in which a silence is noticed.
    def test_a_draining_replica_is_known_in_time_if_its_watch_alone_falls_silent(self):
        for phase in range(12):
            with self.subTest(phase=phase):
                self.setUp()
                self.change_adapter("a", 2)
                silent_at = 6 + phase / 10
                self.pass_until(silent_at)
                self.store.silence_connections(spares_probes=True)
                self.pass_until(silent_at + 0.1)
                leaving = make_record("c", number=3, is_leaving=True)
                self.store.write("replicas", "c", leaving)
                self.pass_until(silent_at + CALM_SECONDS)
                listed = self.world.context.fleet.directory.list_service("plain")
                self.assertEqual(sorted(each.id for each in listed), ["a", "b"])

    def test_entries_that_may_have_expired_in_an_outage_stay_for_the_grace(self):
        self.store.go_away()
        for name in "abc":
            self.store.write("replicas", name, None)
        self.pass_until(6 + 3 * HEARTBEAT_SECONDS)
        self.store.return_()
        self.pass_until(6 + 3 * HEARTBEAT_SECONDS + 1.9)
        self.assertEqual(self.world.list_replica_ids(), ["a", "b", "c"])


class WatchTimeTests(unittest.TestCase):
    @given(milliseconds, milliseconds, milliseconds, milliseconds)
    @examples(200)
    def test_no_order_of_change_pause_and_silence_passes_the_bounds(
        self, calm, drain, configuration, version
    ):
        settings = GatewaySettings(
            "vm",
            "10.0.1.1",
            "north",
            drain_time=drain,
            configuration_time=configuration,
            version_time=version,
            calm_time=calm,
        )
        times = make_watch_times(settings)
        noticed = seconds(OVERDUE_SECONDS + BACKOFF_SECONDS + LIST_SECONDS)
        for watch_time, bound, pause_after in (
            (times.configurations, configuration, seconds(0)),
            (times.replicas, drain, REPLICA_POLL_RATIO * drain),
            (times.versions, version, VERSION_POLL_INTERVAL),
        ):
            due = max(bound, calm)
            # Shorter bounds than these can't be kept by any watch.
            if due >= pause_after + noticed + MIN_WATCH_TIME + seconds(0.1):
                self.assertLessEqual(pause_after + watch_time + noticed, due)
            self.assertGreaterEqual(watch_time, MIN_WATCH_TIME)

    # The store was probed as if all replicas wrote their entries each 1.2 s.
    def test_a_silence_is_told_from_an_outage_whatever_the_heartbeats(self):
        for heartbeat in (1.0, 1.2, 2.0, 5.0):
            with self.subTest(heartbeat=heartbeat):
                settings = GatewaySettings(
                    "vm",
                    "10.0.1.1",
                    "north",
                    heartbeat_interval=seconds(heartbeat),
                    calm_time=seconds(CALM_SECONDS),
                )
                interval = choose_probe_interval(settings)
                answered = interval + seconds(OVERDUE_SECONDS + BACKOFF_SECONDS)
                self.assertLessEqual(answered, compute_harmless_outage(settings))
                read = interval + seconds(OVERDUE_SECONDS) + READ_SPREAD
                self.assertLess(read + seconds(LIST_SECONDS), seconds(CALM_SECONDS))


if __name__ == "__main__":
    unittest.main()
