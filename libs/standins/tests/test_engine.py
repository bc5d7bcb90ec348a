import unittest

import orjson
from balsamspoke_platform import HttpEngine
from balsamspoke_standins.batch import EngineSettings
from balsamspoke_standins.engine import EngineResource
from balsamspoke_standins.tokens import make_text
from balsamspoke_types.exceptions import (
    BackendLost,
    BackendRefused,
    BackendUnreachable,
)
from balsamspoke_types.identifiers import AdapterRef
from balsamspoke_types.ports import GenerationOrder, GenerationSink

from .memory_network import MemoryNetwork

PORT = 1
ADAPTER = AdapterRef("tides", 3)
BODY = {"model": "tides", "prompt": "when is high water?"}


class Sink(GenerationSink):
    def __init__(self):
        self.chunks = []
        self.finished_with = None
        self.error = None

    def add_tokens(self, offset, text, count):
        assert self.finished_with is None and self.error is None
        self.chunks.append((offset, text, count))

    def finish(self, reason, offset):
        assert self.finished_with is None and self.error is None
        self.finished_with = (reason, offset)

    def fail(self, error):
        assert self.finished_with is None and self.error is None
        self.error = error

    @property
    def text(self):
        return "".join(text for _, text, _ in self.chunks)


class EngineTests(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork()
        self.settings = EngineSettings(batch=2, slots=2)
        clock = self.network.clock
        self.resource = EngineResource(clock, "base", self.settings)
        self.engine = HttpEngine(self.network.add(PORT, self.resource), "base")

    def load(self, adapter=ADAPTER, fencing=1):
        return self.network.get(self.engine.load_adapter(adapter, fencing))

    def generate(self, request="r1", max_tokens=5, body=BODY, **fields):
        sink = Sink()
        order = GenerationOrder(
            request,
            fields.pop("adapter", ADAPTER),
            orjson.dumps(body),
            max_tokens,
            **fields,
        )
        return self.engine.generate(order, sink), sink

    def test_complete_response(self):
        self.load()
        _, sink = self.generate()
        self.network.run(1)
        self.assertEqual(sink.text, make_text("tides:3", BODY, 0, 5))
        self.assertEqual([offset for offset, _, _ in sink.chunks], [0, 1, 2, 3, 4])
        self.assertEqual(sink.finished_with, ("length", 5))

    def test_chat_and_early_stop(self):
        self.load()
        body = {"messages": [{"role": "user", "content": "stop after 2"}]}
        _, sink = self.generate(body=body)
        self.network.run(1)
        self.assertEqual(sink.text, make_text("tides:3", body, 0, 2))
        self.assertEqual(sink.finished_with, ("stop", 2))

    def test_resumed_response_continues_the_first(self):
        self.load()
        first = make_text("tides:3", BODY, 0, 3)
        _, sink = self.generate(resume_offset=3, resume_text=first)
        self.network.run(1)
        self.assertEqual(first + sink.text, make_text("tides:3", BODY, 0, 5))
        self.assertEqual(sink.finished_with, ("length", 5))

    def test_unloaded_adapter_is_refused_and_base_model_is_served(self):
        _, refused = self.generate()
        _, answered = self.generate("r2", adapter=None)
        self.network.run(1)
        self.assertIsInstance(refused.error, BackendRefused)
        self.assertEqual(refused.error.status, 404)
        self.assertEqual(answered.text, make_text("base", BODY, 0, 5))

    def test_restart_breaks_streams_and_empties_the_slots(self):
        self.load()
        before = self.network.get(self.engine.report())
        _, sink = self.generate(max_tokens=50)
        self.network.run(0.2)
        self.resource.batch.restart()
        self.network.run(0.1)
        after = self.network.get(self.engine.report())
        self.assertIsInstance(sink.error, BackendLost)
        self.assertEqual(before.adapters, (ADAPTER,))
        self.assertEqual(after.adapters, ())
        self.assertNotEqual(before.boot, after.boot)

    def test_refused_connection_is_reported_as_unreachable(self):
        del self.network.sites[PORT]
        _, sink = self.generate()
        self.network.run(0.1)
        self.assertIsInstance(sink.error, BackendUnreachable)
        with self.assertRaises(BackendUnreachable):
            self.load()

    def test_cancel_frees_the_batch_slot_and_reports_nothing(self):
        self.load()
        runs = [self.generate(f"r{number}", max_tokens=50) for number in range(3)]
        self.network.run(0.2)
        report = self.network.get(self.engine.report())
        self.assertEqual((report.running, report.waiting), (2, 1))
        runs[0][0].cancel()
        runs[2][0].cancel()
        count = len(runs[0][1].chunks)
        self.network.run(0.2)
        report = self.network.get(self.engine.report())
        self.assertEqual((report.running, report.waiting), (1, 0))
        self.assertEqual(len(runs[0][1].chunks), count)
        self.assertIsNone(runs[0][1].error)

    def test_failed_load_and_load_into_full_slots_are_refused(self):
        self.settings.failing_adapters.append("bad:1")
        with self.assertRaises(BackendRefused):
            self.load(AdapterRef("bad", 1))
        self.load()
        self.load(AdapterRef("tides", 4))
        with self.assertRaises(BackendRefused):
            self.load(AdapterRef("tides", 5))
        self.network.get(self.engine.unload_adapter(ADAPTER, 1))
        self.load(AdapterRef("tides", 5))

    def test_stale_fencing_token_is_refused_only_if_fencing_is_obeyed(self):
        self.load(fencing=7)
        self.network.get(self.engine.unload_adapter(ADAPTER, 6))
        self.settings.obeys_fencing = True
        with self.assertRaises(BackendRefused) as caught:
            self.load(fencing=6)
        self.assertEqual(caught.exception.status, 409)
        self.load(fencing=7)
        _, sink = self.generate(fencing=6)
        self.network.run(0.1)
        self.assertIsInstance(sink.error, BackendRefused)

    def test_pause_holds_back_the_answer_and_resume_completes_it(self):
        self.load()
        generation, sink = self.generate(max_tokens=20)
        self.network.run(0.2)
        generation.pause()
        self.network.run(0.1)
        count = len(sink.chunks)
        self.network.run(1)
        self.assertEqual(len(sink.chunks), count)
        generation.resume()
        self.network.run(1.5)
        self.assertEqual(sink.text, make_text("tides:3", BODY, 0, 20))
        self.assertEqual(sink.finished_with, ("length", 20))

    def test_invalid_stream_is_lost(self):
        events = (b"[]", b"{", b'{"choices": [7]}', b'{"error": {"message": "full"}}')
        for number, event in enumerate(events):

            def respond(request, *segments, event=event):
                request.write(b"data: " + event + b"\n\ndata: [DONE]\n\n")

            self.resource.routes["POST", "v1"] = respond
            _, sink = self.generate(f"r{number}")
            self.network.run(0.1)
            self.assertIsInstance(sink.error, BackendLost)
        self.assertIn("full", str(sink.error))

    def test_lowest_priority_number_runs_first(self):
        self.load()
        for name, priority in (("a", 0), ("b", 0), ("late", 2), ("soon", 1)):
            self.generate(name, priority=priority)
        self.network.run(0.25)
        self.assertEqual(set(self.resource.batch.running), {"soon", "late"})
