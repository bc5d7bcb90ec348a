"""Programs that a deployment is made of, each in a process of its own."""

import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

from balsamspoke_types.exceptions import BalsamspokeError

POLL_SECONDS = 0.05
REQUEST_SECONDS = 2.0


class ProgramFailed(BalsamspokeError):
    """A program ended early or did not get ready."""


@dataclass(frozen=True, slots=True)
class Program:
    """A running program.

    Attributes
    ----------
    name : str
        For messages.
    process : subprocess.Popen
        The process.
    log : Path
        Where its output goes.
    """

    name: str
    process: subprocess.Popen
    log: Path

    @classmethod
    def start(cls, name, module, arguments, directory):
        """Start ``python -m module`` with its output in a file of a directory."""
        log = Path(directory) / f"{name}.log"
        with log.open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *map(str, arguments)],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        return cls(name, process, log)

    def read_log(self, last_lines=20):
        """Return the last lines of its output."""
        lines = self.log.read_text(errors="replace").splitlines()
        return "\n".join(lines[-last_lines:])

    def wait_for(self, url, timeout):
        """Wait until a URL answers with status 200.

        Raises
        ------
        ProgramFailed
            If the program ends or the timeout passes before that.
        """
        end = time.monotonic() + timeout.total_seconds()
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise ProgramFailed(f"{self.name} ended early:\n{self.read_log()}")
            if _answers(url):
                return
            time.sleep(POLL_SECONDS)
        raise ProgramFailed(f"{self.name} is not ready in time:\n{self.read_log()}")

    def terminate(self):
        """Ask the program to stop."""
        if self.process.poll() is None:
            self.process.terminate()

    def wait(self, timeout=timedelta(seconds=30)):
        """Wait for the end and return the exit status.

        A program that doesn't end in time is killed; its status is negative.
        """
        try:
            return self.process.wait(timeout.total_seconds())
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()


def _answers(url):
    try:
        with urllib.request.urlopen(url, timeout=REQUEST_SECONDS) as reply:
            return reply.status == 200
    except (urllib.error.URLError, OSError):
        return False
