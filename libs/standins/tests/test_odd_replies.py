"""What is no reply, to each client of the product's own door."""

import unittest
from datetime import timedelta

from balsamspoke_platform import HttpPlainService, HttpVmList, ReplyLost
from balsamspoke_types.exceptions import BackendLost, VmListUnavailable
from balsamspoke_types.ports import ServiceRequest
from twisted.internet.protocol import Factory, Protocol
from twisted.web.resource import Resource

from .memory_network import MemoryNetwork

PORT = 1
STATUSES = (b"000", b"099", b"20", b"-200", b"600", b"999", b"")
NAMES = (b"X Odd", b"X\x01Odd", b"X\x00Odd", b"X\x7fOdd", b"X-Odd ")
TIMEOUT = timedelta(seconds=1)


class ScriptedServer(Protocol):
    """Server that answers with given bytes, and closes in good order."""

    def dataReceived(self, _):
        self.transport.write(self.factory.data)
        self.transport.loseConnection()


class OddReplyTests(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork()
        client = self.network.add(PORT, Resource())
        factory = self.network.sites[PORT] = Factory.forProtocol(ScriptedServer)
        self.factory = factory
        service = HttpPlainService(client)
        request = ServiceRequest("GET", "/a", (), b"")
        self.ways = (
            (lambda: client.call("GET", "/a", TIMEOUT), ReplyLost),
            (lambda: client.open("GET", "/a"), ReplyLost),
            (lambda: service.call(request), BackendLost),
            (service.check, BackendLost),
            (HttpVmList(client).fetch, VmListUnavailable),
        )

    def check(self, data, ways=None):
        for number, (call, error) in enumerate(ways or self.ways):
            with self.subTest(data=data, way=number):
                self.factory.data = data
                with self.assertRaises(error):
                    self.network.get(call(), 3)

    # A caller got a response of status 0.
    def test_a_status_that_is_none_is_no_reply(self):
        for status in STATUSES:
            head = b"HTTP/1.1 " + status + b" OK\r\nContent-Length: 2\r\n\r\n[]"
            self.check(head)

    def test_another_protocol_is_no_reply(self):
        for version in (b"HTTP/9.9", b"HTTP/2.0", b"HTTQ/1.1"):
            self.check(version + b" 200 OK\r\nContent-Length: 2\r\n\r\n[]")

    def test_a_head_with_a_name_that_is_none_is_no_reply(self):
        for name in NAMES:
            head = b"HTTP/1.1 200 OK\r\n" + name + b": 1\r\nContent-Length: 2\r\n\r\n"
            self.check(head + b"[]")

    def test_a_reply_without_a_length_is_never_whole(self):
        ways = [self.ways[0], *self.ways[2:]]
        self.check(b"HTTP/1.1 200 OK\r\n\r\n[]", ways)


if __name__ == "__main__":
    unittest.main()
