"""What is no reply, to each of the HTTP clients of libs/platform."""

import unittest
from datetime import timedelta

import orjson
from balsamspoke_platform import (
    HttpObjectStore,
    HttpPlainService,
    HttpVmList,
    ReplyLost,
)
from balsamspoke_types.exceptions import BackendLost, VmListUnavailable
from balsamspoke_types.objects import Kind
from balsamspoke_types.ports import ServiceRequest
from twisted.internet.protocol import Factory, Protocol
from twisted.web.resource import Resource

from .memory_network import MemoryNetwork
from .test_clients import VM

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
        self.vm_list = HttpVmList(client)
        self.store = HttpObjectStore(client)
        service = HttpPlainService(client)
        request = ServiceRequest("GET", "/a", (), b"")
        self.ways = (
            (lambda: client.call("GET", "/a", TIMEOUT), ReplyLost),
            (lambda: client.open("GET", "/a"), ReplyLost),
            (lambda: service.call(request), BackendLost),
            (service.check, BackendLost),
            (self.vm_list.fetch, VmListUnavailable),
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

    def read(self, call, document):
        """Return the result of a call that is answered with a document."""
        body = orjson.dumps(document)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.factory.data = head + body
        return self.network.get(call(), 3)

    # One odd record hid all VMs.
    def test_an_odd_record_does_not_hide_the_other_vms(self):
        for odd in (5, None, {}, {**VM, "state": "resting"}, {**VM, "address": 5}):
            with self.subTest(odd=odd):
                listed = self.read(self.vm_list.fetch, [VM, odd, {**VM, "vm": "z"}])
                self.assertEqual([each.vm for each in listed], ["entry-1", "z"])

    # One odd object hid its page, and the pages behind it.
    def test_an_odd_object_does_not_hide_the_others_of_its_page(self):
        sound = {"kind": "teams", "name": "a", "version": 3, "value": "e30="}
        odd_fields = ({"kind": "x"}, {"name": 5}, {"version": "3"}, {"value": "?"})
        odd_objects = (5, None, {}, *({**sound, **each} for each in odd_fields))
        for odd in odd_objects:
            with self.subTest(odd=odd):
                objects = [sound, odd, {**sound, "name": "z"}]
                document = {"objects": objects, "revision": 7, "next_page": "x&y"}
                page = self.read(lambda: self.store.list_page(Kind.TEAM), document)
                self.assertEqual([each.name for each in page.objects], ["a", "z"])
                self.assertEqual((page.revision, page.next_page), (7, "x&y"))


if __name__ == "__main__":
    unittest.main()
