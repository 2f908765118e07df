#!/bin/sh
# The stand-ins need no build: they are Python modules. This checks that they
# can be imported with the packages that the deploy file has installed.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1 python3 -c 'from review import harness'
