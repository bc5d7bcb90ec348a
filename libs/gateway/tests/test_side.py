import unittest
from datetime import timedelta

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_gateway.adapters import EngineReport, OrderKind
from balsamspoke_gateway.configuration import EngineLimits, EngineModel
from balsamspoke_gateway.exceptions import AnswerLost
from balsamspoke_gateway.messages import EntryDemand, ReplicaState, WantedAdapter
from balsamspoke_gateway.ports import ReplicaControl
from balsamspoke_gateway.side import SideCore
from twisted.internet.defer import fail, succeed

from .world import RecordedObserver, RecordedPeers

MODEL = "base"
ENGINE = EngineLimits((EngineModel(MODEL, 10.0),), 20.0, 2, 8)


def seconds(number):
    return timedelta(seconds=number)


class FakeControl(ReplicaControl):
    """A replica that carries orders out at once, or loses them."""

    def __init__(self):
        self.models = {MODEL: {}}
        self.orders = 0
        self.given = []
        self.lost = 0
        self.is_dark = False

    def read_report(self):
        if self.is_dark:
            return fail(AnswerLost("no answer in time"))
        models = {model: dict(names) for model, names in self.models.items()}
        return succeed(EngineReport(1, models, orders=self.orders))

    def send_order(self, order):
        self.given.append(order)
        if self.lost:
            self.lost -= 1
            return fail(AnswerLost("no answer in time"))
        if order.expected_orders != self.orders:
            return succeed("409")
        self.orders += 1
        if order.adapter is None:
            self.models[order.model] = {}
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

    def want(self, *names):
        wanted = tuple(WantedAdapter(MODEL, name, 0) for name in names)
        self.core.receive_message("10.0.1.1", EntryDemand(wanted))

    def find_states(self):
        return [each for _, each in self.peers.sent if isinstance(each, ReplicaState)]

    def test_answers_a_new_entry_process_at_once(self):
        self.core.receive_message("10.0.1.1", EntryDemand())
        self.time.advance(seconds(0.001))
        self.assertEqual([ip for ip, _ in self.peers.sent], ["10.0.1.1"])

    def test_loads_what_is_wanted_and_tells(self):
        self.want("a1")
        self.time.advance(seconds(0.02))
        self.assertEqual(self.find_states()[-1].models, {MODEL: {"a1": 1}})

    def test_tells_how_many_adapters_are_wanted(self):
        self.control.lost = 1000
        self.want("a1", "a2", "a3")
        self.time.advance(seconds(0.4))
        self.assertEqual(self.find_states()[-1].wanted_adapters, 3)
        self.control.lost = 0
        self.time.advance(seconds(0.4))
        self.assertLess(self.find_states()[-1].wanted_adapters, 3)

    def test_gives_a_lost_order_again_with_the_same_count(self):
        # Load pattern: a third of the orders get no answer while adapters queue.
        self.control.lost = 2
        self.want("a1")
        self.time.advance(seconds(0.05))
        self.assertEqual([each.expected_orders for each in self.control.given], [0] * 3)
        self.assertIn("a1", self.control.models[MODEL])

    def test_loads_the_model_of_a_replica_that_restarted_empty(self):
        self.control.models = {}
        self.control.orders = 0
        self.time.advance(seconds(0.5))
        self.assertIn(MODEL, self.control.models)

    def test_tells_when_the_replica_is_lost_and_regained(self):
        self.control.is_dark = True
        self.time.advance(seconds(0.5))
        self.control.is_dark = False
        self.time.advance(seconds(0.5))
        names = [type(each).__name__ for each in self.observer.events]
        self.assertEqual(names, ["DependencyLost", "DependencyRegained"])


if __name__ == "__main__":
    unittest.main()
