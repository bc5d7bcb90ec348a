"""Generate the protocol code from its .proto files, and the table of settings."""

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
    """Write the generated modules into a directory.

    Parameters
    ----------
    target : Path
        The directory that receives the modules.
    """
    sources = sorted(str(path) for path in PROTO_DIRECTORY.glob("*.proto"))
    arguments = ["protoc", f"-I{PROTO_DIRECTORY}", f"--python_out={target}"]
    if protoc.main([*arguments, *sources]) != 0:
        sys.exit("protoc failed")


def format_settings_page():
    """Return the reference page of the settings."""
    return SETTINGS_INTRODUCTION + format_reference()


def find_stale():
    """Return the names of committed files that differ from a fresh generation."""
    is_page_fresh = SETTINGS_PAGE.read_text() == format_settings_page()
    return find_stale_modules() + ([] if is_page_fresh else [SETTINGS_PAGE.name])


def find_stale_modules():
    """Return the names of committed modules that differ from a fresh generation."""
    with tempfile.TemporaryDirectory() as fresh:
        generate(fresh)
        return [
            path.name
            for path in sorted(Path(fresh).glob("*_pb2.py"))
            if not (GENERATED_DIRECTORY / path.name).exists()
            or path.read_text() != (GENERATED_DIRECTORY / path.name).read_text()
        ]


def main():
    """Generate the modules, or check that the committed ones are up to date."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    if not parser.parse_args().check:
        generate(GENERATED_DIRECTORY)
        SETTINGS_PAGE.write_text(format_settings_page())
        return
    stale = find_stale()
    if stale:
        sys.exit(f"out of date, run 'tools/run python tools/generate.py': {stale}")


if __name__ == "__main__":
    main()
