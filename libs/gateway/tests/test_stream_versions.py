import unittest
from dataclasses import replace
from unittest import mock

from balsamspoke_fakes.properties import examples
from balsamspoke_gateway.configuration import WeightedService
from balsamspoke_gateway.exceptions import (
    OutcomeUnknown,
    StreamNotResumable,
    TimedOut,
)
from balsamspoke_gateway.messages import EntryDemand
from balsamspoke_gateway.side import SideCore
from balsamspoke_gateway.store.following import RecordChange, RecordPage, StorePosition
from balsamspoke_gateway.stream_versions import (
    StreamKeys,
    StreamOrigin,
    StreamOriginQuery,
    StreamOriginReply,
    StreamStarted,
    make_stream_keys,
)
from balsamspoke_gateway.stream_versions import records as stream_records
from balsamspoke_gateway.stream_versions.history import VersionHistory
from balsamspoke_gateway.stream_versions.records import StreamRecords
from hypothesis import given
from hypothesis import strategies as st

from .entry_world import EntryWorld
from .recorders import RecordedObserver
from .scripted_replicas import EVENTS, Answer
from .test_side import FakeControl
from .world import CONFIGURATION, World, make_record, seconds

PEERS = ["10.0.1.2", "10.0.1.3", "10.0.1.4", "10.0.1.5"]
V1 = StreamOrigin("engines", "v1")
BODY = b"what the caller asks for"
KEY = make_stream_keys("", "first", "").request


class ResumptionTests(unittest.TestCase):
    """A process with one replica of each of two versions, and peers."""

    def setUp(self):
        self.world = World()
        self.versions = self.world.context.stream_versions
        for number, version in enumerate(("v1", "v2"), 1):
            record = make_record(
                version, "engines", number, born=number, software_version=version
            )
            self.world.add(record)
            self.world.tell_state(record, {})
            self.world.client.script(version, *[Answer(pieces=EVENTS[2:])] * 20)
        now = self.world.clock.monotonic()
        self.world.context.peer_activity.set_peers(PEERS, seconds(100), now)

    def resume(self, **others):
        others.setdefault("resumed_id", "first")
        sink, _ = self.world.send("resumable", last_event_id=2, body=BODY, **others)
        return sink

    def list_sent(self, kind):
        sent = self.world.peers.sent
        return [(ip, each) for ip, each in sent if isinstance(each, kind)]

    def answer_queries(self, *replies):
        """Reply to the pending queries in turn, each with an origin or None."""
        queries = self.list_sent(StreamOriginQuery)
        self.world.peers.sent.clear()
        for (ip, query), origin in zip(queries, replies, strict=False):
            reply = StreamOriginReply(query.number)
            if origin is not None:
                reply = replace(reply, service=origin.service, version=origin.version)
            self.versions.receive(ip, reply)
        return len(queries)

    def list_receivers(self):
        return [replica for replica, _ in self.world.client.sent]

    def test_a_stream_that_a_holder_knows_goes_on_at_its_version(self):
        for version in ("v1", "v2"):
            for known_by in range(4):
                self.world.client.sent.clear()
                sink = self.resume()
                replies = [None] * 4
                replies[known_by] = StreamOrigin("engines", version)
                self.assertEqual(self.answer_queries(*replies), 4)
                self.assertEqual(self.list_receivers(), [version])
                self.assertEqual(sink.status, 200)

    def test_a_stream_that_nobody_knows_is_refused_as_soon_as_all_say_so(self):
        sink = self.resume()
        self.answer_queries(None, None, None)
        self.assertFalse(sink.is_started)
        sink = self.resume()
        self.answer_queries(None, None, None, None)
        self.assertIsInstance(sink.refusal, StreamNotResumable)
        self.assertEqual(self.list_receivers(), [])

    def test_a_stream_is_refused_soon_if_no_process_answers(self):
        sink = self.resume()
        self.world.pass_time(0.15)
        self.assertIsInstance(sink.refusal, StreamNotResumable)
        self.assertEqual(self.versions.count_pending(), 0)

    def test_a_stream_whose_first_request_is_not_named_is_known_by_its_content(self):
        self.world.send("resumable", request_id="first", body=BODY)
        (began_at,) = self.list_receivers()
        for resumed_id in (None, ""):
            sink = self.resume(resumed_id=resumed_id)
            self.assertEqual(sink.status, 200)
        self.assertEqual(self.list_receivers(), [began_at] * 3)

    def test_it_is_refused_if_nobody_knows_its_content(self):
        for resumed_id in (None, ""):
            sink = self.resume(resumed_id=resumed_id)
            self.answer_queries(None, None, None, None)
            self.assertIsInstance(sink.refusal, StreamNotResumable)

    def test_it_is_refused_if_streams_of_its_content_began_at_two_versions(self):
        (_, query), *_ = self.ask_for_content()
        for version in ("v1", "v2"):
            started = StreamStarted(0, "engines", version, query.content)
            self.versions.receive(PEERS[0], started)
        sink = self.resume(resumed_id=None)
        self.world.pass_time(0.2)
        self.assertIsInstance(sink.refusal, StreamNotResumable)

    def test_content_does_not_count_where_the_caller_names_another_request(self):
        (_, query), *_ = self.ask_for_content()
        started = StreamStarted(0, "engines", "v1", query.content)
        self.versions.receive(PEERS[0], started)
        sink = self.resume()
        self.world.pass_time(0.2)
        self.assertIsInstance(sink.refusal, StreamNotResumable)

    def ask_for_content(self):
        """Return the questions that a resumption without a request's id brings."""
        self.resume(resumed_id=None)
        self.world.pass_time(0.2)
        return self.list_sent(StreamOriginQuery)

    def test_a_stream_is_refused_at_once_if_its_version_has_gone(self):
        self.versions.receive(PEERS[0], StreamStarted(KEY, "engines", "v0"))
        sink = self.resume()
        self.assertIsInstance(sink.refusal, StreamNotResumable)
        self.assertIsNone(sink.refusal.retry_after)

    def test_the_only_replica_of_its_version_gets_all_the_time(self):
        self.versions.receive(PEERS[0], StreamStarted(KEY, "engines", "v1"))
        self.world.client.script("v1", Answer(is_silent=True))
        sink = self.resume()
        self.world.pass_time(4.9)
        self.assertFalse(sink.is_ended)
        self.world.pass_time(0.2)
        self.assertIsInstance(sink.failure, TimedOut)

    def test_a_broken_stream_ends_if_its_version_has_gone(self):
        broken = Answer(pieces=EVENTS[:2], breaks=True)
        self.world.client.script("v1", broken)
        self.world.client.script("v2", broken)
        sink, _ = self.world.send("resumable")
        self.assertTrue(sink.is_broken)
        self.assertEqual(len(self.list_receivers()), 1)
        ended = self.world.observer.find_request_end()
        self.assertEqual(ended.outcome, OutcomeUnknown.__name__)

    def test_a_stream_is_not_joined_with_one_of_another_service(self):
        route = CONFIGURATION.find_route("api.example", "/resumable/x")
        moved = replace(route, services=(WeightedService("others", 1.0),))
        routes = (moved, *(each for each in CONFIGURATION.routes if each != route))
        self.world.context.configuration = replace(CONFIGURATION, routes=routes)
        other = make_record("other", "others", 9, software_version="v1")
        self.world.add(other)
        self.versions.receive(PEERS[0], StreamStarted(KEY, "engines", "v1"))
        sink = self.resume()
        self.assertIsInstance(sink.refusal, StreamNotResumable)

    def test_a_stream_goes_on_at_its_service_where_the_route_has_several(self):
        route = CONFIGURATION.find_route("api.example", "/resumable/x")
        shared = (WeightedService("others", 9.0), WeightedService("engines", 1.0))
        changed = replace(route, services=shared)
        routes = (changed, *(each for each in CONFIGURATION.routes if each != route))
        self.world.context.configuration = replace(CONFIGURATION, routes=routes)
        self.versions.receive(PEERS[0], StreamStarted(KEY, "engines", "v1"))
        self.assertEqual(self.resume().status, 200)
        self.assertEqual(self.list_receivers(), ["v1"])

    def test_three_holders_are_told_of_a_stream_before_its_first_event(self):
        self.world.send("resumable", request_id="first")
        told = self.list_sent(StreamStarted)
        holders = {ip for ip, _ in told}
        self.assertEqual(len(holders), 3)
        self.assertEqual(len(holders - set(PEERS)), 2)
        self.assertEqual({each.stream for _, each in told}, {KEY})
        self.assertEqual({each.version for _, each in told}, set(self.list_receivers()))

    def test_the_processes_that_are_asked_include_those_that_were_told(self):
        self.world.send("resumable", request_id="first", body=BODY)
        told = {ip for ip, _ in self.list_sent(StreamStarted)}
        asker = World(ip=PEERS[3])
        now = asker.clock.monotonic()
        peers = ["10.0.1.1", *PEERS[:3]]
        asker.context.peer_activity.set_peers(peers, seconds(100), now)
        asker.add(make_record("v1", "engines"), make_record("v2", "engines", 2))
        asker.send("resumable", last_event_id=2, resumed_id="first", body=BODY)
        asked = {ip for ip, _ in asker.peers.sent}
        self.assertLessEqual(told - {PEERS[3]}, asked)

    def test_nobody_is_told_of_streams_that_can_not_be_resumed(self):
        self.world.client.script("v1", Answer(pieces=EVENTS))
        self.world.client.script("v2", Answer(pieces=EVENTS))
        self.world.send("stream", request_id="first")
        self.assertEqual(self.list_sent(StreamStarted), [])

    def test_a_team_does_not_change_what_is_known_of_another_ones_streams(self):
        keys = [make_stream_keys(team, "first", "") for team in ("a", "b")]
        self.assertNotEqual(keys[0].request, keys[1].request)
        self.assertEqual(make_stream_keys("a", "", "").request, 0)

    @examples(50)
    @given(st.integers(), st.integers(), st.none() | st.text(max_size=3))
    def test_replies_that_nobody_waits_for_change_nothing(self, number, stream, text):
        self.versions.receive(PEERS[0], StreamOriginReply(number, text, text))
        self.versions.receive(PEERS[0], StreamStarted(stream, "engines", "v9"))
        self.assertEqual(self.versions.count_pending(), 0)


class RestartedReplicaTests(unittest.TestCase):
    """A process that hears from a side process which has many others to tell."""

    def setUp(self):
        self.world = World()
        self.record = make_record("v1", "engines", software_version="v1")
        self.world.add(self.record)
        self.control = FakeControl()
        peers = mock.Mock()
        peers.send.side_effect = self.deliver
        observer = RecordedObserver()
        engine = CONFIGURATION.find_service("engines").engine
        clock = self.world.clock
        self.side = SideCore(clock, self.control, peers, observer, lambda: engine)
        self.side.start()
        for number in range(1, 250):
            demand = EntryDemand(interval=20.0)
            self.side.receive_message(f"10.0.1.{number}", demand)
        self.world.pass_time(0.5)

    def deliver(self, ip, state):
        if ip == self.world.context.settings.ip:
            self.world.context.fleet.record_state(self.record.ip, state)

    def test_a_stream_does_not_go_on_once_its_replica_has_loaded_its_model_anew(self):
        # The store has no entry of the new start yet, which has another version.
        self.world.client.script("v1", Answer(pieces=EVENTS[2:]))
        origin = StreamStarted(KEY, "engines", "v1")
        self.world.context.stream_versions.receive(PEERS[0], origin)
        self.control.restart()
        while not self.control.models:
            self.world.pass_time(0.01)
        sink, _ = self.world.send("resumable", last_event_id=2, resumed_id="first")
        self.assertEqual(self.world.client.sent, [])
        self.assertIsNotNone(sink.refusal)


class KnownVersionTests(unittest.TestCase):
    """A process that follows a store whose replicas have one version."""

    def setUp(self):
        self.world = EntryWorld()
        self.world.configure(1)
        self.write("v1", 1)
        self.world.core.start()
        self.live(seconds(32))

    def write(self, version, number):
        record = make_record(
            version, "engines", number, born=number, software_version=version
        )
        self.world.store.write("replicas", version, record)
        return record

    def live(self, duration):
        """Pass time while the store is heard and the replicas report."""
        for _ in range(round(duration / seconds(0.5))):
            self.world.store.write("replicas", "other", make_record("other"))
            for record in self.world.context.fleet.directory.list_all():
                self.world.tell_state(record, {})
            self.world.pass_time(0.5)

    def resume(self):
        self.world.client.script("v1", Answer(pieces=EVENTS[2:]))
        self.world.client.script("v2", Answer(pieces=EVENTS[2:]))
        sink, _ = self.world.send("resumable", last_event_id=2, resumed_id="first")
        self.world.pass_time(0.2)
        return sink

    def test_streams_go_on_where_there_was_one_version_all_the_time(self):
        self.assertEqual(self.resume().status, 200)

    def start(self, **settings):
        """Start a process at a store that knows v1; return its world."""
        self.world = EntryWorld(**settings)
        self.world.configure(1)
        self.write("v1", 1)
        self.world.core.start()
        self.live(seconds(1))
        self.world.client.script("v1", *[Answer(pieces=EVENTS[2:])] * 5)
        return self.world

    def resume_unnamed(self, world):
        sink, _ = world.send("resumable", last_event_id=2)
        world.pass_time(0.2)
        return sink

    def test_also_soon_after_the_first_start_if_no_request_is_named(self):
        world = self.start(is_first_start=True)
        world.send("resumable")
        sink = self.resume_unnamed(world)
        self.assertEqual(sink.status, 200)

    def test_also_soon_after_the_start_of_a_process_that_reads_the_register(self):
        store = self.start(is_first_start=True).store
        self.world.send("resumable")
        world = self.start(store=store)
        sink = self.resume_unnamed(world)
        self.assertEqual(sink.status, 200)

    def test_not_for_a_lifetime_if_the_store_has_no_register(self):
        for has_started in (False, True):
            world = self.start()
            if has_started:
                world.send("resumable")
            self.live(seconds(27))
            sink = self.resume_unnamed(world)
            self.assertIsInstance(sink.refusal, StreamNotResumable)
            self.live(seconds(4))
            sink = self.resume_unnamed(world)
            self.assertEqual(sink.status, 200)

    def test_not_while_the_store_is_silent(self):
        self.world.store.go_away()
        self.world.pass_time(4)
        self.assertIsInstance(self.resume().refusal, StreamNotResumable)

    def test_nor_by_a_register_that_was_read_before_the_store_fell_silent(self):
        world = self.start(is_first_start=True)
        world.send("resumable")
        self.assertEqual(self.resume_unnamed(world).status, 200)
        world.store.go_away()
        world.pass_time(4)
        sink = self.resume_unnamed(world)
        self.assertIsInstance(sink.refusal, StreamNotResumable)

    # A process that was cut off let a stream of a version that it hadn't heard of go
    # on at the only one that it knew.
    def test_not_by_what_was_followed_while_neither_store_nor_peers_answer(self):
        self.world.store.go_away()
        self.world.pass_time(1)
        self.assertIsInstance(self.resume().refusal, StreamNotResumable)

    def test_but_while_the_store_is_silent_if_all_holders_know_nothing(self):
        self.world.store.go_away()
        self.world.pass_time(1)
        self.world.client.script("v1", Answer(pieces=EVENTS[2:]))
        sink, _ = self.world.send("resumable", last_event_id=2, resumed_id="first")
        queries = [
            (ip, each)
            for ip, each in self.world.peers.sent
            if isinstance(each, StreamOriginQuery)
        ]
        for ip, query in queries:
            reply = StreamOriginReply(query.number)
            self.world.context.stream_versions.receive(ip, reply)
        self.world.pass_time(0.2)
        self.assertEqual(sink.status, 200)

    def test_not_after_it_stood_still_while_another_version_came(self):
        world = self.start(is_first_start=True)
        world.send("resumable")
        self.live(seconds(2))
        world.clock.pause()
        register, revision = world.store.records["stream versions"]["all"]
        changed = (register.add("engines", "v2"), revision + 1)
        world.store.write("stream versions", "all", changed)
        self.write("v2", 2)
        world.pass_time(4)
        world.clock.resume()
        sink = self.resume_unnamed(world)
        self.assertIsInstance(sink.refusal, StreamNotResumable)

    # A version that came and went between two reads was never known.
    def test_not_if_another_version_came_and_went_between_two_reads(self):
        record = self.write("v1", 1)
        gone = replace(record, id="v2", software_version="v2")
        changes = (RecordChange("v2", gone), RecordChange("v2", None))
        page = RecordPage(changes, StorePosition(0, 10**6))
        self.world.core._store_view._apply_replicas(page, False)
        self.world.store.records["stream versions"].clear()
        self.assertIsInstance(self.resume().refusal, StreamNotResumable)

    # The register told of another version, but not yet of all that there are.
    def test_not_by_what_was_followed_if_the_register_tells_of_another_version(self):
        world = self.start()
        world.send("resumable")
        self.live(seconds(35))
        register, revision = world.store.records["stream versions"]["all"]
        self.assertFalse(register.is_complete)
        changed = (register.add("engines", "v2"), revision + 1)
        world.store.write("stream versions", "all", changed)
        sink = self.resume_unnamed(world)
        self.assertIsInstance(sink.refusal, StreamNotResumable)

    def test_also_soon_after_a_short_failure_of_the_store(self):
        self.world.store.go_away()
        self.world.pass_time(1)
        self.world.store.return_()
        self.live(seconds(1))
        self.assertEqual(self.resume().status, 200)

    def test_not_soon_after_the_store_was_away(self):
        self.world.store.go_away()
        self.world.pass_time(4)
        self.world.store.return_()
        self.live(seconds(3))
        self.assertIsInstance(self.resume().refusal, StreamNotResumable)
        self.live(seconds(30))
        self.assertEqual(self.resume().status, 200)

    def test_not_while_another_version_was_there_lately(self):
        self.write("v2", 2)
        self.live(seconds(2))
        self.assertIsInstance(self.resume().refusal, StreamNotResumable)
        self.world.store.write("replicas", "v1", None)
        self.live(seconds(2))
        self.assertIsInstance(self.resume().refusal, StreamNotResumable)
        self.live(seconds(31))
        sink = self.resume()
        self.assertEqual(sink.status, 200)
        self.assertEqual(self.world.client.sent[-1][0], "v2")

    def test_running_streams_are_told_of_once_a_second_version_appears(self):
        context = self.start(is_first_start=True).context
        now = self.world.clock.monotonic()
        context.peer_activity.set_peers(PEERS, seconds(1000), now)
        self.world.client.answers["v1"] = [Answer(pieces=EVENTS[:1], goes_silent=True)]
        self.world.send("resumable", request_id="first", caller_timeout=50)
        self.assertEqual(self.list_told(), set())
        self.write("v2", 2)
        self.live(seconds(1))
        self.assertEqual(self.list_told(), {KEY})

    def list_told(self):
        sent = [each for _, each in self.world.peers.sent]
        return {each.stream for each in sent if isinstance(each, StreamStarted)}


class RecordTests(unittest.TestCase):
    def test_the_oldest_stream_is_forgotten_first(self):
        records = StreamRecords()
        for number in range(stream_records.MAX_RECORDS + 1):
            records.put(StreamKeys(number + 1, 0), V1, seconds(number))
        self.assertIsNone(records.find(StreamKeys(1, 0)))
        self.assertEqual(records.find(StreamKeys(2, 0)), V1)
        records.expire(seconds(5))
        self.assertIsNone(records.find(StreamKeys(5, 0)))
        self.assertEqual(records.find(StreamKeys(6, 0)), V1)

    def test_a_process_knows_no_version_of_the_time_before_it_followed(self):
        history = VersionHistory()
        history.record({("engines", "v1")}, seconds(5))
        self.assertIsNone(history.find_only_version("engines", seconds(0)))
        history.restart(seconds(5))
        self.assertIsNone(history.find_only_version("engines", seconds(4)))
        self.assertEqual(history.find_only_version("engines", seconds(5)), "v1")
        history.expire(seconds(6))
        self.assertIsNone(history.find_only_version("engines", seconds(5)))
