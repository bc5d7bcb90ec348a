"""Run the tests of every library and give one verdict.

Each test module runs in a process of its own, a few at a time. A failure that
``KNOWN-RED.txt`` lists is printed and passed over; any other failure is the verdict.
"""

import argparse
import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PARALLEL_MODULES = 6
MODULE_TIMEOUT_SECONDS = 1200

_BROKEN = re.compile(r"^(?:FAIL|ERROR): (?P<name>\w+) \((?P<id>[\w.]+)\)", re.MULTILINE)
_RAN = re.compile(r"^Ran (\d+) tests? in", re.MULTILINE)
_SKIPPED = re.compile(r"skipped=(\d+)")


def read_known_red():
    """Return the test ids listed in KNOWN-RED.txt, one `test:` line each."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


@dataclass(frozen=True)
class ModuleResult:
    """How the tests of one module ended.

    Attributes
    ----------
    library, module : str
        Which module of which library.
    ran, skipped : int
        Tests.
    broken : tuple of str
        Ids of the tests that failed, with the library's name.
    output : str
        What the runner printed.
    """

    library: str
    module: str
    ran: int
    skipped: int
    broken: tuple
    output: str


def find_modules(names):
    """Return (library folder, module name) pairs, the named libraries' or all."""
    found = []
    paths = [
        *ROOT.glob("libs/*/tests/**/test_*.py"),
        *ROOT.glob("platform/tests/**/test_*.py"),
    ]
    for path in sorted(paths):
        library = path.parent
        while library.name != "tests":
            library = library.parent
        library = library.parent
        if not names or library.name in names:
            module = ".".join(path.relative_to(library).with_suffix("").parts)
            found.append((library, module))
    return found


def run_module(place):
    """Run one test module and return its ModuleResult."""
    library, module = place
    command = [sys.executable, "-W", "ignore::DeprecationWarning"]
    command += ["-m", "unittest", "-v", module]
    done = subprocess.run(
        command,
        cwd=library,
        env=dict(os.environ, PYTHONHASHSEED="0"),
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=MODULE_TIMEOUT_SECONDS,
    )
    broken = [
        f"{library.name}:{match['id']}" for match in _BROKEN.finditer(done.stdout)
    ]
    if done.returncode != 0 and not broken:
        broken.append(f"{library.name}:{module} did not finish")
    return ModuleResult(
        library.name,
        module,
        sum(int(count) for count in _RAN.findall(done.stdout)),
        sum(int(count) for count in _SKIPPED.findall(done.stdout)),
        tuple(dict.fromkeys(broken)),
        done.stdout,
    )


def main():
    """Run the tests of the named libraries, or of all."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("libraries", nargs="*", help="names below libs/; all if none")
    names = parser.parse_args().libraries
    known_red = read_known_red()
    with ThreadPoolExecutor(PARALLEL_MODULES) as pool:
        results = list(pool.map(run_module, find_modules(names)))
    for result in results:
        if set(result.broken) - known_red:
            print(result.output)
    print_summary(results)
    broken = {test for result in results for test in result.broken}
    for test in sorted(broken & known_red):
        print(f"known red: {test}")
    for test in sorted(known_red - broken):
        if not names:
            print(f"listed in KNOWN-RED.txt but passes: {test}")
    ran = sum(result.ran for result in results)
    skipped = sum(result.skipped for result in results)
    unexpected = broken - known_red
    print(f"{ran - len(broken)} passed, {len(unexpected)} failed, {skipped} skipped")
    sys.exit(1 if unexpected or ran == 0 else 0)


def print_summary(results):
    """Print a line for each library."""
    for library in sorted({result.library for result in results}):
        own = [result for result in results if result.library == library]
        ran = sum(result.ran for result in own)
        failed = sum(len(result.broken) for result in own)
        print(f"{library}: {ran} tests, {failed} failed", flush=True)


if __name__ == "__main__":
    main()
