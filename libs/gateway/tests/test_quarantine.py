import unittest
from datetime import timedelta
from unittest import mock

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_gateway.exceptions import (
    ConnectionLost,
    OutcomeUnknown,
    PromptQuarantined,
)
from balsamspoke_gateway.observing import PromptsQuarantined, ReplicaCrashed
from balsamspoke_gateway.quarantine import (
    QUARANTINE_TIME,
    AnsweredParts,
    CrashReport,
    CrashSuspect,
    QuarantineEntry,
    QuarantineStorage,
    QuarantineUpdate,
)
from balsamspoke_gateway.quarantine.evidence import CrashEvidence
from balsamspoke_gateway.quarantine.reports import ReceivedReports
from balsamspoke_gateway.requests import AdapterName, Prompt, PromptPart
from twisted.internet.defer import Deferred, succeed

from .engine_fleet import CRASHING_PART, EngineFleet
from .entry_world import EntryWorld, FakeQuarantineStore
from .scripted_replicas import EVENTS, Answer
from .test_crashing_prompts import Traffic
from .world import MODEL, World, make_record, seconds

NOW = timedelta(seconds=1000)


def make_update(seconds_left):
    """Return a peer's QuarantineUpdate of one set of parts."""
    return QuarantineUpdate((QuarantineEntry(("part",), seconds_left),))


class LoadedReplicaTests(unittest.TestCase):
    """Replicas that crash with many requests on them."""

    REQUESTS = 60

    def setUp(self):
        self.world = World()
        self.records = [
            make_record(name, "engines", number) for number, name in enumerate("ab", 1)
        ]
        self.world.add(*self.records)
        for record in self.records:
            self.world.tell_state(record, {})
        self.world.client.is_refusing = lambda record: succeed(True)

    # Each request of a crash judged all suspects anew, in one turn of the event loop.
    def test_a_crash_is_judged_once_whatever_ran_at_the_replica(self):
        silent = Answer(pieces=(), goes_silent=True)
        for name in "ab":
            self.world.client.script(name, *[silent] * self.REQUESTS)
        for number in range(self.REQUESTS):
            parts = (f"shared-{number % 7}", f"shared-{number % 5}", "own")
            self.world.send("stream", parts=parts, request_id=f"id-{number}")
        finds = []
        original = CrashEvidence.find_causes

        def find_causes(*arguments):
            finds.append(arguments)
            return original(*arguments)

        with mock.patch.object(CrashEvidence, "find_causes", find_causes):
            for exchange in self.world.client.exchanges:
                exchange.lose(ConnectionLost("connection lost"))
            self.world.pass_time(0.2)
        self.assertTrue(finds)
        self.assertLessEqual(len(finds), len(self.records))

    def test_an_error_in_the_judgement_lets_the_requests_go_on(self):
        time = VirtualTime()
        bugs, ended = [], []
        judge = mock.Mock(side_effect=ValueError)
        received = ReceivedReports(VirtualClock(time), judge, bugs.append)
        report = CrashReport("a", 1, (CrashSuspect("request:1", ("part",)),))
        received.add(report, is_own=True).addCallback(ended.append)
        time.advance(timedelta(0))
        self.assertEqual((len(bugs), ended), (1, [None]))


class AttemptTests(unittest.TestCase):
    """One entry process, whose replicas lose their connections."""

    def setUp(self):
        self.world = World()
        self.records = [
            make_record(name, "engines", number)
            for number, name in enumerate("abcd", 1)
        ]
        self.world.add(*self.records)
        for record in self.records:
            self.world.tell_state(record, {})
        for number in range(40):
            parts = (PromptPart(f"sound-{number}", 9), PromptPart("own", 9))
            prompt = Prompt(AdapterName(MODEL), 18, 9, parts)
            self.world.context.quarantine.record_prompt(prompt)
        self.is_refusing = True
        self.world.client.is_refusing = lambda record: succeed(self.is_refusing)
        self.script = []
        self.world.client.answers = dict.fromkeys("abcd", self.script)

    def send(self, *answers, route="stream", parts=("system", "part", "own")):
        self.script[:] = answers
        sink, _ = self.world.send(route, parts=parts)
        self.world.pass_time(0.2)
        return sink

    def crash_engine(self):
        """Send a request whose replica crashes, and remove the replica."""
        sink = self.send(Answer(error=ConnectionLost("reset")))
        replica, _ = self.world.client.sent[-1]
        now = self.world.clock.monotonic()
        self.world.context.fleet.directory.remove(replica, now)
        return sink

    def count_events(self, kind):
        return sum(isinstance(each, kind) for each in self.world.observer.events)

    def test_refuses_a_prompt_that_crashed_two_replicas(self):
        for _ in range(2):
            self.assertIsInstance(self.crash_engine().failure, OutcomeUnknown)
        sink = self.send()
        self.assertIsInstance(sink.refusal, PromptQuarantined)
        self.assertGreater(sink.refusal.retry_after, seconds(20))
        self.assertEqual(len(self.world.client.sent), 2)
        self.assertEqual(self.count_events(ReplicaCrashed), 2)
        self.assertEqual(self.count_events(PromptsQuarantined), 1)

    def test_a_connection_lost_to_a_replica_that_goes_on_is_no_crash(self):
        self.is_refusing = False
        for _ in range(4):
            self.send(Answer(error=ConnectionLost("reset")))
        self.assertEqual(self.count_events(ReplicaCrashed), 0)
        self.assertEqual(self.send(Answer(pieces=EVENTS)).status, 200)

    def test_a_replica_that_does_not_respond_delays_the_retry_only_shortly(self):
        self.world.client.is_refusing = lambda record: Deferred()
        script = [Answer(error=ConnectionLost("reset")), Answer(pieces=EVENTS)]
        sink = self.send(*script, route="resumable")
        self.assertEqual((sink.status, sink.is_finished), (200, True))
        self.assertEqual(self.count_events(ReplicaCrashed), 0)

    def test_a_replica_that_leaves_has_not_crashed(self):
        self.script[:] = [Answer(pieces=[EVENTS[0][:4]], goes_silent=True)]
        self.world.send("stream", parts=["part", "own"])
        replica, _ = self.world.client.sent[-1]
        self.world.add(make_record(replica, "engines", is_leaving=True))
        self.world.client.exchanges[-1].lose(ConnectionLost("reset"))
        self.world.pass_time(0.1)
        self.assertEqual(self.count_events(ReplicaCrashed), 0)

    def test_does_not_retry_a_request_whose_prompt_got_into_quarantine(self):
        crash = Answer(error=ConnectionLost("reset"))
        self.crash_engine()
        sink = self.send(crash, Answer(pieces=EVENTS), route="resumable")
        self.assertIsInstance(sink.failure, OutcomeUnknown)
        self.assertEqual(len(self.world.client.sent), 2)

    def test_a_stream_that_went_on_for_a_while_did_not_crash_its_replica(self):
        for _ in range(3):
            self.script[:] = [Answer(pieces=EVENTS[:1], goes_silent=True)]
            self.world.send("stream", parts=["part", "own"])
            self.world.pass_time(1)
            self.world.client.exchanges[-1].lose(ConnectionLost("reset"))
            self.world.pass_time(0.1)
        self.assertEqual(self.count_events(ReplicaCrashed), 0)

    def test_recalls_what_is_running_once_its_prompt_is_in_quarantine(self):
        self.script[:] = [Answer(is_silent=True)]
        sink, _ = self.world.send("stream", parts=["bad", "own"])
        other, _ = self.world.send("stream", parts=["good", "own"])
        entries = (QuarantineEntry(("bad",), 60.0),)
        self.world.context.quarantine.receive("10.0.1.2", QuarantineUpdate(entries))
        self.assertIsInstance(sink.failure, OutcomeUnknown)
        self.assertTrue(self.world.client.exchanges[0].is_aborted)
        self.assertFalse(other.failure)

    def test_an_unframed_stream_without_an_event_is_broken_off(self):
        sink = self.send(Answer(pieces=(), is_framed=False))
        self.assertIsInstance(sink.failure, OutcomeUnknown)
        self.assertEqual(self.send(Answer(pieces=())).status, 200)

    def test_an_unframed_answer_is_no_proof_that_the_replica_goes_on(self):
        self.crash_engine()
        self.send(Answer(pieces=EVENTS, is_framed=False))
        self.crash_engine()
        self.assertIsInstance(self.send().refusal, PromptQuarantined)

    def test_a_request_that_waited_for_its_adapter_is_refused(self):
        sink, _ = self.world.send("stream", adapter="a7", parts=["bad", "own"])
        entries = (QuarantineEntry(("bad",), 60.0),)
        self.world.context.quarantine.receive("10.0.1.2", QuarantineUpdate(entries))
        for record in self.records:
            self.world.tell_state(record, {"a7": 1})
        self.assertIsInstance(sink.refusal, PromptQuarantined)
        self.assertEqual(self.world.client.sent, [])

    def test_tells_a_peer_that_suspects_a_part_which_was_answered(self):
        self.send(Answer(pieces=EVENTS))
        suspect = CrashSuspect("1", ("part", "unknown"))
        report = CrashReport("z", 1, (suspect,))
        self.world.context.quarantine.receive("10.0.1.2", report)
        self.assertEqual(
            self.world.peers.sent[-1], ("10.0.1.2", AnsweredParts(("part",)))
        )

    def test_a_set_that_has_just_ended_here_is_not_told_on_as_new(self):
        self.world.context.peer_ips = ["10.0.1.2", "10.0.1.3"]
        quarantine = self.world.context.quarantine
        quarantine.receive("10.0.1.2", make_update(60.0))
        self.world.pass_time(60.001)
        self.world.peers.sent.clear()
        # Its end at the peer is some milliseconds later, by the time on the way.
        quarantine.receive("10.0.1.2", make_update(0.005))
        self.assertEqual(self.world.peers.sent, [])
        self.assertEqual(quarantine.count_entries(), 0)

    def test_tells_some_peers_once_of_a_set_that_a_peer_has_found(self):
        peers = [f"10.0.1.{number}" for number in range(2, 20)]
        self.world.context.peer_ips = peers
        update = QuarantineUpdate((QuarantineEntry(("part",), 60.0),))
        for _ in range(2):
            self.world.context.quarantine.receive(peers[0], update)
        told = [ip for ip, each in self.world.peers.sent if each == update]
        self.assertEqual(len(told), 3)
        self.assertEqual(len(set(told)), 3)


class SharedQuarantineTests(unittest.TestCase):
    def run_until_refused(self, fleet, seed=1):
        traffic = Traffic(fleet, seed)
        traffic.run(3, bad_rate=0)
        traffic.run(45)
        self.assertNotEqual(fleet.store.records["quarantine"], {})
        return traffic

    def test_crashes_that_different_processes_see_are_put_together(self):
        fleet = EngineFleet()
        Traffic(fleet, 1).run(3, bad_rate=0)
        fleet.pass_time(1)
        entries = list(fleet.entries.values())
        for entry in entries[:2]:
            entry.send("stream", parts=["system", CRASHING_PART, "own"])
            fleet.pass_time(1)
        self.assertEqual(len(fleet.crashes), 2)
        for entry in entries:
            sink, _ = entry.send("stream", parts=["system", CRASHING_PART, "own"])
            self.assertIsInstance(sink.refusal, PromptQuarantined)

    def test_processes_that_all_start_again_still_refuse_the_prompt(self):
        fleet = EngineFleet()
        traffic = self.run_until_refused(fleet)
        before = len(fleet.crashes)
        for ip in list(fleet.entries):
            fleet.start_entry(ip)
        fleet.pass_time(1)
        traffic.run(10)
        self.assertEqual(len(fleet.crashes), before)

    def test_lost_messages_are_made_up_for(self):
        fleet = EngineFleet()
        traffic = Traffic(fleet, 2)
        traffic.run(3, bad_rate=0)
        fleet.loses_messages = True
        traffic.run(5)
        fleet.loses_messages = False
        fleet.pass_time(4)
        traffic.run(3)
        before = fleet.seconds
        traffic.run(10)
        self.assertLessEqual(len(fleet.find_arrivals(CRASHING_PART, before)), 1)

    def test_a_false_suspicion_ends_at_all_processes_with_one_answer(self):
        fleet = EngineFleet()
        first, second, *_ = fleet.entries.values()
        entries = (QuarantineEntry(("part",), 600.0),)
        for entry in fleet.entries.values():
            entry.context.quarantine.receive("10.0.1.9", QuarantineUpdate(entries))
        sink, _ = first.send("resumable", parts=["part", "own"])
        self.assertIsInstance(sink.refusal, PromptQuarantined)
        second.context.quarantine.receive("10.0.1.9", AnsweredParts(("part",)))
        fleet.pass_time(20)
        sink, _ = first.send("resumable", parts=["part", "own"])
        fleet.pass_time(2)
        self.assertEqual(sink.status, 200)

    def test_a_record_that_cant_be_written_does_not_keep_others_from_it(self):
        world = EntryWorld()
        store = FakeQuarantineStore(world.store)
        bugs = []
        storage = QuarantineStorage(world.clock, store, bugs.append, bugs.append)
        running = Deferred.fromCoroutine(storage.run())
        with mock.patch.object(store, "put", side_effect=TypeError("unexpected")):
            storage.add({"first"}, seconds(60))
            world.pass_time(1)
        storage.add({"second"}, seconds(60))
        world.pass_time(1)
        running.addErrback(lambda _: None)
        running.cancel()
        self.assertIn(("second",), world.store.records["quarantine"])
        self.assertEqual([each.type for each in bugs], [TypeError])

    def test_an_unexpected_error_of_the_store_ends_neither_reading_nor_writing(self):
        fleet = EngineFleet()
        with mock.patch.object(
            FakeQuarantineStore, "list_all", side_effect=TypeError("unexpected")
        ):
            for ip in list(fleet.entries):
                fleet.start_entry(ip)
            Traffic(fleet, 3).run(3, bad_rate=0)
            fleet.loses_messages = True
            Traffic(fleet, 3).run(6)
        Traffic(fleet, 3).run(4)
        self.assertNotEqual(fleet.store.records["quarantine"], {})
        for entry in fleet.entries.values():
            self.assertGreater(entry.core.count_quarantined(), 0)

    def test_the_store_is_rid_of_what_has_ended(self):
        fleet = EngineFleet()
        self.run_until_refused(fleet)
        self.assertNotEqual(fleet.store.records["quarantine"], {})
        fleet.pass_time(QUARANTINE_TIME.total_seconds() + 2)
        self.assertEqual(fleet.store.records["quarantine"], {})


if __name__ == "__main__":
    unittest.main()
