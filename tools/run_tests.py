"""Run the tests of all libraries, or of some.

Each test module runs in a process of its own, several of them in parallel. Failures
that ``KNOWN-RED.txt`` lists are printed and do not count; any other failure makes the
exit status 1.
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

_FAILED_TEST = re.compile(
    r"^(?:FAIL|ERROR): (?P<name>\w+) \((?P<id>[\w.]+)\)", re.MULTILINE
)
_RUN_COUNT = re.compile(r"^Ran (\d+) tests? in", re.MULTILINE)
_SKIPPED_COUNT = re.compile(r"skipped=(\d+)")


def read_known_red():
    """Return the ids of expected failures, one per `test:` line of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


@dataclass(frozen=True)
class ModuleResult:
    """Result of the tests of one module.

    Attributes
    ----------
    library : str
        Name of the library's folder.
    module : str
        Dotted name of the module, from the library's folder.
    ran : int
        Number of tests run, including skipped ones.
    skipped : int
        Number of tests skipped.
    failed_tests : tuple of str
        Ids of the tests that failed, with the library's name; or one text that names
        the module, if it failed without a failed test.
    output : str
        Standard output and standard error of the module's process.
    """

    library: str
    module: str
    ran: int
    skipped: int
    failed_tests: tuple
    output: str


def find_modules(names):
    """Return (library folder, module name) pairs of the named libraries, or of all."""
    modules = []
    test_paths = [
        *ROOT.glob("libs/*/tests/**/test_*.py"),
        *ROOT.glob("platform/tests/**/test_*.py"),
    ]
    for path in sorted(test_paths):
        library = path.parent
        while library.name != "tests":
            library = library.parent
        library = library.parent
        if not names or library.name in names:
            module = ".".join(path.relative_to(library).with_suffix("").parts)
            modules.append((library, module))
    return modules


def run_module(test_module):
    """Run one test module, given as (library folder, module name).

    Returns
    -------
    ModuleResult

    Raises
    ------
    subprocess.TimeoutExpired
        If the module takes longer than MODULE_TIMEOUT_SECONDS.
    """
    library, module = test_module
    command = [sys.executable, "-W", "ignore::DeprecationWarning"]
    command += ["-m", "unittest", "-v", module]
    process = subprocess.run(
        command,
        cwd=library,
        env=dict(os.environ, PYTHONHASHSEED="0"),
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=MODULE_TIMEOUT_SECONDS,
    )
    failed_tests = [
        f"{library.name}:{match['id']}"
        for match in _FAILED_TEST.finditer(process.stdout)
    ]
    if process.returncode != 0 and not failed_tests:
        failed_tests.append(f"{library.name}:{module} did not finish")
    return ModuleResult(
        library.name,
        module,
        sum(int(count) for count in _RUN_COUNT.findall(process.stdout)),
        sum(int(count) for count in _SKIPPED_COUNT.findall(process.stdout)),
        tuple(dict.fromkeys(failed_tests)),
        process.stdout,
    )


def main():
    """Run the selected tests; exit with 1 on an unexpected failure or without tests."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("libraries", nargs="*", help="names below libs/; all if none")
    names = parser.parse_args().libraries
    known_red = read_known_red()
    with ThreadPoolExecutor(PARALLEL_MODULES) as pool:
        results = list(pool.map(run_module, find_modules(names)))
    for result in results:
        if set(result.failed_tests) - known_red:
            print(result.output)
    print_summary(results)
    failed_tests = {test for result in results for test in result.failed_tests}
    for test in sorted(failed_tests & known_red):
        print(f"known red: {test}")
    for test in sorted(known_red - failed_tests):
        if not names:
            print(f"listed in KNOWN-RED.txt but passes: {test}")
    ran = sum(result.ran for result in results)
    skipped = sum(result.skipped for result in results)
    unexpected = failed_tests - known_red
    print(
        f"{ran - len(failed_tests)} passed, {len(unexpected)} failed, {skipped} skipped"
    )
    sys.exit(1 if unexpected or ran == 0 else 0)


def print_summary(results):
    """Print the number of tests and failures of each library."""
    for library in sorted({result.library for result in results}):
        library_results = [result for result in results if result.library == library]
        ran = sum(result.ran for result in library_results)
        failed = sum(len(result.failed_tests) for result in library_results)
        print(f"{library}: {ran} tests, {failed} failed", flush=True)


if __name__ == "__main__":
    main()
