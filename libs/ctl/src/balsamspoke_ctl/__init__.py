"""The operators' command-line tool."""

from .exit_codes import ExitCode

__all__ = ["ExitCode"]
