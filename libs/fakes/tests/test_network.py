import unittest
from datetime import timedelta

from balsamspoke_fakes import FakeNetwork, FakeTransport, VirtualClock, VirtualTime
from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.messages import CancelAttempt
from balsamspoke_types.ports import PeerHandler, VmRecord


class RecordingHandler(PeerHandler):
    def __init__(self):
        self.events = []

    def peer_connected(self, peer):
        self.events.append(("connected", peer))

    def peer_disconnected(self, peer):
        self.events.append(("disconnected", peer))

    def peer_message(self, peer, message):
        self.events.append((peer, message))


class FakeNetworkTest(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.network = FakeNetwork(self.time)
        self.left, self.left_events = self.start("a", 1)
        self.right, self.right_events = self.start("b", 2)
        self.left.connect(VmRecord("b", "", "", "", "side"))

    def start(self, vm, boot):
        clock = VirtualClock(self.time)
        transport = FakeTransport(self.network, ProcessId(vm, boot), clock)
        handler = RecordingHandler()
        transport.bind(handler)
        return transport, handler.events

    def test_both_processes_are_notified_of_connection_and_loss(self):
        self.assertEqual(self.left_events, [("connected", self.right.process)])
        self.assertEqual(self.right_events, [("connected", self.left.process)])
        self.network.cut_between(["a"], ["b"])
        self.time.advance(timedelta(seconds=1))
        self.assertEqual(self.right_events[-1], ("disconnected", self.left.process))

    def test_messages_arrive_unless_the_network_is_cut(self):
        self.left.send(self.right.process, CancelAttempt(1))
        self.time.advance(timedelta(milliseconds=1))
        self.assertIn((self.left.process, CancelAttempt(1)), self.right_events)
        self.network.cut.add(("a", "b"))
        self.left.send(self.right.process, CancelAttempt(2))
        self.time.advance(timedelta(milliseconds=1))
        self.assertNotIn((self.left.process, CancelAttempt(2)), self.right_events)

    def test_paused_process_receives_messages_when_resumed(self):
        self.right.clock.pause()
        self.left.send(self.right.process, CancelAttempt(1))
        self.time.advance(timedelta(seconds=1))
        self.assertNotIn((self.left.process, CancelAttempt(1)), self.right_events)
        self.right.clock.resume()
        self.assertIn((self.left.process, CancelAttempt(1)), self.right_events)
