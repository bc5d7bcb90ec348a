"""Child processes of a deployment."""

import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

from balsamspoke_types.exceptions import BalsamspokeError

POLL_INTERVAL_SECONDS = 0.05
REQUEST_TIMEOUT_SECONDS = 2.0


class ProgramFailed(BalsamspokeError):
    """A process failed, isn't ready in time or doesn't exist, or a request failed."""


@dataclass(frozen=True, slots=True)
class Program:
    """A child process.

    Attributes
    ----------
    name : str
        Name in messages and of the log file.
    process : subprocess.Popen
        Handle of the process.
    log : Path
        File with its output.
    """

    name: str
    process: subprocess.Popen
    log: Path

    @classmethod
    def start(cls, name, module, arguments, directory):
        """Start ``python -m module`` with its output in ``NAME.log`` of a directory."""
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
        """Return the last lines of the output."""
        lines = self.log.read_text(errors="replace").splitlines()
        return "\n".join(lines[-last_lines:])

    def wait_for(self, url, timeout):
        """Wait until a GET of a URL returns status 200.

        Raises
        ------
        ProgramFailed
            If the program exits or the timeout passes before that.
        """
        deadline = time.monotonic() + timeout.total_seconds()
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise ProgramFailed(f"{self.name} exited early:\n{self.read_log()}")
            if _is_ready(url):
                return
            time.sleep(POLL_INTERVAL_SECONDS)
        raise ProgramFailed(f"{self.name} is not ready in time:\n{self.read_log()}")

    def terminate(self):
        """Send SIGTERM to the process, if it is running."""
        if self.process.poll() is None:
            self.process.terminate()

    def wait(self, timeout=timedelta(seconds=30)):
        """Wait for the process to exit and return its exit status.

        A process that doesn't exit in time is killed; its status is negative.
        """
        try:
            return self.process.wait(timeout.total_seconds())
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()


def _is_ready(url):
    try:
        with urllib.request.urlopen(url, timeout=REQUEST_TIMEOUT_SECONDS) as reply:
            return reply.status == 200
    except (urllib.error.URLError, OSError):
        return False
