import unittest
from datetime import timedelta

from balsamspoke_catalogue import (
    CatalogueError,
    decode_object,
    digest_key,
    encode_object,
    validate_catalogue,
)
from balsamspoke_fakes.properties import examples
from balsamspoke_types.objects import (
    Adapter,
    KeyRecord,
    Kind,
    Model,
    PlainService,
    PriorityClass,
    ServiceCall,
    Team,
)
from hypothesis import given
from hypothesis import strategies as st

text = st.text(st.characters(exclude_categories=["Cs"]), max_size=10)
numbers = st.integers(-(2**53), 2**53)
reals = st.floats(allow_nan=False, allow_infinity=False)
objects = st.one_of(
    st.builds(Team, text, reals, numbers, reals).map(lambda o: (Kind.TEAM, o)),
    st.builds(Model, text, numbers).map(lambda o: (Kind.MODEL, o)),
    st.builds(
        Adapter,
        *[text] * 3,
        numbers,
        st.lists(numbers).map(tuple),
        st.sampled_from(PriorityClass),
        st.booleans(),
    ).map(lambda o: (Kind.ADAPTER, o)),
    st.builds(
        PlainService,
        text,
        st.lists(text).map(tuple),
        st.lists(st.builds(ServiceCall, text, text, st.booleans())).map(tuple),
        timeout=st.integers(0, 10**9).map(lambda us: timedelta(microseconds=us)),
    ).map(lambda o: (Kind.SERVICE, o)),
    st.builds(KeyRecord, text, text, text).map(lambda o: (Kind.KEY, o)),
)


class CodecTest(unittest.TestCase):
    @examples(200)
    @given(objects)
    def test_objects_survive_a_round_trip(self, kind_and_object):
        kind, obj = kind_and_object
        value = encode_object(obj)
        self.assertEqual(decode_object(kind, obj.name, value, strict=True), obj)

    @examples(200)
    @given(st.sampled_from(list(Kind)[:5]), st.binary(max_size=20) | st.just(b"[]"))
    def test_invalid_values_raise_a_catalogue_error(self, kind, value):
        with self.assertRaises(CatalogueError):
            decode_object(kind, "x", value)

    def test_unknown_fields_are_errors_only_when_strict(self):
        value = b'{"rate": 1, "burst": 2, "brust": 3}'
        self.assertEqual(decode_object(Kind.TEAM, "t", value), Team("t", 1.0, 2))
        with self.assertRaisesRegex(CatalogueError, r"teams/t\.brust: unknown"):
            decode_object(Kind.TEAM, "t", value, strict=True)


class ValidationTest(unittest.TestCase):
    def test_valid_catalogue_passes(self):
        validate_catalogue(
            [
                Team("t", 1.0, 1),
                Model("m"),
                Adapter("a", "t", "m", 1, (1, 2)),
                PlainService("s", ("t",), (ServiceCall("GET", "/", True),)),
                KeyRecord("k", "t", digest_key("secret")),
            ]
        )

    def test_all_problems_are_reported_at_once(self):
        with self.assertRaises(ExceptionGroup) as caught:
            validate_catalogue(
                [
                    Team("t", float("nan"), 0),
                    Team("t", 1.0, 1, -1.0),
                    Model("Bad Name", 1, 2),
                    Model("s"),
                    Adapter("a", "nobody", "nothing", 3, (1, 1)),
                    PlainService("s", ("x",), timeout=timedelta(0)),
                    KeyRecord("k", "t", "secret"),
                    KeyRecord("l", "t", "secret"),
                ]
            )
        locations = [error.where for error in caught.exception.exceptions]
        expected = """teams/t.name services/s.name teams/t.rate teams/t.burst
        teams/t.weight models/Bad Name.name models/Bad Name.default_max_tokens
        adapters/a.team adapters/a.model adapters/a.versions
        adapters/a.default_version services/s.teams services/s.timeout
        keys/k.digest keys/l.digest keys/l.digest"""
        expected_locations = expected.replace("Bad Name", "Bad_Name").split()
        self.assertEqual(
            sorted(locations),
            sorted(
                location.replace("Bad_Name", "Bad Name")
                for location in expected_locations
            ),
        )
        self.assertNotIn("secret", str(caught.exception.exceptions))
