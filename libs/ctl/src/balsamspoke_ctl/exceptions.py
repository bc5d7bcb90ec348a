"""Errors of the operators' tool, each with its exit code."""

from balsamspoke_types.exceptions import BalsamspokeError

from .exit_codes import ExitCode


class CtlError(BalsamspokeError):
    """Base class of the errors that end a command."""

    exit_code = ExitCode.USAGE


class NoSuchItem(CtlError):
    """An object, process or request that the operator named doesn't exist."""

    exit_code = ExitCode.NOT_FOUND


class ProcessUnreachable(CtlError):
    """A process returns no valid response on its status or metrics port."""

    exit_code = ExitCode.UNAVAILABLE


class FileProblem(CtlError):
    """A catalogue file isn't valid at one line.

    Attributes
    ----------
    path : str
        Path of the file.
    line : int
        Line number, from 1.
    """

    exit_code = ExitCode.INVALID

    def __init__(self, path, line, problem):
        super().__init__(f"{path}:{line}: {problem}")
        self.path = path
        self.line = line


class StoredProblem(CtlError):
    """The catalogue would be invalid in an object that no given file contains."""

    exit_code = ExitCode.INVALID


class WriteConflict(CtlError):
    """An object was changed by another writer between reading and writing it.

    Attributes
    ----------
    kind : Kind
        Kind of the object.
    name : str
        Name of the object.
    ours : dict or None
        Members that this tool meant to write; None for a deletion.
    theirs : dict or None
        Members that are stored now; None if the object doesn't exist or can't be
        decoded.
    """

    exit_code = ExitCode.CONFLICT

    def __init__(self, kind, name, ours, theirs):
        super().__init__(f"{kind.value}/{name} was changed by somebody else")
        self.kind = kind
        self.name = name
        self.ours = ours
        self.theirs = theirs


class WriteUnsettled(CtlError):
    """It couldn't be determined whether a write took effect."""

    exit_code = ExitCode.UNKNOWN

    def __init__(self, kind, name, cause):
        super().__init__(
            f"{kind.value}/{name}: it isn't known whether the write took effect "
            f"({cause}); run the command again"
        )


class PlatformUnavailable(CtlError):
    """The object API fails or rejects a request, or the VM list is unavailable."""

    exit_code = ExitCode.UNAVAILABLE


class NotInForce(CtlError):
    """A revision isn't in force on all live processes within the timeout."""

    exit_code = ExitCode.NOT_IN_FORCE
