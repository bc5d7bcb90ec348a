import unittest

from balsamspoke_fakes.properties import examples
from balsamspoke_routing.assembly import AnswerAssembly
from balsamspoke_types.identifiers import AttemptId, ProcessId
from balsamspoke_types.messages import TokenChunk
from hypothesis import given
from hypothesis import strategies as st

ATTEMPT = AttemptId(ProcessId("entry", 1), 1)
TOKENS = [f"<{number}>" for number in range(12)]
TEXT = "".join(TOKENS)


def make_chunk(offset, count):
    text = "".join(TOKENS[offset : offset + count])
    return TokenChunk(ATTEMPT, offset, text, count)


class AssemblyTest(unittest.TestCase):
    def setUp(self):
        self.parts = []
        self.assembly = AnswerAssembly(
            lambda text, count: self.parts.append((text, count)), 4
        )

    def test_early_chunk_is_buffered(self):
        self.assembly.add(make_chunk(2, 2))
        self.assertTrue(self.assembly.has_gap)
        self.assertEqual(self.parts, [])
        self.assembly.add(make_chunk(0, 2))
        self.assertEqual(self.assembly.offset, 4)

    def test_overlap_at_a_known_boundary_is_trimmed(self):
        self.assembly.add(make_chunk(0, 2))
        self.assembly.add(make_chunk(2, 2))
        self.assertTrue(self.assembly.add(make_chunk(2, 4)))
        self.assertEqual(self.assembly.text, "".join(TOKENS[:6]))

    def test_overlap_at_an_unknown_boundary_is_dropped(self):
        self.assembly.add(make_chunk(0, 3))
        self.assertFalse(self.assembly.add(make_chunk(2, 4)))
        self.assertEqual(self.assembly.offset, 3)

    def test_overlap_with_other_text_is_dropped(self):
        self.assembly.add(make_chunk(0, 2))
        other = TokenChunk(ATTEMPT, 0, "<x><y><2>", 3)
        self.assertFalse(self.assembly.add(other))

    def test_end_before_delivered_tokens_is_rejected(self):
        self.assembly.add(make_chunk(0, 4))
        self.assertFalse(self.assembly.end(3, "stop"))
        self.assertFalse(self.assembly.is_complete)

    def test_next_attempt_discards_buffered_chunks(self):
        self.assembly.add(make_chunk(2, 2))
        self.assembly.end(4, "stop")
        self.assembly.begin_attempt()
        self.assertFalse(self.assembly.has_gap)
        self.assembly.add(make_chunk(0, 2))
        self.assertEqual(self.assembly.offset, 2)

    @examples(300)
    @given(st.lists(st.tuples(st.integers(0, 11), st.integers(1, 4)), max_size=40))
    def test_any_chunks_give_a_beginning_without_gap_or_repeat(self, chunks):
        self.setUp()
        for offset, count in chunks:
            self.assembly.add(make_chunk(offset, min(count, 12 - offset)))
        text = "".join(part for part, _ in self.parts)
        counted = sum(count for _, count in self.parts)
        self.assertEqual(text, "".join(TOKENS[:counted]))
        self.assertEqual(counted, self.assembly.offset)
