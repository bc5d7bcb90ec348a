"""Generate the protocol code of the wire library from its .proto files."""

import argparse
import sys
import tempfile
from pathlib import Path

from grpc_tools import protoc

WIRE = Path(__file__).resolve().parent.parent / "libs" / "wire"
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


def find_stale():
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
        return
    stale = find_stale()
    if stale:
        sys.exit(f"out of date, run 'tools/run python tools/generate.py': {stale}")


if __name__ == "__main__":
    main()
