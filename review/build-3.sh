#!/bin/sh
# The stand-ins of this review are Python programs of the standard library alone: check
# that they compile. The programs under test come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
test -d ../target/deps/balsamspoke_adapter
python3 -c '
import pathlib
for folder in ("harness-3", "11", "12", "13", "14", "15"):
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        compile(path.read_text(), str(path), "exec")
'
