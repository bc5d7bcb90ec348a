"""Errors of the operators' tool; each knows the exit code that it leads to."""

from balsamspoke_types.exceptions import BalsamspokeError

from .exit_codes import ExitCode


class CtlError(BalsamspokeError):
    """Base of the errors that end a command."""

    exit_code = ExitCode.USAGE


class NoSuchItem(CtlError):
    """What the operator named doesn't exist."""

    exit_code = ExitCode.NOT_FOUND


class ProcessUnreachable(CtlError):
    """A process of ours didn't answer its operators' port."""

    exit_code = ExitCode.UNAVAILABLE


class FileProblem(CtlError):
    """A catalogue file isn't valid at one place.

    Attributes
    ----------
    path : str
        The file.
    line : int
        Line, from one.
    """

    exit_code = ExitCode.INVALID

    def __init__(self, path, line, problem):
        super().__init__(f"{path}:{line}: {problem}")
        self.path = path
        self.line = line


class StoredProblem(CtlError):
    """The catalogue would not be valid at a place that is in no file."""

    exit_code = ExitCode.INVALID


class WriteConflict(CtlError):
    """Somebody else changed an object between reading and writing it.

    Attributes
    ----------
    kind : Kind
        Kind of the object.
    name : str
        Its name.
    ours, theirs : dict or None
        Members of the object as wanted and as it is; None for none.
    """

    exit_code = ExitCode.CONFLICT

    def __init__(self, kind, name, ours, theirs):
        super().__init__(f"{kind.value}/{name} was changed by somebody else")
        self.kind = kind
        self.name = name
        self.ours = ours
        self.theirs = theirs


class WriteUnsettled(CtlError):
    """Whether a write took effect couldn't be found out."""

    exit_code = ExitCode.UNKNOWN

    def __init__(self, kind, name, cause):
        super().__init__(
            f"{kind.value}/{name}: it isn't known whether the write took effect "
            f"({cause}); run the command again"
        )


class PlatformUnavailable(CtlError):
    """The object API or the VM list doesn't answer."""

    exit_code = ExitCode.UNAVAILABLE


class NotInForce(CtlError):
    """A change isn't in force everywhere within the timeout."""

    exit_code = ExitCode.NOT_IN_FORCE
