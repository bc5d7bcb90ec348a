"""Run the tests of every library and give one verdict.

Each library's tests run in a process of their own, a few at a time. A failure that
``KNOWN-RED.txt`` lists is printed and passed over; any other failure is the verdict.
"""

import argparse
import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PARALLEL_LIBRARIES = 4
LIBRARY_TIMEOUT_SECONDS = 1200

_BROKEN = re.compile(r"^(?:FAIL|ERROR): (?P<name>\w+) \((?P<id>[\w.]+)\)", re.MULTILINE)
_RAN = re.compile(r"^Ran (\d+) tests? in", re.MULTILINE)
_SKIPPED = re.compile(r"skipped=(\d+)")


def read_known_red():
    """Return the test ids listed in KNOWN-RED.txt, one `test:` line each."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


def run_library(library):
    """Run one library's tests and return its name, exit status and output."""
    command = [sys.executable, "-W", "ignore::DeprecationWarning"]
    command += ["-m", "unittest", "discover", "-v", "-s", "tests", "-t", "."]
    environment = dict(os.environ, PYTHONHASHSEED="0")
    done = subprocess.run(
        command,
        cwd=library,
        env=environment,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=LIBRARY_TIMEOUT_SECONDS,
    )
    return library.name, done.returncode, done.stdout


def main():
    """Run the tests of the named libraries, or of all."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("libraries", nargs="*", help="names below libs/; all if none")
    names = parser.parse_args().libraries
    libraries = sorted(
        path.parent
        for path in ROOT.glob("libs/*/tests")
        if any(path.rglob("test_*.py")) and (not names or path.parent.name in names)
    )
    known_red = read_known_red()
    ran, failed, skipped = 0, [], 0
    with ThreadPoolExecutor(PARALLEL_LIBRARIES) as pool:
        for name, status, output in pool.map(run_library, libraries):
            count = sum(int(found) for found in _RAN.findall(output))
            broken = [f"{name}:{match['id']}" for match in _BROKEN.finditer(output)]
            unexpected = [test for test in broken if test not in known_red]
            ran += count
            skipped += sum(int(found) for found in _SKIPPED.findall(output))
            failed += broken
            if status != 0 and not broken:
                failed.append(f"{name}: did not finish")
            print(f"{name}: {count} tests, {len(broken)} failed", flush=True)
            if unexpected or (status != 0 and not broken):
                print(output, flush=True)
    unexpected = [test for test in failed if test not in known_red]
    for test in failed:
        if test in known_red:
            print(f"known red: {test}")
    for test in sorted(known_red - set(failed)):
        if not names:
            print(f"listed in KNOWN-RED.txt but passes: {test}")
    passed = ran - len(failed)
    print(f"{passed} passed, {len(unexpected)} failed, {skipped} skipped")
    sys.exit(1 if unexpected or ran == 0 else 0)


if __name__ == "__main__":
    main()
