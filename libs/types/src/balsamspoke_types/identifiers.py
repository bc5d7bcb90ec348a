"""Identifiers of processes, attempts and adapters."""

from dataclasses import dataclass

from .exceptions import IdentifierError


@dataclass(frozen=True, slots=True, order=True)
class ProcessId:
    """Identifier of one run of a process.

    Attributes
    ----------
    vm : str
        Id of the VM in the VM list; each VM runs one process.
    boot : int
        Random number drawn when the process starts, so that a restart gets a new id.
    """

    vm: str
    boot: int

    def __str__(self):
        return f"{self.vm}@{self.boot:x}"

    @classmethod
    def parse(cls, text):
        """Return the ProcessId for the output of its ``str``.

        Raises
        ------
        IdentifierError
            If the text is not a process id.
        """
        vm, separator, boot = text.rpartition("@")
        try:
            return (
                cls(vm, int(boot, 16)) if separator and vm else _raise_malformed(text)
            )
        except ValueError as error:
            raise IdentifierError(f"not a process id: {text!r}") from error


def _raise_malformed(text):
    raise IdentifierError(f"not a process id: {text!r}")


@dataclass(frozen=True, slots=True, order=True)
class AttemptId:
    """Identifier of one attempt to run a request on a backend server.

    Ids stay unique across restarts, since the origin identifies one run of a process.

    Attributes
    ----------
    origin : ProcessId
        The process that starts the attempt.
    number : int
        Sequence number within that run of the process.
    """

    origin: ProcessId
    number: int

    def __str__(self):
        return f"{self.origin}#{self.number}"

    @classmethod
    def parse(cls, text):
        """Return the AttemptId for the output of its ``str``.

        Raises
        ------
        IdentifierError
            If the text is not an attempt id.
        """
        origin, _, number = text.rpartition("#")
        try:
            return cls(ProcessId.parse(origin), int(number))
        except ValueError as error:
            raise IdentifierError(f"not an attempt id: {text!r}") from error


@dataclass(frozen=True, slots=True, order=True)
class AdapterRef:
    """Identifier of one version of an adapter, the unit that an engine loads.

    Attributes
    ----------
    adapter : str
        Name of the adapter.
    version : int
        Version of the adapter.
    """

    adapter: str
    version: int

    def __str__(self):
        return f"{self.adapter}:{self.version}"
