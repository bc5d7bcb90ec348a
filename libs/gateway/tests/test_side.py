import unittest
from dataclasses import replace
from datetime import timedelta
from unittest import mock

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_gateway.adapters.model_loads import ModelLoadMonitor
from balsamspoke_gateway.adapters.plan import EngineReport, OrderKind
from balsamspoke_gateway.configuration import EngineLimits, EngineModel
from balsamspoke_gateway.exceptions import AnswerLost, ReplicaBusy
from balsamspoke_gateway.messages import EntryDemand, ReplicaState, WantedAdapter
from balsamspoke_gateway.observing import AdaptersRefused, ProgramFailed
from balsamspoke_gateway.ports import ReplicaControl
from balsamspoke_gateway.replica_speed.messages import (
    LearnedSlowdown,
    RecentSamples,
)
from balsamspoke_gateway.side import SideCore
from balsamspoke_gateway.stream_versions import (
    StreamOriginQuery,
    StreamOriginReply,
    StreamStarted,
)
from twisted.internet.defer import fail, succeed

from .recorders import RecordedObserver, RecordedPeers

MODEL = "base"
ENGINE = EngineLimits((EngineModel(MODEL, 10.0),), 20.0, 2, 8)


def seconds(number):
    return timedelta(seconds=number)


class FakeControl(ReplicaControl):
    """Control of a replica that executes orders at once, or does not receive them.

    Attributes
    ----------
    models : dict
        Versions of the adapters that it holds, by model and adapter name.
    orders : int
        Orders that it has accepted.
    sent_orders : list of Order
        All orders sent to it, including lost ones.
    orders_to_lose : int
        Number of further orders that are lost before it receives them.
    is_unreachable : bool
        Whether reading its report fails.
    is_leaving : bool
        Whether its reports state that it leaves.
    born : int
        Its start time in milliseconds.
    slowdown : float or None
        How long work takes there, as its reports state.
    pending : dict
        Versions of the adapters being loaded, by ``model/name``.
    loads_at_once : bool
        Whether an adapter is held as soon as it is ordered.
    """

    def __init__(self):
        self.born = 1
        self.models = {MODEL: {}}
        self.orders = 0
        self.sent_orders = []
        self.orders_to_lose = 0
        self.is_unreachable = False
        self.is_leaving = False
        self.born = 1
        self.slowdown = None
        self.pending = {}
        self.loads_at_once = True

    def read_report(self):
        if self.is_unreachable:
            return fail(AnswerLost("no answer in time"))
        models = {model: dict(names) for model, names in self.models.items()}
        report = EngineReport(
            self.born,
            models,
            dict(self.pending),
            orders=self.orders,
            is_leaving=self.is_leaving,
            slowdown=self.slowdown,
        )
        return succeed(report)

    def restart(self):
        """Start again without models, under the same id."""
        self.born += 1
        self.models = {}
        self.orders = 0

    def finish_load(self, name):
        """Hold an adapter that was being loaded."""
        self.models[MODEL][name] = self.pending.pop(f"{MODEL}/{name}")

    def send_order(self, order):
        self.sent_orders.append(order)
        if self.orders_to_lose:
            self.orders_to_lose -= 1
            return fail(AnswerLost("no answer in time"))
        if order.expected_orders != self.orders:
            return succeed("409")
        self.orders += 1
        if order.adapter is None:
            self.models[order.model] = {}
        elif order.kind is OrderKind.LOAD and not self.loads_at_once:
            self.pending[f"{order.model}/{order.adapter}"] = order.version or 1
        elif order.kind is OrderKind.LOAD:
            self.models[order.model][order.adapter] = order.version or 1
        else:
            del self.models[order.model][order.adapter]
        return succeed("202")


class SideTests(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.control = FakeControl()
        self.peers = RecordedPeers()
        self.observer = RecordedObserver()
        self.core = SideCore(
            VirtualClock(self.time),
            self.control,
            self.peers,
            self.observer,
            lambda: ENGINE,
        )
        self.core.start()
        self.time.advance(seconds(1))

    def send_demand(self, *names):
        wanted = tuple(WantedAdapter(MODEL, name, 0) for name in names)
        self.core.receive_message("10.0.1.1", EntryDemand(wanted))

    def list_states(self):
        return [each for _, each in self.peers.sent if isinstance(each, ReplicaState)]

    def test_sends_its_state_to_a_new_entry_process_at_once(self):
        self.core.receive_message("10.0.1.1", EntryDemand())
        self.time.advance(seconds(0.001))
        self.assertEqual([ip for ip, _ in self.peers.sent], ["10.0.1.1"])

    def test_tells_soon_that_an_adapter_is_loaded_which_a_request_waits_for(self):
        self.control.loads_at_once = False
        for duration, latest in ((0.03, 0.02), (0.288, 0.055)):
            with self.subTest(duration=duration):
                self.send_demand("a1")
                self.time.advance(seconds(duration))
                self.control.finish_load("a1")
                self.time.advance(seconds(latest))
                self.assertIn("a1", self.list_states()[-1].models[MODEL])
                self.control.models[MODEL].clear()
                self.time.advance(seconds(2))

    def test_tells_it_once_while_further_adapters_are_loaded(self):
        self.control.loads_at_once = False
        self.send_demand("a1", "a2")
        self.time.advance(seconds(0.1))
        self.control.finish_load("a1")
        self.time.advance(seconds(0.12))
        told = [each for each in self.list_states() if "a1" in each.models[MODEL]]
        self.assertEqual(len(told), 1)

    def test_reads_reports_seldom_while_nothing_is_loaded(self):
        with mock.patch.object(
            self.control, "read_report", wraps=self.control.read_report
        ) as read_report:
            self.time.advance(seconds(3))
        self.assertLessEqual(read_report.call_count, 21)

    def test_goes_on_after_an_unexpected_error(self):
        with mock.patch.object(self.control, "read_report") as read_report:
            read_report.side_effect = RuntimeError("unexpected")
            self.time.advance(seconds(1))
        self.send_demand("a1")
        self.time.advance(seconds(1))
        self.assertEqual(self.list_states()[-1].models, {MODEL: {"a1": 1}})
        kinds = {type(each) for each in self.observer.events}
        self.assertIn(ProgramFailed, kinds)

    def test_a_replica_that_refuses_an_order_is_left_alone_as_long_as_it_asks(self):
        busy = fail(ReplicaBusy(seconds(3)))
        with mock.patch.object(self.control, "send_order", return_value=busy):
            self.send_demand("a1")
            self.time.advance(seconds(0.02))
        with mock.patch.object(self.control, "read_report") as read_report:
            self.send_demand("a1")
            self.time.advance(seconds(2.9))
            read_report.assert_not_called()
        self.send_demand("a1")
        self.time.advance(seconds(0.2))
        self.assertEqual(self.list_states()[-1].models, {MODEL: {"a1": 1}})

    def test_loads_a_wanted_adapter_and_reports_it(self):
        self.send_demand("a1")
        self.time.advance(seconds(0.02))
        self.assertEqual(self.list_states()[-1].models, {MODEL: {"a1": 1}})

    def test_tells_what_is_known_of_the_speed_of_its_replica_since_its_start(self):
        self.control.slowdown = 2.5
        demand = EntryDemand(
            learned_slowdown=LearnedSlowdown(1.5, 30.0),
            recent_samples=RecentSamples(6.0, 10),
        )
        self.core.receive_message("10.0.1.1", demand)
        self.time.advance(seconds(0.2))
        self.core.receive_message("10.0.1.2", EntryDemand())
        self.time.advance(seconds(0.2))
        state = self.list_states()[-1]
        self.assertAlmostEqual(state.learned_slowdown.slowdown, 1.5)
        self.assertGreater(state.recent_slowdown, 4)
        self.assertAlmostEqual(state.stated_slowdown.slowdown, 2.5)
        self.control.born, self.control.slowdown = 2, None
        self.time.advance(seconds(0.4))
        self.core.receive_message("10.0.1.3", EntryDemand())
        self.time.advance(seconds(0.2))
        state = self.list_states()[-1]
        self.assertIsNone(state.learned_slowdown)
        self.assertIsNone(state.stated_slowdown)

    def test_tells_at_once_that_its_replica_leaves(self):
        self.core.receive_message("10.0.1.1", EntryDemand())
        self.time.advance(seconds(0.2))
        self.control.is_leaving = True
        self.time.advance(seconds(0.16))
        self.assertTrue(self.list_states()[-1].is_leaving)

    def test_tells_all_processes_of_a_restart_before_the_replica_loads_its_model(self):
        # Each one hears of other changes only after some seconds.
        entries = {
            f"10.0.{group}.{number}" for group in (1, 2) for number in range(170)
        }
        for ip in entries:
            self.core.receive_message(ip, EntryDemand(interval=10.0))
        self.time.advance(seconds(0.4))
        self.peers.sent.clear()
        told_before_load = set()

        def load(order):
            sent = self.peers.sent
            told_before_load.update(ip for ip, each in sent if each.born == 2)
            return succeed("202")

        self.control.restart()
        with mock.patch.object(self.control, "send_order", load):
            self.time.advance(seconds(0.2))
        self.assertEqual(told_before_load, entries)

    def test_tells_of_a_restart_again_as_messages_may_be_lost(self):
        for number in range(200):
            self.core.receive_message(f"10.0.1.{number}", EntryDemand(interval=10.0))
        self.time.advance(seconds(0.4))
        self.control.restart()
        self.time.advance(seconds(2))
        states = [each for ip, each in self.peers.sent if ip == "10.0.1.7"]
        self.assertEqual(sum(each.born == 2 for each in states), 3)

    def test_reports_the_number_of_wanted_adapters(self):
        self.control.orders_to_lose = 1000
        self.send_demand("a1", "a2", "a3")
        self.time.advance(seconds(0.4))
        self.assertEqual(self.list_states()[-1].wanted_adapters, 3)
        self.control.orders_to_lose = 0
        self.time.advance(seconds(0.4))
        self.assertLess(self.list_states()[-1].wanted_adapters, 3)

    def test_tells_which_adapters_may_crash_its_replica(self):
        control = self.control
        read_report = control.read_report
        self.born = 0

        def crash_while_loading():
            self.born += 1
            control.models = {MODEL: {}}
            report = read_report().result
            pending = {f"{MODEL}/bad": 1}
            return succeed(replace(report, born=self.born // 2, pending=pending))

        control.read_report = crash_while_loading
        self.core.start()
        self.time.advance(seconds(2))
        refused = AdaptersRefused((f"{MODEL}/bad",))
        self.assertIn(refused, self.observer.events)

    def test_predicts_when_a_restarted_replica_holds_its_model(self):
        monitor = ModelLoadMonitor()
        model = EngineModel(MODEL, 10.0, seconds(1.6), seconds(3.9))
        engine = EngineLimits((model,), 20.0, 2, 8)
        monitor.record_report(EngineReport(1), seconds(10))
        waits = []
        for now in (10, 11, 12, 20):
            monitor.record_report(EngineReport(1), seconds(now))
            waits.append(monitor.predict_wait(engine, seconds(now)).total_seconds())
        # After 1.6 s it is not on the disk; after 3.9 s nothing is known.
        for wait, expected in zip(waits, (1.6, 0.6, 1.9, 0)):
            self.assertAlmostEqual(wait, expected)
        monitor.record_report(EngineReport(1, {MODEL: {}}), seconds(21))
        self.assertEqual(monitor.predict_wait(engine, seconds(21)), seconds(0))

    def test_resends_a_lost_order_with_the_same_count(self):
        # Load pattern: a third of the orders get no answer while loads are queued.
        self.control.orders_to_lose = 2
        self.send_demand("a1")
        self.time.advance(seconds(0.05))
        self.assertEqual(
            [each.expected_orders for each in self.control.sent_orders], [0] * 3
        )
        self.assertIn("a1", self.control.models[MODEL])

    def test_loads_the_model_of_a_replica_that_restarted_empty(self):
        self.control.models = {}
        self.control.orders = 0
        self.time.advance(seconds(0.5))
        self.assertIn(MODEL, self.control.models)

    def test_reports_when_the_replica_is_lost_and_regained(self):
        self.control.is_unreachable = True
        self.time.advance(seconds(0.5))
        self.control.is_unreachable = False
        self.time.advance(seconds(0.5))
        names = [type(each).__name__ for each in self.observer.events]
        self.assertEqual(names, ["DependencyLost", "DependencyRegained"])


class EngineStatusTests(unittest.TestCase):
    def test_it_tells_slots_in_use_adapters_wanted_and_the_prefill_backlog(self):
        clock = VirtualClock(VirtualTime())
        control = FakeControl()
        control.loads_at_once = False
        side = SideCore(
            clock, control, RecordedPeers(), RecordedObserver(), lambda: ENGINE
        )
        self.assertIsNone(side.engine_status)
        side.start()
        wanted = (WantedAdapter(MODEL, "a1", 0),)
        demand = EntryDemand(wanted, ("a2", "a3"), unread_tokens=1000)
        side.receive_message("10.0.1.1", demand)
        side.receive_message("10.0.1.2", EntryDemand((), ("a3",), unread_tokens=500))
        status = side.engine_status
        self.assertEqual(status.adapters_in_use, 2)
        self.assertEqual(status.adapters_wanted, 1)
        self.assertGreater(status.prefill_backlog, timedelta(0))
        self.assertFalse(status.is_prefill_limited)


class StreamHolderTests(unittest.TestCase):
    def test_a_side_process_tells_where_streams_began_that_it_was_told_of(self):
        peers = RecordedPeers()
        side = SideCore(
            VirtualClock(VirtualTime()),
            FakeControl(),
            peers,
            RecordedObserver(),
            lambda: ENGINE,
        )
        side.receive_message("10.0.1.1", StreamStarted(7, "engines", "v1", 8))
        side.receive_message("10.0.1.1", StreamStarted(9, "engines", "v" * 1000, 10))
        queries = [StreamOriginQuery(1, 7), StreamOriginQuery(2, 0, 8)]
        queries += [StreamOriginQuery(3, 9), StreamOriginQuery(4, 5, 8)]
        for query in queries:
            side.receive_message("10.0.1.2", query)
        known = [StreamOriginReply(number, "engines", "v1") for number in (1, 2)]
        unknown = [StreamOriginReply(number) for number in (3, 4)]
        self.assertEqual(peers.sent, [("10.0.1.2", each) for each in known + unknown])
        self.assertEqual(side.count_streams(), 1)


if __name__ == "__main__":
    unittest.main()
