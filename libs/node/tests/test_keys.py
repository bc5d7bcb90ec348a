import base64
import unittest
from datetime import timedelta

import orjson
from balsamspoke_fakes.properties import examples
from balsamspoke_gateway.observing import Observer
from balsamspoke_node import CallerRequest
from balsamspoke_node.authorization import refuse_misplaced_key
from balsamspoke_node.exceptions import RequestRefused
from balsamspoke_types.objects import Adapter, Kind, PlainService
from hypothesis import given
from hypothesis import strategies as st

from .checkers import find_foreign_runs, find_key_leaks
from .fleet import MODEL, SERVICE, TEAMS, Fleet, make_key

KEY = make_key("hotel-key")
AUTHORIZATION = ("authorization", f"Bearer {KEY}")
COMPLETIONS = "/v1/completions"
BOOKINGS = f"/services/{SERVICE}/bookings"
ENCODING_DEPTHS = st.integers(0, 3)


class _RecordingObserver(Observer):
    def __init__(self, inner):
        self._inner = inner
        self.lines = []

    def observe(self, event):
        self.lines.append(repr(event))
        self._inner.observe(event)


def percent_encode(text, is_encoded, depth):
    """Percent-encode some characters of a text, ``depth`` times over."""
    for _ in range(depth):
        text = "".join(
            f"%{ord(one):02x}"
            if is_encoded[at % len(is_encoded)] or one == "%"
            else one
            for at, one in enumerate(text)
        )
    return text


def escape_json(text, is_encoded):
    """Replace some characters of a text by JSON escapes."""
    return "".join(
        f"\\u{ord(one):04X}" if is_encoded[at % len(is_encoded)] else one
        for at, one in enumerate(text)
    )


ENCODED_CHARACTERS = st.lists(st.booleans(), min_size=1, max_size=9)
SURROUNDING_TEXT = st.text(
    st.characters(min_codepoint=0x20, max_codepoint=0x7E, exclude_characters='"\\%'),
    max_size=12,
)


@st.composite
def draw_requests_with_misplaced_key(draw):
    """Draw a request with a key outside of the Authorization header."""
    is_encoded, depth = draw(ENCODED_CHARACTERS), draw(ENCODING_DEPTHS)
    encoded = percent_encode(KEY, is_encoded, depth)
    before, after = draw(SURROUNDING_TEXT), draw(SURROUNDING_TEXT)
    key_location = draw(
        st.sampled_from(
            ("path", "query", "header", "header name", "json", "raw body", "chat")
            + ("idempotency-key", "second authorization")
        )
    )
    headers = [AUTHORIZATION] if draw(st.booleans()) else []
    target, method = COMPLETIONS, "POST"
    fields = {"model": "adapter-0", "prompt": "x", "max_tokens": 2}
    body = orjson.dumps(fields)
    if key_location == "path":
        target = f"{BOOKINGS}/{encoded}"
    elif key_location == "query":
        target = draw(st.sampled_from([COMPLETIONS, BOOKINGS])) + f"?a={encoded}"
    elif key_location == "header":
        name = draw(st.sampled_from(["accept", "cookie", "x-api-key", "content-type"]))
        headers.append((name, f"{before}{encoded}{after}"))
    elif key_location == "header name":
        headers.append((KEY.lower(), "1"))
    elif key_location == "idempotency-key":
        target = BOOKINGS
        headers.append(("idempotency-key", f"{before}{encoded}"))
    elif key_location == "second authorization":
        target = BOOKINGS
        headers += [AUTHORIZATION, ("proxy-authorization", f"Bearer {KEY}")]
    elif key_location == "raw body":
        target = BOOKINGS
        body = f"{before}{encoded}{after}".encode()
    else:
        field = draw(st.sampled_from(["prompt", "user", "stop", "model", "extra"]))
        fields[field] = "MARK"
        if key_location == "chat":
            target = "/v1/chat/completions"
            fields = {"model": "adapter-0", "max_tokens": 2}
            fields["messages"] = [{"role": "user", "content": "MARK"}]
        value = escape_json(f"{before}{encoded}{after}", is_encoded)
        body = orjson.dumps(fields).replace(b"MARK", value.encode())
    return CallerRequest(method, target, tuple(headers), body)


class MisplacedKeyTest(unittest.TestCase):
    """No backend server, message, record, answer or event receives a key."""

    def setUp(self):
        self.fleet = Fleet(engines=1, services=1, adapters=3)
        self.logs = {}
        for vm, machine in self.fleet.machines.items():
            node = machine.node
            self.logs[vm] = log = _RecordingObserver(node._observer)
            node._observer = log
            if hasattr(node, "context"):
                node.context.observer = log
        self.fleet.settle(10)

    def assert_no_key_leaks(self):
        self.assertEqual(find_key_leaks(self.fleet), [])
        for log in self.logs.values():
            self.assertNotIn("bsk_", "".join(log.lines))
        for sent in self.fleet.sent:
            self.assertNotIn("bsk_", repr(sent.responder.headers))
        for vm in self.fleet.entries():
            kept = vars(self.fleet.node(vm).explanations)
            self.assertNotIn("bsk_", repr(kept))

    def count_backend_requests(self):
        started = sum(len(engine.started) for engine in self.fleet.engines)
        return started + sum(len(service.calls) for service in self.fleet.services)

    @examples(120)
    @given(draw_requests_with_misplaced_key())
    def test_misplaced_keys_are_refused(self, request):
        with self.assertRaises(RequestRefused) as caught:
            refuse_misplaced_key(request)
        self.assertEqual(caught.exception.refusal.cause.value, "key_misplaced")
        self.assertNotIn("bsk_", repr(caught.exception.refusal))

    @examples(80)
    @given(draw_requests_with_misplaced_key())
    def test_nothing_with_a_misplaced_key_goes_on(self, request):
        before = self.count_backend_requests()
        entry = self.fleet.entries()[len(self.fleet.sent) % 3]
        answer = self.fleet.send(entry, "hotel-key", request)
        self.fleet.advance(0.2)
        self.assertEqual(answer.code, "key_misplaced")
        self.assertEqual(self.count_backend_requests(), before)
        self.assert_no_key_leaks()

    def test_keys_in_the_authorization_header_are_not_forwarded(self):
        for entry in self.fleet.entries():
            for name in ("hotel-key", "marina-key", "unknown-key"):
                self.fleet.complete(entry, key=name)
                self.fleet.book(entry, key=name, idempotency_key=f"once-{name}")
        self.fleet.advance(20)
        self.assertGreater(self.count_backend_requests(), 3)
        self.assert_no_key_leaks()

    def test_a_key_split_by_a_space_is_not_detected(self):
        """Documented limitation: the check does not join words."""
        split = f"{KEY[:4]} {KEY[4:]}"
        refuse_misplaced_key(CallerRequest("POST", BOOKINGS, (), split.encode()))

    def test_a_base64_encoded_key_is_not_detected(self):
        """Documented limitation: the check does not decode base64."""
        encoded = base64.b64encode(KEY.encode())
        refuse_misplaced_key(CallerRequest("POST", BOOKINGS, (), encoded))


KEYS = ("hotel-key", "marina-key", "unknown-key", "")
OPEN_ADAPTER = "adapter-open"
WITHDRAWAL_BOUND = timedelta(seconds=6)


class TeamKeyTest(unittest.TestCase):
    """A request runs only for the team of its key, except on resources open to all."""

    def setUp(self):
        self.fleet = Fleet(engines=1, services=1, adapters=4)
        adapter = Adapter(OPEN_ADAPTER, "hotel", MODEL, 1, (1,), open_to_all=True)
        self.fleet.put(Kind.ADAPTER, OPEN_ADAPTER, adapter)
        self.fleet.settle()

    def has_started(self, number):
        mark = b"request-%d." % number
        return any(
            mark in order.body
            for engine in self.fleet.engines
            for order in engine.started
        )

    @examples(80)
    @given(
        st.integers(0, 2), st.integers(0, 3), st.sampled_from(KEYS), st.integers(0, 2)
    )
    def test_adapters_are_their_teams(self, entry, adapter, key, version):
        name = f"adapter-{adapter}"
        owner = self.fleet.find_owner(name)
        asked = f"{name}:{version}" if version else name
        answer = self.fleet.complete(self.fleet.entries()[entry], asked, key)
        number = len(self.fleet.sent) - 1
        self.fleet.advance(3)
        self.assertEqual(answer.is_whole, key == f"{owner}-key")
        self.assertEqual(self.has_started(number), key == f"{owner}-key")
        self.assertEqual(find_foreign_runs(self.fleet), [])

    def test_an_open_adapter_runs_with_any_key_in_force_or_none(self):
        for key in ("hotel-key", "marina-key", ""):
            answer = self.fleet.complete(self.fleet.entries()[0], OPEN_ADAPTER, key)
            self.fleet.advance(3)
            self.assertTrue(answer.is_whole, key)
        answer = self.fleet.complete(self.fleet.entries()[0], OPEN_ADAPTER, "bad-key")
        self.assertEqual(answer.code, "key_rejected")

    def test_a_service_runs_calls_of_its_teams_only(self):
        for teams, is_open in ((TEAMS, False), (("marina",), False), ((), True)):
            service = PlainService(SERVICE, teams, (), open_to_all=is_open)
            self.fleet.put(Kind.SERVICE, SERVICE, service)
            self.fleet.advance(6)
            for team in TEAMS:
                calls = len(self.fleet.services[0].calls)
                answer = self.fleet.book(self.fleet.entries()[0], f"{team}-key")
                self.fleet.advance(1)
                ran = len(self.fleet.services[0].calls) - calls
                self.assertEqual(ran, int(is_open or team in teams))
                self.assertEqual(answer.status == 200, is_open or team in teams)


class WithdrawnKeyTest(unittest.TestCase):
    """No request with a withdrawn key starts after six seconds, at any process."""

    def check_withdrawal(self, inject_fault):
        fleet = Fleet(engines=1, services=1, adapters=4)
        fleet.settle()
        inject_fault(fleet)
        fleet.advance(1)
        for _ in range(10):
            for entry in fleet.entries():
                fleet.complete(entry, tokens=200)
        fleet.advance(0.5)
        withdrawn_at = fleet.time.elapsed
        fleet.withdraw_key("hotel-key")
        fleet.advance(WITHDRAWAL_BOUND.total_seconds())
        for entry in fleet.entries():
            answer = fleet.complete(entry)
            self.assertEqual(answer.code, "key_rejected")
            self.assertEqual(fleet.book(entry).code, "key_rejected")
        fleet.advance(40)
        late = [
            at - withdrawn_at
            for at, _ in fleet.engines[0].starts
            if at > withdrawn_at + WITHDRAWAL_BOUND
        ]
        self.assertEqual(late, [])
        refused = [one for one in fleet.sent if one.responder.code == "key_rejected"]
        self.assertGreater(len(refused), 2 * len(fleet.entries()))

    def test_with_requests_queued(self):
        self.check_withdrawal(lambda fleet: None)

    def test_with_an_entry_cut_from_the_object_api(self):
        def cut(fleet):
            store = fleet.machines[fleet.entries()[0]].store
            store.reachable = False
            store.end_watches()

        self.check_withdrawal(cut)

    def test_with_side_processes_cut_from_the_object_api(self):
        def cut(fleet):
            for vm in fleet.sides() + fleet.sides(SERVICE):
                fleet.machines[vm].store.reachable = False

        self.check_withdrawal(cut)
