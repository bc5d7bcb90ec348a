import dataclasses
import enum
import types
import typing
import unittest
from datetime import timedelta

from balsamspoke_fakes.properties import examples
from balsamspoke_types import messages
from balsamspoke_types.identifiers import AttemptId, ProcessId
from balsamspoke_types.messages import CancelAttempt
from balsamspoke_wire import WireError, decode_batch, encode_batch, encode_hello
from hypothesis import given
from hypothesis import strategies as st

TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=8)
NUMBERS = st.integers(0, 2**62)
PROCESSES = st.builds(ProcessId, st.sampled_from(["a", "b@c", "vm-1"]), NUMBERS)
SCALARS = {
    str: TEXT,
    int: NUMBERS,
    float: st.floats(allow_nan=False),
    bool: st.booleans(),
    bytes: st.binary(max_size=8),
    timedelta: NUMBERS.map(lambda count: timedelta(microseconds=count % 10**12)),
    ProcessId: PROCESSES,
    AttemptId: st.builds(AttemptId, PROCESSES, NUMBERS),
}


def make_value_strategy(hint):
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        return st.none() | make_value_strategy(typing.get_args(hint)[0])
    if origin is tuple:
        arguments = typing.get_args(hint)
        if arguments[-1] is not Ellipsis:
            return st.tuples(*map(make_value_strategy, arguments))
        return st.lists(make_value_strategy(arguments[0]), max_size=3).map(tuple)
    if hint in SCALARS:
        return SCALARS[hint]
    if issubclass(hint, enum.Enum):
        return st.sampled_from(hint)
    return make_instance_strategy(hint)


def make_instance_strategy(data_class):
    hints = typing.get_type_hints(data_class)
    fields = {
        field.name: make_value_strategy(hints[field.name])
        for field in dataclasses.fields(data_class)
    }
    return st.builds(data_class, **fields)


ALL_MESSAGES = [
    getattr(messages, name)
    for name in messages.__all__
    if name not in ("ProcessStatus", "TokenChunk")
]
ANY_MESSAGE = st.one_of(*map(make_instance_strategy, ALL_MESSAGES))


class CodecTest(unittest.TestCase):
    @examples(300)
    @given(st.lists(ANY_MESSAGE, max_size=4))
    def test_messages_survive_a_round_trip(self, batch):
        self.assertEqual(decode_batch(encode_batch(batch)), batch)

    def test_each_message_class_has_an_envelope_field(self):
        for data_class in ALL_MESSAGES:
            with self.subTest(data_class.__name__):

                @examples(3)
                @given(make_instance_strategy(data_class))
                def check(message):
                    self.assertEqual(decode_batch(encode_batch([message])), [message])

                check()

    def test_hello_identifies_the_process(self):
        process = ProcessId("vm-1", 77)
        self.assertEqual(decode_batch(encode_hello(process)), [process])

    @examples(100)
    @given(st.binary(max_size=40))
    def test_arbitrary_bytes_decode_or_raise_a_wire_error(self, data):
        try:
            decode_batch(data)
        except WireError:
            pass

    def test_malformed_identifier_is_rejected(self):
        attempt = AttemptId(ProcessId("a", 1), 2)
        data = encode_batch([CancelAttempt(attempt)]).replace(b"a@1#2", b"a@1-2")
        with self.assertRaises(WireError):
            decode_batch(data)
