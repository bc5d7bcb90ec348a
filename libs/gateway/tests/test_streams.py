import itertools
import unittest
from dataclasses import replace
from datetime import timedelta

from balsamspoke_fakes.properties import examples
from balsamspoke_gateway.exceptions import (
    AnswerLost,
    NoReplica,
    Overloaded,
)
from balsamspoke_gateway.fleet.replicas import HeldModel
from balsamspoke_gateway.messages import ReplicaState
from balsamspoke_gateway.observing import AttemptEnded, StreamResumed
from balsamspoke_gateway.stream_versions import StreamStarted, make_stream_keys
from hypothesis import given
from hypothesis import strategies as st

from .scripted_replicas import EVENTS, Answer
from .world import World, make_event_id, make_record, seconds


class StreamTests(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.records = [
            make_record("a", "engines", 1),
            make_record("b", "engines", 2),
        ]
        self.world.add(*self.records)
        for record in self.records:
            self.world.tell_state(record, {})

    def script_both(self, *answers):
        self.world.client.script("a", *answers)
        self.world.client.script("b", *answers)

    def test_forwards_whole_events(self):
        data = b"".join(EVENTS)
        self.script_both(Answer(pieces=[data[:20], data[20:]]))
        sink, _ = self.world.send("stream")
        self.assertEqual(sink.body, data)
        self.assertTrue(sink.is_finished)

    def test_resumes_a_broken_stream_after_its_last_whole_event(self):
        broken = Answer(pieces=[EVENTS[0] + EVENTS[1] + b"id: 3\nda"], breaks=True)
        rest = Answer(pieces=EVENTS[2:])
        self.script_both(broken, rest)
        self.world.client.answers["a"] = self.world.client.answers["b"] = [broken, rest]
        sink, _ = self.world.send("resumable")
        self.assertEqual(sink.body, b"".join(EVENTS))
        self.assertTrue(sink.is_finished)
        (first, _), (second, request) = self.world.client.sent
        self.assertNotEqual(first, second)
        self.assertEqual(request.last_event_id, make_event_id(2))
        resumed = [
            e for e in self.world.observer.events if isinstance(e, StreamResumed)
        ]
        self.assertEqual(resumed, [StreamResumed("id-1", "id-1", second, "", "2")])

    # What came before a break came twice where ids had more digits than were read.
    def test_a_broken_stream_goes_on_after_ids_of_any_number_of_digits(self):
        for digits in (1, 15, 16, 18, 19, 21, 40):
            with self.subTest(digits=digits):
                self.setUp()
                first = 10**digits - 3
                events = [b"id: %d\ndata: x\n\n" % (first + n) for n in range(5)]
                script = [Answer(pieces=events[:3], breaks=True), Answer(pieces=events)]
                self.world.client.answers = {"a": script, "b": script}
                sink, _ = self.world.send("resumable")
                self.assertEqual(sink.body, b"".join(events))
                self.assertTrue(sink.is_finished)
                _, request = self.world.client.sent[1]
                self.assertEqual(request.last_event_id.number, first + 2)

    def test_a_stream_whose_last_id_is_no_number_is_not_resumed_here(self):
        for last in (b"x", b"9" * 2000, b"1e3"):
            with self.subTest(last=last[:20]):
                self.setUp()
                events = [b"id: 1\ndata: x\n\n", b"id: %s\ndata: y\n\n" % last]
                self.script_both(Answer(pieces=events, breaks=True), Answer())
                sink, _ = self.world.send("resumable")
                self.assertEqual(len(self.world.client.sent), 1)
                self.assertEqual(sink.body, b"".join(events))
                self.assertTrue(sink.is_broken)

    def test_events_whose_ids_are_no_numbers_are_all_forwarded(self):
        events = [b"id: x\ndata: 1\n\n", b"id: x\ndata: 2\n\n", b"id: 3\ndata: 3\n\n"]
        self.script_both(Answer(pieces=events))
        sink, _ = self.world.send("resumable")
        self.assertEqual(sink.body, b"".join(events))

    def resume_with(self, answer):
        """Break a stream after two events, and resume it with an Answer."""
        self.setUp()
        broken = Answer(pieces=EVENTS[:2], breaks=True)
        scripts = [broken, answer]
        self.world.client.answers = {"a": scripts, "b": scripts}
        sink, _ = self.world.send("resumable")
        self.assertEqual(len(self.world.client.sent), 2)
        return sink

    def test_an_error_is_never_taken_for_the_rest_of_a_stream(self):
        error = b'{"error": "no such event"}'
        bodies = [(), (error,), (error + b"\n\n",), (b"error: x\n\n", EVENTS[2])]
        statuses = [200, 202, 204, 206, 301, 400, 404, 416, 429, 500, 502, 503, 504]
        for status, pieces, is_signed, is_framed, breaks in itertools.product(
            statuses, bodies, (True, False), (True, False), (True, False)
        ):
            is_whole = status == 200 and not pieces and is_signed and is_framed
            if is_whole and not breaks:
                # A run that had nothing left to send.
                continue
            answer = Answer(
                status, pieces, is_signed=is_signed, is_framed=is_framed, breaks=breaks
            )
            with self.subTest(status=status, pieces=pieces, breaks=breaks):
                sink = self.resume_with(answer)
                self.assertEqual(sink.body, b"".join(EVENTS[:2]))
                self.assertFalse(sink.is_finished)
                self.assertTrue(sink.is_broken)

    def break_stream(self, held, announced=0):
        """Break off a stream of an adapter; return the replicas that have run it.

        Parameters
        ----------
        held : sequence of int or None
            Versions of the adapter at the replicas "a" and "b".
        announced : int
            Version that is announced while the stream runs.
        """
        self.setUp()
        for record, version in zip(self.records, held, strict=True):
            adapters = {} if version is None else {"a1": version}
            self.world.tell_state(record, adapters)
        silent = Answer(pieces=EVENTS[:2], goes_silent=True)
        scripts = [silent, Answer(pieces=EVENTS[2:])]
        self.world.client.answers = {"a": scripts, "b": scripts}
        self.world.send("resumable", "a1")
        self.world.context.versions.announce("base", "a1", announced)
        self.world.client.exchanges[0].lose(AnswerLost("connection lost"))
        return self.list_receivers()

    def list_receivers(self):
        return [replica for replica, _ in self.world.client.sent]

    def test_a_stream_goes_on_within_its_answer_at_the_same_adapter_version(self):
        # The head of the answer has told the caller a version.
        self.assertEqual(len(self.break_stream((1, 1))), 2)
        for held in ((1, 2), (2, 1)):
            self.assertEqual(len(self.break_stream(held)), 1)
        self.assertEqual(len(self.break_stream((1, 1), announced=2)), 1)

    def test_a_stream_goes_on_where_the_same_adapter_version_is_loaded(self):
        for loaded, receivers in ((1, ["a", "b"]), (2, ["a"])):
            self.assertEqual(self.break_stream((1, None)), ["a"])
            wanted = self.world.peers.sent[-1][1].wanted
            self.assertEqual([each.version for each in wanted], [1])
            self.world.tell_state(self.records[1], {"a1": loaded})
            self.assertEqual(self.list_receivers(), receivers)

    def test_a_stream_that_its_caller_resumes_may_go_on_at_a_newer_adapter_version(
        self,
    ):
        # The head of the new answer tells the caller which one.
        self.world.tell_state(self.records[0], {"a1": 2})
        self.world.client.script("a", Answer(pieces=EVENTS[2:]))
        self.world.client.script("b", Answer(pieces=EVENTS[2:]))
        self.world.context.versions.announce("base", "a1", 2)
        key = make_stream_keys("", "first", "").request
        origin = StreamStarted(key, "engines", "")
        self.world.context.stream_versions.receive("10.0.1.2", origin)
        sink, _ = self.world.send(
            "resumable", "a1", last_event_id=2, resumed_id="first"
        )
        self.assertEqual(self.list_receivers(), ["a"])
        self.assertTrue(sink.is_finished)

    def test_tells_the_shared_prompt_parts_of_each_attempt(self):
        self.script_both(Answer(pieces=EVENTS))
        self.world.send("stream", parts=["system", "examples", "own"])
        ended = [e for e in self.world.observer.events if isinstance(e, AttemptEnded)]
        self.assertEqual(ended[0].prompt_parts, ("system", "examples"))

    def test_forwards_streams_without_a_token_count_or_a_prompt(self):
        for is_framed in (True, False):
            self.script_both(Answer(pieces=EVENTS, is_framed=is_framed))
            for others in ({"tokens": 0}, {"has_prompt": False}):
                sink, _ = self.world.send("paced-stream", **others)
                self.assertEqual(sink.body, b"".join(EVENTS))
                self.assertTrue(sink.is_finished)
                self.script_both(Answer(pieces=EVENTS, is_framed=is_framed))

    def test_an_event_without_an_end_is_given_up_and_not_kept(self):
        self.script_both(Answer(pieces=[EVENTS[0], *[b"data: x" * 2**17] * 100]))
        sink, _ = self.world.send("stream")
        self.assertTrue(sink.is_broken)
        self.assertEqual(sink.body, EVENTS[0])
        exchange = self.world.client.exchanges[0]
        self.assertGreater(len(exchange.remaining_pieces), 90)

    def test_an_event_id_of_thousands_of_digits_is_no_id(self):
        event = b"id: " + b"9" * 5000 + b"\ndata: x\n\n"
        self.script_both(Answer(pieces=[event]))
        sink, _ = self.world.send("stream")
        self.assertEqual((sink.body, sink.is_finished), (event, True))

    def test_truncates_a_broken_stream_that_may_not_be_resumed(self):
        self.script_both(Answer(pieces=[EVENTS[0]], breaks=True))
        sink, _ = self.world.send("stream")
        self.assertTrue(sink.is_broken)
        self.assertEqual(len(self.world.client.sent), 1)

    def test_makes_no_more_attempts_than_the_route_allows(self):
        broken = Answer(pieces=[EVENTS[0]], breaks=True)
        self.script_both(broken, broken)
        sink, _ = self.world.send("resumable")
        self.assertTrue(sink.is_broken)
        self.assertLessEqual(len(self.world.client.sent), 2)

    def test_requests_a_missing_adapter_and_waits_for_it(self):
        sink, _ = self.world.send("stream", adapter="a7")
        self.assertEqual(self.world.client.sent, [])
        ip, demand = self.world.peers.sent[-1]
        self.assertEqual(demand.wanted[0].adapter, "a7")
        record = next(each for each in self.records if each.ip == ip)
        self.world.tell_state(record, {"a7": 3})
        self.assertEqual(self.world.client.sent[0][0], record.id)
        self.assertEqual(self.world.client.sent[0][1].adapter_version, 3)
        self.assertTrue(sink.is_finished)

    def test_waits_at_one_replica_before_it_tries_the_other(self):
        # The objective leaves time for more waits than there are at one replica.
        self.world.send("patient-stream", adapter="a7")
        (first,) = self.list_ips_with_demand()
        self.advance_with_load_queue(first, 2.0)
        self.assertEqual(self.list_ips_with_demand(), {first})
        self.advance_with_load_queue(first, 0.3)
        self.assertEqual(len(self.list_ips_with_demand()), 2)

    def test_refuses_in_time_when_the_adapter_is_not_loaded(self):
        # Load pattern: more adapters are requested than the replicas have slots. All
        # requests waited until their callers gave up, and nobody was told to return.
        sink, _ = self.world.send("stream", adapter="a7")
        (first,) = self.list_ips_with_demand()
        self.advance_with_load_queue(first, 1.4)
        self.assertIsNone(sink.refusal)
        self.advance_with_load_queue(first, 0.2)
        self.assertIsInstance(sink.refusal, Overloaded)
        self.assertEqual(sink.refusal.retry_after, timedelta(seconds=0.6))
        self.assertEqual(self.world.client.sent, [])

    def test_sends_nothing_to_a_replica_that_began_to_leave_during_the_load(self):
        self.world.send("stream", adapter="a7")
        (ip,) = self.list_ips_with_demand()
        record = next(each for each in self.records if each.ip == ip)
        self.world.add(replace(record, is_leaving=True))
        self.world.tell_state(record, {"a7": 1})
        self.assertEqual(self.world.client.sent, [])

    def test_says_which_adapters_are_wanted_by_requests_that_can_be_on_time(self):
        self.world.send("stream", adapter="a7")
        self.assertEqual([each.adapter for each in self.find_demand().urgent], ["a7"])
        self.world.pass_time(0.5)
        (replica,) = (each.id for each in self.records if each.ip == self.demand_ip)
        demand = self.world.context.demands.make_message(
            replica,
            self.world.context.fleet.find_load(replica),
            timedelta(seconds=0.2),
            self.world.clock.monotonic(),
        )
        self.assertEqual([each.adapter for each in demand.wanted], ["a7"])
        self.assertEqual(demand.urgent, ())

    def find_demand(self):
        """Return the last EntryDemand, and remember the IP address of its recipient."""
        self.demand_ip, demand = self.world.peers.sent[-1]
        return demand

    def advance_with_load_queue(self, ip, duration):
        """Advance the time while loads are queued at the replica with an IP address.

        Parameters
        ----------
        ip : str
            IP address of the replica.
        duration : float
            Seconds to advance.
        """
        for _ in range(round(duration * 10)):
            for record in self.records:
                wanted = 12 if record.ip == ip else 0
                self.world.tell_state(record, {}, wanted_adapters=wanted)
            self.world.pass_time(0.1)

    def list_ips_with_demand(self):
        """Return the IP addresses to which demand for an adapter was sent."""
        return {ip for ip, demand in self.world.peers.sent if demand.wanted}

    def test_requests_no_older_version_than_announced(self):
        self.world.context.versions.announce("base", "a7", 5)
        for record in self.records:
            self.world.tell_state(record, {"a7": 4})
        self.world.send("stream", adapter="a7")
        self.assertEqual(self.world.client.sent, [])
        self.assertEqual(self.world.peers.sent[-1][1].wanted[0].version, 5)

    # Streams that broke under load were refused like new ones when resumed.
    def test_a_stream_that_is_resumed_is_not_refused_for_a_predicted_wait(self):
        self.script_both(*[Answer(pieces=EVENTS[2:])] * 2)
        for requires_admission in (False, True):
            for record in self.records:
                self.world.tell_state(
                    record,
                    {},
                    others_unread_tokens=1_000_000,
                    requires_admission=requires_admission,
                )
            keys = make_stream_keys("", "first", "")
            origin = StreamStarted(keys.request, "engines", "")
            self.world.context.stream_versions.receive("10.0.1.2", origin)
            sink, _ = self.world.send("resumable", last_event_id=2, resumed_id="first")
            self.assertEqual(sink.status, 200)
            new, _ = self.world.send("resumable")
            self.assertIsInstance(new.refusal, Overloaded)

    def test_refuses_at_once_if_the_predicted_wait_is_too_long(self):
        for record in self.records:
            self.world.tell_state(record, {}, others_unread_tokens=1_000_000)
        sink, _ = self.world.send("stream")
        self.assertIsInstance(sink.refusal, Overloaded)
        self.assertEqual(self.world.client.sent, [])

    def test_tries_each_replica_that_restarted_empty_only_once(self):
        # Load pattern: all machines lose power, and the entries in the store still
        # list the adapters that the replicas held before.
        world = World()
        held = (HeldModel("base", 1, {"a7": 1}),)
        world.add(
            make_record("a", "engines", 1, models=held),
            make_record("b", "engines", 2, models=held),
        )
        misdirected = [Answer(421, has_run=False)] * 20
        world.client.answers = {"a": misdirected[:], "b": misdirected[:]}
        for _ in range(10):
            sink, _ = world.send("stream", adapter="a7")
            self.assertIsInstance(sink.refusal, NoReplica)
        self.assertEqual(len(world.client.sent), 2)

    def test_sends_nothing_to_a_replaced_replica(self):
        # Load pattern: all machines lose power, and the engines start again with other
        # ids. For seconds the store lists the old entries beside the new ones.
        held = (HeldModel("base", 1, {"a7": 1}),)
        world = World()
        world.add(make_record("old", "engines", 1, models=held))
        new = make_record("new", "engines", 1, models=(), born=2)
        world.add(new)
        world.tell_state(new, {})
        world.client.script("old", Answer(421, has_run=False))
        world.send("stream", adapter="a7")
        self.assertEqual(world.client.sent, [])
        world.tell_state(new, {"a7": 1})
        self.assertEqual([name for name, _ in world.client.sent], ["new"])

    def test_refuses_with_a_longer_retry_after_time_while_the_model_loads(self):
        # Load pattern: all replicas restart and load their model. Callers that were
        # told to return after a fixed time found it still loading, and did not retry.
        for record, model_wait in zip(self.records, (1.4, 1.3)):
            state = ReplicaState(record.born, model_wait=model_wait)
            self.world.context.fleet.record_state(record.ip, state)
        sink, _ = self.world.send("stream")
        self.assertIsInstance(sink.refusal, NoReplica)
        self.assertEqual(sink.refusal.retry_after, seconds(1.3))

    def test_truncates_a_stream_at_its_deadline(self):
        self.script_both(Answer(pieces=[EVENTS[0]], goes_silent=True))
        sink, _ = self.world.send("stream", caller_timeout=2)
        self.world.pass_time(2.1)
        self.assertTrue(sink.is_broken)

    @examples(100)
    @given(st.integers(0, 4), st.integers(0, 12), st.booleans())
    def test_a_resumed_stream_is_whole_wherever_it_broke(self, events, part, breaks):
        world = World()
        world.add(*self.records)
        for record in self.records:
            world.tell_state(record, {})
        begin = b"".join(EVENTS[:events]) + EVENTS[events][:part]
        broken = Answer(pieces=[begin] if begin else [], breaks=True)
        whole = b"".join(EVENTS)
        rest = Answer(pieces=[b"".join(EVENTS[events:])])
        script = [broken, rest]
        world.client.answers = {"a": script, "b": script}
        sink, _ = world.send("resumable")
        self.assertEqual(sink.body, whole)
        self.assertTrue(sink.is_finished)
