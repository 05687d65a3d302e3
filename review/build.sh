#!/bin/sh
# Builds the stand-ins of the cases: Python modules of the standard library.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins
