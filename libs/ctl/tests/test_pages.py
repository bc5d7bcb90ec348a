import contextlib
import io
import os
import unittest
from pathlib import Path
from unittest import mock

from balsamspoke_ctl import ExitCode
from balsamspoke_ctl.command import main
from balsamspoke_ctl.parser import make_parser

PAGE = Path(__file__).parents[3] / "docs" / "reference" / "balsamspokectl.md"


class PageTests(unittest.TestCase):
    def test_exit_codes_are_on_the_page_and_in_the_help(self):
        page, shown = PAGE.read_text(), make_parser({}).format_help()
        for code in ExitCode:
            self.assertIn(f"| {code.value} | {code.meaning} |", page)
            self.assertIn(f"  {code.value}  {code.meaning}", shown)

    def test_commands_and_flags_are_on_the_page(self):
        page = PAGE.read_text()
        actions = make_parser({})._actions
        flags = [flag for action in actions for flag in action.option_strings]
        commands = actions[-1].choices
        for command in commands.values():
            flags += [f for a in command._actions for f in a.option_strings]
        for word in (*commands, *flags):
            if word not in ("-h", "--help"):
                self.assertIn(f"`{word}", page)


class CommandLineTests(unittest.TestCase):
    def run_main(self, *arguments):
        problems = io.StringIO()
        with (
            mock.patch.dict(os.environ, clear=True),
            contextlib.redirect_stderr(problems),
            self.assertRaises(SystemExit) as ended,
        ):
            main(arguments)
        return ended.exception.code, problems.getvalue()

    def test_missing_addresses_are_all_named(self):
        code, problems = self.run_main("wait")
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn("BALSAMSPOKE_OBJECT_API", problems)
        self.assertIn("BALSAMSPOKE_VM_LIST", problems)

    def test_bad_arguments_are_usage_errors(self):
        for arguments in ((), ("get", "boats", "x"), ("--timeout", "-1", "wait")):
            self.assertEqual(self.run_main(*arguments)[0], ExitCode.USAGE)
