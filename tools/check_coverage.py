"""Check that the tests and modules which docs/coverage.md names exist."""

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs/coverage.md"
_NAME = re.compile(r"`([a-z_]+)`")
_TEST = re.compile(r"def (test_\w+)")


def find_tests():
    """Return the names of all test methods."""
    paths = [*ROOT.glob("libs/*/tests/**/*.py"), *ROOT.glob("platform/tests/**/*.py")]
    return {name for path in paths for name in _TEST.findall(path.read_text())}


def find_modules():
    """Return the names of all modules of the libraries and the adapter."""
    paths = [*ROOT.glob("libs/*/src/**/*.py"), *ROOT.glob("platform/*/*.py")]
    return {path.stem for path in paths}


def find_missing(page):
    """Return the sorted names in a page that are neither a test nor a module."""
    names = set(_NAME.findall(page))
    states = {"before", "mutation"}
    return sorted(names - find_tests() - find_modules() - states)


def main():
    """Print the names that are missing; exit with 1 if there are any."""
    missing = find_missing(PAGE.read_text())
    for name in missing:
        print(f"docs/coverage.md names {name}, which is not there")
    sys.exit(1 if missing else 0)


if __name__ == "__main__":
    main()
