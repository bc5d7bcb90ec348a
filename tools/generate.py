"""Generate the protocol modules from the .proto files, and the settings page."""

import argparse
import sys
import tempfile
from pathlib import Path

from balsamspoke_daemon.settings import format_reference
from grpc_tools import protoc

ROOT = Path(__file__).resolve().parent.parent
SETTINGS_PAGE = ROOT / "docs" / "reference" / "settings.md"
SETTINGS_INTRODUCTION = """# Settings of balsamspoked

Each setting is a flag or an environment variable; flags go first. All are checked at
start, and all problems are listed at once; `--check` only checks, `--print-settings`
prints what is in force without secrets. This page is generated from the definitions
by `tools/generate.py`.

"""
WIRE = ROOT / "libs" / "wire"
PROTO_DIRECTORY = WIRE / "proto"
GENERATED_DIRECTORY = WIRE / "src" / "balsamspoke_wire" / "generated"


def generate(target):
    """Generate the protocol modules into a directory.

    Parameters
    ----------
    target : Path
        Directory for the modules.

    Raises
    ------
    SystemExit
        If protoc fails.
    """
    sources = sorted(str(path) for path in PROTO_DIRECTORY.glob("*.proto"))
    arguments = ["protoc", f"-I{PROTO_DIRECTORY}", f"--python_out={target}"]
    if protoc.main([*arguments, *sources]) != 0:
        sys.exit("protoc failed")


def format_settings_page():
    """Return the text of the reference page of the settings."""
    return SETTINGS_INTRODUCTION + format_reference()


def find_stale_files():
    """Return the names of all committed files that are out of date."""
    is_page_current = SETTINGS_PAGE.read_text() == format_settings_page()
    return find_stale_modules() + ([] if is_page_current else [SETTINGS_PAGE.name])


def find_stale_modules():
    """Return the names of committed protocol modules that are out of date."""
    with tempfile.TemporaryDirectory() as directory:
        generate(directory)
        return [
            path.name
            for path in sorted(Path(directory).glob("*_pb2.py"))
            if not (GENERATED_DIRECTORY / path.name).exists()
            or path.read_text() != (GENERATED_DIRECTORY / path.name).read_text()
        ]


def main():
    """Generate all files, or with --check fail if a committed one is out of date."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    if not parser.parse_args().check:
        generate(GENERATED_DIRECTORY)
        SETTINGS_PAGE.write_text(format_settings_page())
        return
    stale = find_stale_files()
    if stale:
        sys.exit(f"out of date, run 'tools/run python tools/generate.py': {stale}")


if __name__ == "__main__":
    main()
