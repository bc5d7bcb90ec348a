#!/usr/bin/env bash
# The stand-ins are plain Python of the standard library: building compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common [1-5]
