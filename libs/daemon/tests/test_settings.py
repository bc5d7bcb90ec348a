import unittest

from balsamspoke_daemon.exceptions import SettingsError
from balsamspoke_daemon.settings import format_settings, make_parser, read_settings

ENTRY_FLAGS = [
    "entry",
    "--vm=e1",
    "--failure-domain=carneiros",
    "--object-api=http://127.0.0.1:9000",
    "--vm-list=http://127.0.0.1:9001",
    "--peer-listen=127.0.0.1:7400",
    "--status-listen=127.0.0.1:7401",
    "--http-listen=127.0.0.1:7480",
]


def read(flags, environment=None):
    return read_settings(make_parser().parse_args(flags), environment or {})


class SettingsTest(unittest.TestCase):
    def assert_problems(self, flags, environment, *expected):
        with self.assertRaises(SettingsError) as caught:
            read(flags, environment)
        problems = [str(problem) for problem in caught.exception.exceptions]
        self.assertEqual(len(problems), len(expected), problems)
        for problem, parts in zip(problems, expected):
            for part in parts:
                self.assertIn(part, problem)

    def test_complete_settings_are_accepted(self):
        settings = read(ENTRY_FLAGS)
        self.assertEqual(settings.vm, "e1")
        self.assertEqual(settings.http_listen.port, 7480)
        self.assertIsNone(settings.backend)

    def test_every_problem_is_listed_at_once_with_flag_and_variable(self):
        self.assert_problems(
            ["entry", "--vm=e1", "--peer-listen=nowhere", *ENTRY_FLAGS[3:5]],
            {},
            ["--failure-domain is missing", "BALSAMSPOKE_FAILURE_DOMAIN"],
            ["--peer-listen", "BALSAMSPOKE_PEER_LISTEN", "ip:port"],
            ["--status-listen is missing"],
            ["--http-listen is missing"],
        )

    def test_flags_take_precedence_over_the_environment(self):
        environment = {"BALSAMSPOKE_VM": "other", "BALSAMSPOKE_REGION": "south"}
        settings = read(ENTRY_FLAGS, environment)
        self.assertEqual((settings.vm, settings.region), ("e1", "south"))

    def test_a_certificate_without_its_key_is_reported(self):
        flags = [*ENTRY_FLAGS, f"--tls-certificate={__file__}"]
        self.assert_problems(flags, {}, ["--tls-certificate", "--tls-key"])

    def test_an_invalid_value_is_reported_with_what_is_accepted(self):
        for flag, accepted in [
            ("--first-token-timeout=-1", "above zero"),
            ("--maximum-connections=0", "at least 1"),
            ("--log-level=LOUD", "DEBUG"),
            ("--object-api=ftp://x", "http://"),
            ("--vm=a b", "letters"),
            ("--peer-listen=127.0.0.1:99999", "65535"),
        ]:
            with self.subTest(flag):
                self.assert_problems([*ENTRY_FLAGS, flag], {}, [accepted])

    def test_secrets_are_not_printed(self):
        pair = [f"--tls-certificate={__file__}", f"--tls-key={__file__}"]
        text = format_settings(read([*ENTRY_FLAGS, *pair]))
        self.assertIn("BALSAMSPOKE_TLS_KEY=(hidden)", text)
