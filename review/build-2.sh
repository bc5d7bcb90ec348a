#!/bin/bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They need Python's
# standard library alone, so there is nothing to install; this compiles them.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/harness
