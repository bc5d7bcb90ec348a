"""Settings of the daemon, read from flags and environment variables."""

import argparse
from dataclasses import make_dataclass

from .definitions import BOTH_ROLES, SETTINGS
from .exceptions import SettingError, SettingsError

Settings = make_dataclass(
    "Settings",
    ["role", *(setting.name for setting in SETTINGS)],
    frozen=True,
    namespace={
        "__doc__": "Validated values of all settings; None for a setting that is not "
        "given or that the role doesn't have."
    },
)

_REQUIRED_TOGETHER = (
    ("tls_certificate", "tls_key"),
    ("peer_tls_certificate", "peer_tls_key"),
    ("peer_tls_certificate", "peer_tls_ca"),
)


def make_parser():
    """Return the argument parser, with a flag for each setting."""
    parser = argparse.ArgumentParser(
        prog="balsamspoked",
        description="Run an entry process or a side process.",
        epilog="Each flag can be given as an environment variable instead: "
        "--peer-listen as BALSAMSPOKE_PEER_LISTEN. Flags take precedence.",
    )
    parser.add_argument("role", choices=BOTH_ROLES, help="role of this process")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and stop"
    )
    parser.add_argument(
        "--print-settings", action="store_true", help="print the settings and stop"
    )
    for setting in SETTINGS:
        parser.add_argument(setting.flag, help=_format_help(setting), metavar="VALUE")
    return parser


def read_settings(arguments, environment):
    """Read and validate the settings.

    Parameters
    ----------
    arguments : argparse.Namespace
        Parsed by the parser of ``make_parser``; flags take precedence.
    environment : mapping of str
        Environment variables, used for settings whose flag is not given.

    Returns
    -------
    Settings

    Raises
    ------
    SettingsError
        If any setting is missing or invalid; has a SettingError for each.
    """
    problems = []
    values = {"role": arguments.role}
    for setting in SETTINGS:
        values[setting.name] = None
        if arguments.role in setting.roles:
            try:
                values[setting.name] = _read_value(setting, arguments, environment)
            except SettingError as problem:
                problems.append(problem)
    problems += _find_incomplete_pairs(values)
    if problems:
        raise SettingsError("the settings are invalid", problems)
    return Settings(**values)


def format_settings(settings):
    """Return the settings as ``VARIABLE=value`` lines, with secrets hidden."""
    lines = [f"role={settings.role}"]
    for setting in SETTINGS:
        value = getattr(settings, setting.name)
        if value is not None:
            shown = "(hidden)" if setting.is_secret else value
            lines.append(f"{setting.variable}={shown}")
    return "\n".join(lines)


def format_reference():
    """Return the Markdown table of all settings for the reference page."""
    lines = [
        "| flag | variable | role | default | meaning |",
        "| --- | --- | --- | --- | --- |",
    ]
    for setting in SETTINGS:
        default = "required" if setting.default is None else f"`{setting.default}`"
        default = "none" if default == "``" else default
        lines.append(
            f"| `{setting.flag}` | `{setting.variable}` | {', '.join(setting.roles)} "
            f"| {default} | {setting.help} |"
        )
    return "\n".join(lines) + "\n"


def _format_help(setting):
    roles = "" if setting.roles == BOTH_ROLES else f" ({setting.roles[0]} only)"
    default = f" Default: {setting.default}." if setting.default else ""
    return f"{setting.help}{default}{roles}"


def _read_value(setting, arguments, environment):
    text = getattr(arguments, setting.name)
    if text is None:
        text = environment.get(setting.variable, setting.default)
    if text is None:
        raise SettingError(
            f"{setting.flag} is missing: give the flag or set {setting.variable}. "
            f"{setting.help}"
        )
    try:
        return setting.parse(text)
    except ValueError as error:
        raise SettingError(f"{setting.flag} ({setting.variable}): {error}") from error


def _find_incomplete_pairs(values):
    for first, second in _REQUIRED_TOGETHER:
        if (values[first] is None) != (values[second] is None):
            given, missing = (first, second) if values[first] else (second, first)
            by_name = {setting.name: setting for setting in SETTINGS}
            yield SettingError(
                f"{by_name[given].flag} is given without {by_name[missing].flag}: "
                f"give both or neither ({by_name[missing].variable})"
            )
