"""Failure domains that the operator drains and takes back (issue 35)."""

import dataclasses
import itertools
import unittest
from unittest import mock

from balsamspoke_fakes.properties import examples
from balsamspoke_gateway.admission.messages import (
    AdmissionCancellation,
    AdmissionReply,
    AdmissionRequest,
    AdmissionStatus,
)
from balsamspoke_gateway.drained_domains.domains import DrainChanges, DrainedDomains
from balsamspoke_gateway.drained_domains.freshness import FreshnessTracker
from balsamspoke_gateway.exceptions import NoReplica, NotReady, StreamNotResumable
from balsamspoke_gateway.fleet.replicas import RECOVERY_GRACE
from balsamspoke_gateway.messages import (
    DrainedDomainsNotice,
    EntryDemand,
    EntryUsage,
    ReplicaState,
)
from balsamspoke_gateway.observing import (
    DomainDrained,
    DomainReturned,
    DrainUnclear,
    PreloadStarted,
)
from balsamspoke_gateway.requests import AdapterName
from balsamspoke_gateway.store.following import RecordPage, StorePosition
from balsamspoke_gateway.store.records import DrainRequest
from balsamspoke_gateway.stream_versions import StreamStarted, make_stream_keys
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred

from .engine_fleet import EngineFleet
from .entry_world import EntryWorld
from .fleet_traffic import Traffic
from .scripted_replicas import EVENTS, Answer
from .world import MODEL, World, make_record, seconds

DOMAINS = ("north", "south", "west")
KIND = "drain requests"
# Adapters that all engines hold; each is used mostly at the first in its order.
ADAPTERS = [f"adapter-{number}" for number in range(12)]
# Bound of the users, in seconds, and the time of calm after which it holds again.
DRAIN_TIME = 5.0
CALM_TIME = 4.0
# Time in which a process that reaches the store has read a change.
READ_TIME = 0.05


class Drains:
    """The operator's drains of a fleet with three failure domains.

    Attributes
    ----------
    began : dict
        Times of the acknowledgements, by the domain that is drained now.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.began = {}
        self._wrong = []
        self._checked = 0

    def drain(self, domain):
        self.began[domain] = self.fleet.seconds
        self.fleet.store.write(KIND, domain, DrainRequest())

    def take_back(self, domain):
        self._check()
        self.began.pop(domain, None)
        self.fleet.store.write(KIND, domain, None)

    def _check(self):
        for each in self.fleet.arrivals[self._checked :]:
            began = self.began.get(each.domain)
            if began is not None:
                self._wrong.append((each, began))
        self._checked = len(self.fleet.arrivals)

    def list_late(self, delay=READ_TIME):
        """Return the arrivals later than a time after the acknowledgement.

        The time of the acknowledgement is the second one of each pair.
        """
        self._check()
        return [
            (each, began) for each, began in self._wrong if each.time > began + delay
        ]


def make_fleet(entries=4, **others):
    others.setdefault("domain_drain_time", seconds(DRAIN_TIME))
    fleet = EngineFleet(entries, domains=DOMAINS, adapters=ADAPTERS, **others)
    return fleet, Traffic(fleet, entries, ADAPTERS), Drains(fleet)


class DrainedFleetTests(unittest.TestCase):
    def test_nothing_is_sent_to_a_drained_domain_until_it_is_taken_back(self):
        for entries in (1, 4, 24):
            with self.subTest(entries=entries):
                fleet, traffic, drains = make_fleet(entries)
                traffic.run(2, bad_rate=0)
                drains.drain("north")
                # Engines that crash bring retries and streams that are resumed.
                traffic.run(3)
                drains.drain("south")
                traffic.run(3)
                self.assertEqual(drains.list_late(), [])
                drains.take_back("north")
                drains.take_back("south")
                since = fleet.seconds
                traffic.run(5, bad_rate=0)
                used = {each.replica for each in fleet.arrivals if each.time > since}
                self.assertEqual(len(used), len(fleet.engines))

    def test_nothing_is_sent_there_by_any_of_many_entry_processes(self):
        fleet, traffic, drains = make_fleet(60)
        traffic.run(1, bad_rate=0)
        drains.drain("north")
        traffic.run(1.5)
        drains.drain("south")
        traffic.run(1.5)
        self.assertEqual(drains.list_late(), [])
        drains.take_back("north")
        drains.take_back("south")
        since = fleet.seconds
        # Engines that crashed before are back within three seconds.
        traffic.run(5, bad_rate=0)
        used = {each.domain for each in fleet.arrivals if each.time > since}
        self.assertEqual(used, set(DOMAINS))

    def test_running_requests_end_where_they_run(self):
        fleet, traffic, drains = make_fleet()
        traffic.run(1, bad_rate=0)
        for domain in DOMAINS[:2]:
            drains.drain(domain)
        fleet.pass_time(2)
        self.assertEqual(traffic.count_served(0)[0], traffic.count_served(0)[1])

    def test_a_process_that_starts_in_the_middle_learns_it_before_it_serves(self):
        fleet, traffic, drains = make_fleet()
        traffic.run(1, bad_rate=0)
        drains.drain("north")
        fleet.pass_time(1)
        fleet.store.silent_kinds.add(KIND)
        fleet.loses_messages = True
        fleet.kill_entry("10.0.1.1")
        fleet.start_entry("10.0.1.1")
        world = fleet.entries["10.0.1.1"]
        self.assertFalse(world.core.is_ready)
        sink, _ = world.send("resumable")
        fleet.pass_time(1)
        self.assertIsInstance(sink.refusal, NotReady)
        fleet.store.answer_lists()
        traffic.run(2, bad_rate=0)
        self.assertTrue(world.core.is_ready)
        self.assertEqual(drains.list_late(), [])

    def test_a_process_without_the_store_learns_it_from_its_peers(self):
        for entries in (4, 24, 60):
            with self.subTest(entries=entries):
                self.check_cut_process(entries)

    def check_cut_process(self, entries):
        fleet, traffic, drains = make_fleet(entries)
        world = fleet.entries["10.0.1.1"]
        traffic.run(1, bad_rate=0)
        world.is_cut = True
        drains.drain("north")
        traffic.run(DRAIN_TIME, bad_rate=0)
        self.assertEqual(drains.list_late(1.0), [])
        drains.take_back("north")
        traffic.run(2, bad_rate=0)
        reasons = [
            each.reason
            for each in world.observer.events
            if isinstance(each, DomainDrained | DomainReturned)
        ]
        self.assertEqual(reasons, ["a peer says so"] * 2)
        # What it reads later is no news, nor a second object.
        world.is_cut = False
        drains.drain("south")
        fleet.pass_time(6)
        events = [each for each in world.observer.events if type(each) is DrainUnclear]
        self.assertEqual(events, [])

    def test_the_last_known_state_holds_in_a_process_that_hears_nobody(self):
        fleet, traffic, drains = make_fleet()
        drains.drain("north")
        traffic.run(1, bad_rate=0)
        for world in fleet.entries.values():
            world.is_cut = True
        fleet.loses_messages = True
        traffic.run(20, bad_rate=0)
        self.assertEqual(drains.list_late(), [])
        sent, served = traffic.count_served(15)
        self.assertGreater(served, 0.6 * sent)
        # A drain that nobody hears of is learned as soon as the store is back.
        drains.drain("south")
        traffic.run(2, bad_rate=0)
        for world in fleet.entries.values():
            world.is_cut = False
        healed_at = fleet.seconds
        traffic.run(CALM_TIME, bad_rate=0)
        late = [each for each, _ in drains.list_late() if each.time > healed_at + 1]
        self.assertEqual(late, [])

    def test_a_lost_answer_of_the_store_is_noticed_within_the_bound(self):
        fleet, traffic, drains = make_fleet(1)
        traffic.run(1, bad_rate=0)
        (world,) = fleet.entries.values()
        world.is_cut = True
        drains.drain("north")
        fleet.pass_time(0.1)
        world.is_cut = False
        traffic.run(8, bad_rate=0)
        self.assertEqual(drains.list_late(DRAIN_TIME), [])

    def test_a_process_that_wakes_learns_it_before_it_sends(self):
        for is_answer_lost in (False, True):
            with self.subTest(is_answer_lost=is_answer_lost):
                self.check_waking_process(is_answer_lost)

    def check_waking_process(self, is_answer_lost):
        fleet, traffic, drains = make_fleet(1)
        traffic.run(1, bad_rate=0)
        (world,) = fleet.entries.values()
        world.clock.pause()
        fleet.pass_time(1)
        drains.drain("north")
        fleet.pass_time(10)
        # A request that has waited in the socket is read before any timer fires.
        sinks = [world.send("resumable", adapter=name)[0] for name in ADAPTERS]
        world.is_cut = is_answer_lost
        world.clock.resume()
        world.is_cut = False
        # So has one that comes when an overdue watch has failed, before the list.
        fleet.pass_time(0.05)
        sinks += [world.send("resumable", adapter=name)[0] for name in ADAPTERS]
        fleet.pass_time(2)
        self.assertEqual(drains.list_late(), [])
        self.assertEqual({sink.status for sink in sinks}, {200})

    def test_requests_of_a_process_that_wakes_wait_for_one_list_only(self):
        for is_drained, begins_first in itertools.product((False, True), repeat=2):
            with self.subTest(is_drained=is_drained, begins_first=begins_first):
                fleet, traffic, drains = make_fleet(1)
                traffic.run(1, bad_rate=0)
                fleet.pass_time(5)
                (world,) = fleet.entries.values()
                world.clock.pause()
                fleet.pass_time(1)
                if is_drained:
                    drains.drain("north")
                fleet.pass_time(7)
                known = len(fleet.arrivals)
                if begins_first:
                    world.send("resumable", adapter=ADAPTERS[0])
                world.clock.resume()
                world.send("resumable", adapter=ADAPTERS[1])
                fleet.pass_time(READ_TIME)
                self.assertEqual(len(fleet.arrivals) - known, 1 + begins_first)
                self.assertEqual(drains.list_late(), [])

    def test_an_empty_answer_lets_requests_pass(self):
        world = World(domain_drain_time=seconds(DRAIN_TIME))
        coordinator = world.context.drained_domains
        page = RecordPage((), StorePosition(1, 1))
        source = mock.Mock(poll=mock.AsyncMock(return_value=page))
        tracked = coordinator.track(source)
        Deferred.fromCoroutine(tracked.poll(page.position))
        world.pass_time(7)
        waiter = Deferred.fromCoroutine(coordinator.wait_until_current())
        self.assertFalse(waiter.called)
        Deferred.fromCoroutine(tracked.poll(page.position))
        self.assertTrue(waiter.called)

    def test_a_store_that_lost_a_drain_does_not_end_it_at_once(self):
        fleet, traffic, drains = make_fleet()
        copy = fleet.store.copy()
        drains.drain("north")
        traffic.run(1, bad_rate=0)
        for is_written_again in (True, False):
            fleet.store.restore(copy)
            era = fleet.store.era
            for world in fleet.entries.values():
                world.core.handle_restored_store(era - 1, era)
            traffic.run(1, bad_rate=0)
            if is_written_again:
                fleet.store.write(KIND, "north", DrainRequest())
            traffic.run(0.9, bad_rate=0)
            self.assertEqual(drains.list_late(), [])
            traffic.run(RECOVERY_GRACE.total_seconds() + 2, bad_rate=0)
            if is_written_again:
                self.assertEqual(drains.list_late(), [])
        world = fleet.entries["10.0.1.1"]
        (event,) = [x for x in world.observer.events if isinstance(x, DomainReturned)]
        self.assertIn("not written again", event.reason)

    def test_a_deployment_without_the_bound_follows_nothing(self):
        _, traffic, drains = make_fleet(domain_drain_time=None)
        drains.drain("north")
        traffic.run(3, bad_rate=0)
        self.assertNotEqual(drains.list_late(), [])


class DrainedWorld(EntryWorld):
    """An entry process with an engine in each of two domains."""

    def __init__(self, service="engines"):
        super().__init__(domain_drain_time=seconds(DRAIN_TIME))
        self.configure(1)
        self.records = [
            make_record("a", service, 1, failure_domain="north"),
            make_record("b", service, 2, failure_domain="south"),
        ]
        for record in self.records:
            self.store.write("replicas", record.id, record)
        self.core.start()

    def drain(self, *domains):
        for domain in domains:
            self.store.write(KIND, domain, DrainRequest())

    def list_sent(self):
        return [replica for replica, _ in self.client.sent]

    def list_unclear(self):
        events = [each for each in self.observer.events if type(each) is DrainUnclear]
        return [(each.domain, each.reason.split()[-1]) for each in events]


class WaitingRequestTests(unittest.TestCase):
    def test_a_wait_for_an_adapter_moves_at_once(self):
        world = DrainedWorld()
        first, second = world.records
        world.tell_state(first, {})
        world.send("stream", adapter="x")
        world.tell_state(second, {})
        world.drain("north")
        world.pass_time(READ_TIME)
        self.assertEqual(world.list_sent(), [])
        # Neither does a load that ends bring it to the drained domain.
        world.tell_state(first, {"x": 1})
        self.assertEqual(world.list_sent(), [])
        self.assertEqual(self.list_wanted(world, "a"), [])
        self.assertEqual(self.list_wanted(world, "b"), ["x"])
        world.tell_state(second, {"x": 1})
        self.assertEqual(world.list_sent(), ["b"])

    def list_wanted(self, world, replica):
        load = world.context.fleet.find_load(replica)
        message = world.context.demands.make_message(
            replica, load, seconds(0.2), seconds(0)
        )
        return [wanted.adapter for wanted in message.wanted]

    def test_waits_for_admission_and_for_permits_are_checked_again(self):
        for wait, service in (("admission", "engines"), ("permit", "plain")):
            with self.subTest(wait=wait):
                world = DrainedWorld(service)
                first, second = world.records
                if wait == "admission":
                    world.tell_state(first, {"x": 1}, requires_admission=True)
                    world.send("stream", adapter="x")
                    world.tell_state(second, {"x": 1})
                else:
                    # The issuer is a peer that doesn't answer at once.
                    world.context.fleet.rate_limits.record_named(first, 5, seconds(0))
                    world.core.context.peer_ips = ["10.0.1.9"]
                    activity = world.context.peer_activity
                    activity.set_peers(["10.0.1.9"], seconds(9), seconds(0))
                    with mock.patch.object(
                        world.context.rate_limiting._issuers,
                        "choose",
                        return_value="10.0.1.9",
                    ):
                        world.send("safe")
                self.assertEqual(world.list_sent(), [])
                world.drain("north")
                with mock.patch.object(
                    world.context.rate_limiting._limits, "find_rate", return_value=None
                ):
                    world.pass_time(2)
                self.assertEqual(world.list_sent(), ["b"])

    def test_a_prompt_that_is_queued_at_a_drained_domain_moves_at_once(self):
        world = DrainedWorld()
        first, second = world.records
        world.tell_state(first, {"x": 1}, requires_admission=True)
        world.send("stream", adapter="x")
        (request,) = [x for _, x in world.peers.sent if type(x) is AdmissionRequest]
        queued = AdmissionReply(request.number, AdmissionStatus.QUEUED, 0.5)
        world.core.receive_message(first.ip, queued)
        world.tell_state(second, {"x": 1})
        world.drain("north")
        self.assertEqual(world.list_sent(), ["b"])
        cancellation = (first.ip, AdmissionCancellation(request.number))
        self.assertIn(cancellation, world.peers.sent)

    def test_callers_are_refused_at_once_if_all_domains_are_drained(self):
        world = DrainedWorld("plain")
        world.drain("north", "south")
        sink, _ = world.send("safe")
        self.assertIsInstance(sink.refusal, NoReplica)
        self.assertIn("drained", str(sink.refusal))
        self.assertGreaterEqual(sink.refusal.retry_after, seconds(1))

    def test_a_stream_whose_version_is_drained_is_told_when_to_return(self):
        for is_known in (True, False):
            with self.subTest(is_known=is_known):
                world = DrainedWorld()
                for record, version in zip(world.records, ("v1", "v2"), strict=True):
                    record = dataclasses.replace(record, software_version=version)
                    world.store.write("replicas", record.id, record)
                world.pass_time(1)
                origin = StreamStarted(
                    make_stream_keys("", "first", "").request,
                    "engines",
                    "v1" if is_known else "v0",
                )
                world.context.stream_versions.receive("10.0.1.9", origin)
                world.drain("north")
                sink, _ = world.send("resumable", last_event_id=2, resumed_id="first")
                if is_known:
                    self.assertIsInstance(sink.refusal, NoReplica)
                    self.assertGreaterEqual(sink.refusal.retry_after, seconds(1))
                else:
                    self.assertIsInstance(sink.refusal, StreamNotResumable)
                self.assertEqual(world.list_sent(), [])

    def test_replicas_count_as_cold_when_their_domain_returns(self):
        world = DrainedWorld("plain")
        world.drain("north")
        service = world.context.configuration.find_service("plain")
        object.__setattr__(service, "cold_time", seconds(3))
        self.addCleanup(object.__setattr__, service, "cold_time", seconds(0))
        world.send("safe")
        directory = world.context.fleet.directory
        listed = []

        def list_usable(*_):
            listed.extend(each.id for each in directory.list_service("plain"))

        with mock.patch.object(
            world.context.rate_limiting, "record_cold", side_effect=list_usable
        ) as record:
            world.store.write(KIND, "north", None)
        # Until then they were no candidates.
        self.assertEqual(listed, ["b"])
        record.assert_called_once_with(world.records[0], seconds(3), mock.ANY)
        (event,) = [x for x in world.observer.events if isinstance(x, DomainReturned)]
        self.assertEqual((event.domain, event.placed_elsewhere), ("north", 1))

    def test_unclear_objects_are_in_force_and_cost_one_line_each(self):
        world = DrainedWorld("plain")
        world.store.write(KIND, "north", DrainRequest(is_readable=False))
        world.drain("nowhere", "south", "south")
        world.pass_time(3)
        self.assertEqual(
            world.list_unclear(),
            [("north", "read"), ("south", "again"), ("nowhere", "domain")],
        )
        self.assertEqual(world.core.count_drained_domains(), 3)
        self.assertEqual(world.list_receivers(), set())


class PreloadTests(unittest.TestCase):
    def setUp(self):
        self.world = DrainedWorld()
        self.adapters = [f"x{number}" for number in range(6)]
        third = make_record("c", "engines", 3, failure_domain="south")
        self.world.store.write("replicas", "c", third)
        self.world.pass_time(1)
        self.rest = [*self.world.records[1:], third]
        held = dict.fromkeys(self.adapters, 1)
        self.world.tell_state(self.world.records[0], held)
        self.tell({}, {"x5": 1})
        self.world.client.answers = {"a": [Answer(pieces=EVENTS) for _ in range(21)]}
        # The first ones are requested most.
        for number, adapter in enumerate(self.adapters):
            for _ in range(6 - number):
                self.world.send("stream", adapter=adapter)
        self.world.pass_time(0.1)

    def tell(self, *held_by_replica):
        for record, held in zip(self.rest, held_by_replica, strict=True):
            self.world.tell_state(record, held)

    def list_wanted(self):
        demands = self.world.context.demands
        return {
            record.id: [
                wanted.adapter
                for wanted in demands.make_message(
                    record.id,
                    self.world.context.fleet.find_load(record.id),
                    seconds(0.2),
                    seconds(0),
                ).wanted
            ]
            for record in self.rest
        }

    def test_adapters_in_demand_are_ordered_once_elsewhere_the_most_wanted_first(self):
        self.world.drain("north")
        wanted = self.list_wanted()
        ordered = [*wanted["b"], *wanted["c"]]
        # The last one is held elsewhere.
        self.assertEqual(sorted(ordered), self.adapters[:5])
        for names in wanted.values():
            self.assertEqual(names, sorted(names))
        (event,) = [x for x in self.world.observer.events if type(x) is PreloadStarted]
        self.assertEqual(event, PreloadStarted("north", 6))
        self.tell(dict.fromkeys(wanted["b"], 1), {"x5": 1})
        self.world.pass_time(0.3)
        self.assertEqual(self.list_wanted(), {"b": [], "c": wanted["c"]})
        self.world.pass_time(6)
        self.assertEqual(self.list_wanted(), {"b": [], "c": []})

    def test_a_replica_gets_a_few_orders_at_a_time(self):
        self.world.store.write("replicas", "c", None)
        self.world.pass_time(0.1)
        self.rest.pop()
        self.tell({})
        self.world.drain("north")
        self.assertEqual(self.list_wanted()["b"], self.adapters[:4])
        self.tell(dict.fromkeys(self.adapters[:3], 1))
        self.world.pass_time(0.3)
        self.assertEqual(self.list_wanted()["b"], self.adapters[3:])

    def test_what_nobody_requests_is_not_ordered(self):
        self.world.pass_time(60)
        self.world.tell_state(self.world.records[0], dict.fromkeys(self.adapters, 1))
        self.tell({}, {})
        self.world.drain("north")
        self.assertEqual(self.list_wanted(), {"b": [], "c": []})

    def test_the_demand_is_sent_when_an_order_begins_and_when_it_is_met(self):
        sent = self.world.peers.sent
        with mock.patch(
            "balsamspoke_gateway.entry.choose_interval", return_value=seconds(11)
        ):
            self.world.pass_time(0.3)
            sent.clear()
            self.world.drain("north")
            ordered = {"x0", "x1", "x2", "x3", "x4"}
            demands = {ip: each for ip, each in sent if type(each) is EntryDemand}
            wanted = [each.adapter for x in demands.values() for each in x.wanted]
            self.assertEqual(len(sent), len(demands))
            self.assertEqual(set(wanted), ordered)
            sent.clear()
            for record in self.rest:
                held = {each.adapter: 1 for each in demands[record.ip].wanted}
                state = ReplicaState(record.born, {MODEL: held})
                self.world.core.receive_message(record.ip, state)
            self.world.pass_time(0.3)
            self.assertEqual({ip for ip, _ in sent}, {each.ip for each in self.rest})
            self.assertEqual([each.wanted for _, each in sent], [(), ()])

    def add_domain(self, *adapters):
        """Add a replica in a third domain, whose adapters are in demand."""
        record = make_record("d", "engines", 4, failure_domain="west")
        self.world.store.write("replicas", "d", record)
        self.world.tell_state(record, dict.fromkeys(adapters, 1))
        now = self.world.clock.monotonic()
        for adapter in adapters:
            self.world.context.popularity.count_request(
                AdapterName(MODEL, adapter), now
            )

    def list_all_wanted(self):
        return sorted(name for names in self.list_wanted().values() for name in names)

    def test_a_second_drain_keeps_the_orders_of_the_first(self):
        self.add_domain("z")
        with mock.patch(
            "balsamspoke_gateway.drained_domains.preloading.MAX_PENDING_ADAPTERS", 1
        ):
            self.world.drain("north")
            # What was ordered there is placed anew.
            self.world.drain("west")
        self.world.pass_time(0.3)
        self.assertEqual(self.list_all_wanted(), [*self.adapters[:5], "z"])
        self.world.pass_time(6)
        self.assertEqual(self.list_all_wanted(), [])

    def test_each_version_of_an_order_is_ended(self):
        self.world.drain("north")
        self.world.pass_time(0.1)
        self.add_domain("x0")
        self.world.context.versions.announce(MODEL, "x0", 2)
        self.world.drain("west")
        self.assertEqual(self.list_all_wanted().count("x0"), 2)
        self.world.pass_time(6)
        self.assertEqual(self.list_all_wanted(), [])

    def test_the_return_of_the_domain_ends_its_orders(self):
        self.add_domain("z")
        self.world.drain("north", "west")
        self.world.store.write(KIND, "north", None)
        self.assertEqual(self.list_all_wanted(), ["z"])

    def test_orders_at_a_domain_that_is_drained_too_end(self):
        self.world.drain("north", "south")
        self.world.pass_time(0.3)
        self.assertEqual(self.list_wanted(), {"b": [], "c": []})


class DecisionTests(unittest.TestCase):
    def test_the_list_or_notice_of_the_latest_position_holds(self):
        domains = DrainedDomains()
        changes = domains.read(["a"], StorePosition(1, 5), seconds(1))
        self.assertEqual(changes, DrainChanges(("a",), {}))
        domains.hear([], StorePosition(1, 4), seconds(2))
        domains.hear(["b"], StorePosition(1, 5), seconds(2))
        self.assertEqual(domains.drained, {"a"})
        changes = domains.hear(["b"], StorePosition(1, 6), seconds(3))
        self.assertEqual(changes, DrainChanges(("b",), {"a": seconds(2)}))
        # A list that was asked for before the notice came doesn't disprove it.
        domains.read(["a"], StorePosition(1, 5), seconds(3), seconds(2.9))
        self.assertEqual(domains.drained, {"b"})

    def test_a_faulty_notice_counts_only_until_the_store_is_read(self):
        for notice in (
            DrainedDomainsNotice(2**40, 1, ("north",)),
            DrainedDomainsNotice(1, 2**40, ("north",)),
            DrainedDomainsNotice(1, 2**40, ()),
            DrainedDomainsNotice(-1, 1, ("north",)),
            DrainedDomainsNotice(1, -1, ("north",)),
        ):
            with self.subTest(notice=notice):
                self.check_faulty_notice(notice)

    def check_faulty_notice(self, notice):
        world = DrainedWorld("plain")
        coordinator = world.context.drained_domains
        world.pass_time(1)
        for _ in range(2):
            message = EntryUsage(1, {}, (), store_era=1, drained_domains=notice)
            world.core.receive_message("10.0.1.9", message)
            self.assertLess(coordinator.make_notice().revision, 2**40)
            world.pass_time(1.1)
            self.assertEqual(world.list_receivers(), {"a"})
        world.drain("north")
        world.pass_time(READ_TIME)
        self.assertEqual(world.list_receivers(), {"b"})
        self.assertEqual(coordinator.make_notice().domains, ("north",))

    def test_an_answer_that_waited_while_suspended_shows_the_past(self):
        freshness = FreshnessTracker(seconds(5))
        self.assertFalse(freshness.is_outdated(seconds(0)))
        freshness.record_answer(seconds(0), seconds(0.1))
        self.assertFalse(freshness.is_outdated(seconds(4)))
        # It may have been given as early as it was asked for.
        freshness.record_answer(seconds(1), seconds(8))
        self.assertTrue(freshness.is_outdated(seconds(8)))
        freshness.record_failure()
        self.assertFalse(freshness.is_outdated(seconds(8)))
        freshness.record_answer(seconds(8), seconds(8.1))
        self.assertFalse(freshness.is_outdated(seconds(12)))

    def test_notices_may_come_late_and_doubled(self):
        world = DrainedWorld("plain")
        world.drain("north")
        coordinator = world.context.drained_domains
        known = coordinator.make_notice()
        for notice in (None, DrainedDomainsNotice(1, 1, ("south",)), known):
            coordinator.receive(notice, 1)
        self.assertEqual(coordinator.make_notice(), known)
        self.assertEqual(known.domains, ("north",))


class Disturbances:
    """Times in which a process is not held to the bound, and the calm after them."""

    def __init__(self):
        self._spans = []

    def begin(self, now):
        self._spans.append([now, float("inf")])

    def end(self, now):
        for span in self._spans:
            span[1] = min(span[1], now)

    def find_begin(self, time):
        """Return when the disturbance began that may excuse an arrival, or the time."""
        begin = time
        for start, end in reversed(self._spans):
            if start <= begin <= end + CALM_TIME:
                begin = start
        return begin


class PropertyTests(unittest.TestCase):
    @examples(25)
    @given(
        st.lists(
            st.sampled_from(
                [f"drain {each}" for each in DOMAINS]
                + [f"return {each}" for each in DOMAINS]
                + ["store lost", "store back", "cut", "heal", "restart", "pause"]
                + ["silence", "crash"]
            ),
            min_size=6,
            max_size=14,
        ),
        st.integers(0, 1_000),
    )
    def test_the_bound_holds_in_any_order_of_events(self, events, seed):
        fleet, _, drains = make_fleet(3)
        traffic = Traffic(fleet, seed, ADAPTERS)
        disturbances = {ip: Disturbances() for ip in fleet.entries}
        traffic.run(0.5, sound_rate=20, bad_rate=0)
        for event in events:
            self.bring_about(event, fleet, drains, disturbances)
            traffic.run(1.5, sound_rate=20, bad_rate=0)
            for each, began in drains.list_late(DRAIN_TIME):
                excused_since = disturbances[each.entry].find_begin(each.time)
                self.assertLess(excused_since, began + DRAIN_TIME)

    def bring_about(self, event, fleet, drains, disturbances):
        now = fleet.seconds
        verb, _, domain = event.partition(" ")
        first = fleet.entries["10.0.1.1"]
        if verb in ("drain", "return") and not fleet.store.is_unavailable:
            if verb == "return":
                drains.take_back(domain)
            elif domain not in drains.began:
                drains.drain(domain)
        elif event == "store lost":
            fleet.store.go_away()
            for each in disturbances.values():
                each.begin(now)
        elif event == "store back":
            fleet.store.return_()
            for each in disturbances.values():
                each.end(now)
        elif event == "cut":
            first.is_cut = True
            disturbances["10.0.1.1"].begin(now)
        elif event == "heal":
            first.is_cut = False
            if not fleet.store.is_unavailable:
                disturbances["10.0.1.1"].end(now)
        elif event == "restart":
            fleet.kill_entry("10.0.1.2")
            fleet.start_entry("10.0.1.2")
        elif event == "pause":
            world = fleet.entries["10.0.1.3"]
            world.clock.pause()
            fleet.pass_time(9)
            world.clock.resume()
        elif event == "silence":
            fleet.loses_messages = not fleet.loses_messages
        elif event == "crash":
            engine = next(iter(fleet.engines.values()))
            if engine.is_up:
                engine.crash()


if __name__ == "__main__":
    unittest.main()
