import asyncio
import os
import random
import tempfile
import unittest
from pathlib import Path

from balsamspoke_daemon.credentials import MutualTlsCredentials, PlainCredentials
from balsamspoke_daemon.peers import GrpcTransport
from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.messages import ReturnTokens
from balsamspoke_types.ports import PeerHandler, VmRecord

from .certificates import write_authority, write_pair

EVENT_TIMEOUT_SECONDS = 20


class QueueHandler(PeerHandler):
    def __init__(self):
        self.events = asyncio.Queue()

    def peer_connected(self, peer):
        self.events.put_nowait(("connected", peer))

    def peer_disconnected(self, peer):
        self.events.put_nowait(("disconnected", peer))

    def peer_message(self, peer, message):
        self.events.put_nowait((peer, message))

    async def next_event(self):
        return await asyncio.wait_for(self.events.get(), EVENT_TIMEOUT_SECONDS)


class GrpcTransportTest(unittest.IsolatedAsyncioTestCase):
    async def open(self, vm, boot, credentials=None, address="127.0.0.1:0"):
        transport = GrpcTransport(
            ProcessId(vm, boot),
            asyncio.get_running_loop(),
            random.Random(0),
            credentials or PlainCredentials(),
        )
        handler = QueueHandler()
        transport.bind(handler)
        port = await transport.listen(address)
        self.addAsyncCleanup(transport.close)
        return transport, handler, f"127.0.0.1:{port}"

    async def connect(self, credentials=None):
        left = await self.open("a", 1, credentials)
        right = await self.open("b", 2, credentials)
        left[0].connect(VmRecord("b", right[2], "", "", "side"))
        self.assertEqual(await left[1].next_event(), ("connected", ProcessId("b", 2)))
        self.assertEqual(await right[1].next_event(), ("connected", ProcessId("a", 1)))
        return left, right

    async def test_messages_arrive_in_order_in_both_directions(self):
        left, right = await self.connect()
        for number in range(5000):
            left[0].send(ProcessId("b", 2), ReturnTokens(number, 0))
        right[0].send(ProcessId("a", 1), ReturnTokens(7, 7))
        for number in range(5000):
            expected = (ProcessId("a", 1), ReturnTokens(number, 0))
            self.assertEqual(await right[1].next_event(), expected)
        expected = (ProcessId("b", 2), ReturnTokens(7, 7))
        self.assertEqual(await left[1].next_event(), expected)

    async def test_a_message_to_an_earlier_run_is_dropped(self):
        left, right = await self.connect()
        left[0].send(ProcessId("b", 1), ReturnTokens(1, 0))
        left[0].send(ProcessId("b", 2), ReturnTokens(2, 0))
        self.assertEqual((await right[1].next_event())[1], ReturnTokens(2, 0))

    async def test_reconnects_to_a_new_run_of_a_peer(self):
        left, right = await self.connect()
        await right[0].close()
        self.assertEqual(
            await left[1].next_event(), ("disconnected", ProcessId("b", 2))
        )
        await self.open("b", 3, address=right[2])
        self.assertEqual(await left[1].next_event(), ("connected", ProcessId("b", 3)))

    async def test_listening_on_a_used_port_fails(self):
        _, right = await self.connect()
        with self.assertRaises(RuntimeError):
            await self.open("b", 3, address=right[2])


class TlsTest(GrpcTransportTest):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.directory = Path(folder.name)
        self.authority = write_authority(self.directory)
        certificate, key, _ = write_pair(self.directory, self.authority)
        authority_path = self.authority[2]
        self.credentials = MutualTlsCredentials(certificate, key, authority_path)

    async def open(self, vm, boot, credentials=None, address="127.0.0.1:0"):
        return await super().open(vm, boot, credentials or self.credentials, address)

    async def test_renewed_certificates_are_used_without_a_restart(self):
        _, right = await self.connect()
        new_authority = write_authority(self.directory)
        os.replace(new_authority[2], self.authority[2])
        write_pair(self.directory, new_authority)
        third = await self.open("c", 4)
        third[0].connect(VmRecord("b", right[2], "", "", "side"))
        self.assertEqual(await third[1].next_event(), ("connected", ProcessId("b", 2)))

    async def test_a_peer_with_a_certificate_of_another_authority_is_rejected(self):
        _, right = await self.connect()
        other_directory = self.directory / "other"
        other_directory.mkdir()
        other_authority = write_authority(other_directory)
        certificate, key, _ = write_pair(other_directory, other_authority)
        credentials = MutualTlsCredentials(certificate, key, self.authority[2])
        rejected_peer = await self.open("x", 9, credentials)
        rejected_peer[0].connect(VmRecord("b", right[2], "", "", "side"))
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(right[1].events.get(), 1.0)
