import unittest

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_gateway.ports import RecordSource
from balsamspoke_gateway.store.following import (
    Follower,
    RecordChange,
    RecordPage,
    StorePosition,
)
from balsamspoke_gateway.store.reachability import STORE, Reachability
from balsamspoke_types.exceptions import WatchExpired
from twisted.internet.defer import Deferred, fail, succeed

from .recorders import RecordedObserver
from .world import seconds

# Calls of a process: 2,000 a second of 340 nodes together.
MAX_CALLS_PER_SECOND = 2_000 / 340
# Calls that a source answers, so that a loop without a pause ends.
MAX_CALLS = 2_000
POSITION = StorePosition(1, 5)


class ScriptedSource(RecordSource):
    """Source whose polls have one outcome, and that counts its calls.

    It stops to answer after ``MAX_CALLS``.
    """

    def __init__(self, poll_outcome):
        self.poll_outcome = poll_outcome
        self.lists = 0
        self.polls = 0

    def list_all(self):
        self.lists += 1
        return succeed(RecordPage((), POSITION))

    def poll(self, position):
        self.polls += 1
        is_over = self.lists + self.polls > MAX_CALLS
        return Deferred() if is_over else self.poll_outcome()


class FollowingTests(unittest.TestCase):
    def follow(self, poll_outcome, min_interval=None):
        self.time = VirtualTime()
        clock = VirtualClock(self.time)
        observer = RecordedObserver()
        self.source = ScriptedSource(poll_outcome)
        self.pages = []
        self.follower = Follower(
            "kind",
            self.source,
            clock,
            Reachability(STORE, clock, observer),
            self.pages.append,
            self.pages.append,
            min_interval,
            observer,
            lambda failure: failure.raiseException(),
        )
        Deferred.fromCoroutine(self.follower.run())

    def count_calls(self, duration):
        """Return the calls of the store in a number of seconds from the start."""
        self.time.advance(seconds(duration))
        return self.source.lists + self.source.polls

    # A store that kept no history was listed without end and without a pause.
    def test_lists_follow_one_another_with_a_pause_if_each_watch_expires(self):
        self.follow(lambda: fail(WatchExpired()))
        self.assertLessEqual(self.count_calls(20), 20 * MAX_CALLS_PER_SECOND)
        self.assertGreaterEqual(self.source.lists, 20)

    def test_a_watch_that_expires_once_is_followed_by_a_list_at_once(self):
        waiting = Deferred()
        self.follow(lambda: waiting)
        self.time.advance(seconds(5))
        self.source.poll_outcome = Deferred
        waiting.errback(WatchExpired())
        self.time.advance(seconds(0))
        self.assertEqual(self.source.lists, 2)

    # One entry that was written all the time cost a call for each of its changes.
    def test_a_record_that_changes_all_the_time_costs_few_calls(self):
        for changes in ((RecordChange("odd", None),), ()):
            page = RecordPage(changes, POSITION)
            for min_interval in (None, seconds(0.5)):
                with self.subTest(changes=changes, min_interval=min_interval):
                    self.follow(lambda page=page: succeed(page), min_interval)
                    calls = self.count_calls(20)
                    self.assertLessEqual(calls, 20 * MAX_CALLS_PER_SECOND)

    def test_a_change_after_a_wait_is_followed_by_a_watch_at_once(self):
        waiting = Deferred()
        self.follow(lambda: waiting)
        self.time.advance(seconds(5))
        self.source.poll_outcome = Deferred
        waiting.callback(RecordPage((RecordChange("a", 1),), POSITION))
        self.assertEqual(self.source.polls, 2)

    # A process that woke waited for the end of the pause to know drained domains.
    def test_a_restart_takes_effect_during_a_pause(self):
        self.follow(lambda: succeed(RecordPage((), POSITION)))
        self.source.poll_outcome = Deferred
        self.follower.restart(seconds(0))
        self.time.advance(seconds(0))
        self.assertEqual(self.source.lists, 2)

    # After a restoration the processes were listed before they had registered again,
    # and each took the limit of several for its teams.
    def test_the_pause_after_a_change_goes_on_when_restarted(self):
        page = RecordPage((RecordChange("a", 1),), POSITION)
        self.follow(lambda: succeed(page), seconds(2))
        self.source.poll_outcome = Deferred
        self.time.advance(seconds(0.5))
        self.follower.restart(seconds(0))
        self.time.advance(seconds(1.4))
        self.assertEqual((self.source.lists, self.source.polls), (1, 1))
        self.time.advance(seconds(0.1))
        self.assertEqual((self.source.lists, self.source.polls), (1, 2))

    # The records were never read again.
    def test_a_restart_takes_effect_in_the_pause_of_expired_watches(self):
        self.follow(lambda: fail(WatchExpired()))
        lists = self.source.lists
        self.source.poll_outcome = Deferred
        self.follower.restart(seconds(0))
        self.time.advance(seconds(0))
        self.assertEqual((self.source.lists, self.source.polls), (lists + 1, lists + 1))


if __name__ == "__main__":
    unittest.main()
