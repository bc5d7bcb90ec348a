import os
import signal
import subprocess
import sys
import unittest

PROGRAMS = (
    ("object_api",),
    ("vm_list",),
    ("service",),
    ("engine", "--model", "base"),
)
TIMEOUT_SECONDS = 60


class ProgramTests(unittest.TestCase):
    def test_each_prints_its_address_and_exits_on_sigterm(self):
        running = [self.start(name, *arguments) for name, *arguments in PROGRAMS]
        for (name, *_), program in zip(PROGRAMS, running):
            with self.subTest(name):
                line = program.stdout.readline()
                self.assertRegex(line, rf"^{name} listens on 127\.0\.0\.1:[1-9]\d*\n$")
                program.send_signal(signal.SIGTERM)
                self.assertEqual(program.wait(TIMEOUT_SECONDS), 0)
                self.assertEqual(program.stdout.read(), "")

    def test_bad_arguments_are_refused(self):
        program = self.start("engine")
        self.assertEqual(program.wait(TIMEOUT_SECONDS), 2)

    def start(self, name, *arguments):
        program = subprocess.Popen(
            [sys.executable, "-m", f"balsamspoke_standins.{name}", *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            env=os.environ,
        )
        self.addCleanup(self.stop, program)
        return program

    @staticmethod
    def stop(program):
        if program.poll() is None:
            program.kill()
            program.wait(TIMEOUT_SECONDS)
        program.stdout.close()
