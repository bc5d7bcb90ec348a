"""Identifiers of processes, attempts and adapters."""

from dataclasses import dataclass

from .exceptions import IdentifierError


@dataclass(frozen=True, slots=True, order=True)
class ProcessId:
    """Name one run of one of our processes.

    Attributes
    ----------
    vm : str
        Id of the VM in the VM list; one process of ours runs on each VM.
    boot : int
        Number drawn at the start of the process, different for each run.
    """

    vm: str
    boot: int

    def __str__(self):
        return f"{self.vm}@{self.boot:x}"

    @classmethod
    def parse(cls, text):
        """Read back what ``str`` gave.

        Raises
        ------
        IdentifierError
            If the text isn't a process id.
        """
        vm, separator, boot = text.rpartition("@")
        try:
            return cls(vm, int(boot, 16)) if separator and vm else _refuse(text)
        except ValueError as error:
            raise IdentifierError(f"not a process id: {text!r}") from error


def _refuse(text):
    raise IdentifierError(f"not a process id: {text!r}")


@dataclass(frozen=True, slots=True, order=True)
class AttemptId:
    """Name one attempt to run one request on one backend server.

    The id is unique over restarts, since the origin is one run of a process.
    """

    origin: ProcessId
    number: int

    def __str__(self):
        return f"{self.origin}#{self.number}"

    @classmethod
    def parse(cls, text):
        """Read back what ``str`` gave.

        Raises
        ------
        IdentifierError
            If the text isn't an attempt id.
        """
        origin, _, number = text.rpartition("#")
        try:
            return cls(ProcessId.parse(origin), int(number))
        except ValueError as error:
            raise IdentifierError(f"not an attempt id: {text!r}") from error


@dataclass(frozen=True, slots=True, order=True)
class AdapterRef:
    """Name what an engine loads: an adapter in one version."""

    adapter: str
    version: int

    def __str__(self):
        return f"{self.adapter}:{self.version}"
