import unittest
from datetime import timedelta

import orjson
from balsamspoke_platform import HttpPlainService, HttpVmList, ReplyLost
from balsamspoke_platform.http import MAX_REPLY_BYTES
from balsamspoke_standins.service import ServiceResource
from balsamspoke_standins.serving import HttpResponse
from balsamspoke_standins.vm_list import VmListResource
from balsamspoke_types.exceptions import (
    BackendLost,
    BackendRefused,
    BackendUnreachable,
    VmListUnavailable,
)
from balsamspoke_types.ports import ServiceRequest, VmState

from .memory_network import MemoryNetwork

PORT = 1
VM = {
    "vm": "entry-1",
    "address": "127.0.0.1:7400",
    "region": "north",
    "failure_domain": "shari",
    "role": "entry",
}


class PlainServiceTests(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork()
        self.resource = ServiceResource(self.network.clock)
        self.service = HttpPlainService(self.network.add(PORT, self.resource))

    def call(self, method, path, body=b"", headers=()):
        request = ServiceRequest(method, path, headers, body)
        return self.network.get(self.service.call(request), 3)

    def test_method_path_headers_body_and_status_are_carried(self):
        headers = (("x-request-id", "r1"), ("connection", "close"))
        made = self.call("POST", "/bookings?a=b%20c", b'{"boat": 7}', headers)
        shown = self.call("GET", "/bookings/booking-1")
        missing = self.call("GET", "/bookings/booking-2")
        self.assertEqual((made.status, shown.status, missing.status), (201, 200, 404))
        self.assertEqual(orjson.loads(shown.body), {"boat": 7, "booking": "booking-1"})
        self.assertIn(("content-type", "application/json"), made.headers)
        seen = self.resource.calls[0]
        self.assertEqual(seen["path"], "/bookings?a=b%20c")
        sent = [[name.lower(), value] for name, value in seen["headers"]]
        self.assertIn(["x-request-id", "r1"], sent)
        self.assertNotIn(["connection", "close"], sent)

    def test_repeated_headers_are_kept(self):
        def respond(request):
            request.responseHeaders.addRawHeader("Set-Cookie", "a=1")
            request.responseHeaders.addRawHeader("Set-Cookie", "b=2")
            return HttpResponse()

        self.resource.routes["GET", "cookies"] = respond
        headers = self.call("GET", "/cookies").headers
        cookies = [value for name, value in headers if name == "set-cookie"]
        self.assertEqual(cookies, ["a=1", "b=2"])

    def test_truncated_or_oversized_response_is_lost_and_disconnects(self):
        def respond(request, size):
            request.write(bytes(int(size)))

        self.resource.routes["GET", "half"] = respond
        client = self.network.add(PORT, self.resource)
        timeout = timedelta(seconds=1)
        for size in (10, MAX_REPLY_BYTES + 1):
            with self.assertRaises(ReplyLost):
                self.network.get(client.call("GET", f"/half/{size}", timeout), 2)
            self.network.run(0.01)
            connections = [pump.client.transport for pump in self.network.pumps]
            self.assertTrue(all(end.disconnected for end in connections))

    def test_lost_response_and_refused_connection_raise_different_errors(self):
        self.resource.settings.lose_answers = True
        with self.assertRaises(BackendLost):
            self.call("POST", "/bookings", b"{}")
        self.assertEqual(len(self.resource.bookings), 1)
        del self.network.sites[PORT]
        with self.assertRaises(BackendUnreachable):
            self.call("POST", "/bookings", b"{}")

    def test_cancelled_call_still_reaches_the_service(self):
        request = ServiceRequest("POST", "/bookings", (), b"{}")
        deferred = self.service.call(request)
        failures = []
        deferred.addErrback(failures.append)
        deferred.cancel()
        self.network.run(0.1)
        self.assertEqual(len(failures), 1)
        self.assertEqual(len(self.resource.bookings), 1)

    def test_check_fails_while_the_service_is_unhealthy(self):
        self.assertIsNone(self.network.get(self.service.check()))
        self.resource.settings.healthy = False
        with self.assertRaises(BackendRefused):
            self.network.get(self.service.check())


class VmListTests(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork()
        self.resource = VmListResource(self.network.clock, [VM])
        self.http_client = self.network.add(PORT, self.resource)
        self.vm_list = HttpVmList(self.http_client)

    def fetch(self):
        return self.network.get(self.vm_list.fetch(), 3)

    def change(self, method, path, document):
        call = self.http_client.call(
            method, path, self.vm_list._timeout, (), orjson.dumps(document)
        )
        return self.network.get(call)

    def test_changes_are_visible_after_the_lag(self):
        self.resource.settings.lag_ms = 2000
        leaving = dict(VM, state="leaving", service="")
        self.change("PUT", "/vms/entry-1", leaving)
        self.change("PUT", "/vms/entry-2", VM)
        self.network.run(1)
        self.assertEqual([vm.state for vm in self.fetch()], [VmState.LIVE])
        self.network.run(2)
        states = {vm.vm: vm.state for vm in self.fetch()}
        expected = {"entry-1": VmState.LEAVING, "entry-2": VmState.LIVE}
        self.assertEqual(states, expected)

    def test_outage_and_invalid_changes_are_reported(self):
        self.assertEqual(self.change("PUT", "/vms", [{"vm": "x"}]).status, 400)
        self.assertEqual(self.change("DELETE", "/vms/none", {}).status, 404)
        self.resource.settings.available = False
        with self.assertRaises(VmListUnavailable):
            self.fetch()
