"""Exit codes of the tool."""

import enum


class ExitCode(enum.IntEnum):
    """Exit status of the tool.

    Attributes
    ----------
    meaning : str
        One-line description, shown in the help.
    """

    def __new__(cls, value, meaning):
        """Create a member with its description."""
        member = int.__new__(cls, value)
        member._value_ = value
        member.meaning = meaning
        return member

    OK = 0, "done, or nothing to do"
    DIFFERENT = 1, "diff found differences"
    USAGE = 2, "the command line isn't valid"
    INVALID = 3, "the files or the catalogue they lead to aren't valid; nothing written"
    NOT_FOUND = 4, "no such object, process or request"
    CONFLICT = 5, "somebody else changed an object meanwhile; both sides are shown"
    UNKNOWN = 6, "a write's reply is lost and couldn't be settled; run it again"
    UNAVAILABLE = (
        7,
        "the platform or a process doesn't answer; only what is shown as written was",
    )
    NOT_IN_FORCE = 8, "not in force everywhere within the timeout"


def format_exit_codes():
    """Return the table of exit codes as text."""
    lines = [f"  {code.value}  {code.meaning}" for code in ExitCode]
    return "\n".join(["exit codes:", *lines])
