#!/bin/sh
# Checks that all stand-ins that the scripts of this review start are there.
# They are Python and need nothing but what the build of the deploy file has
# put under target/.
set -e
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=.:target/deps python3 -c "import tests.standins.keyed_store"
PYTHONPATH=review/standins-2 python3 -c "import client, memory, worker, world"
