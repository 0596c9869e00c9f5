#!/bin/sh
# The stand-ins of the cases 6 to 10 use Python's standard library only: nothing is built.
# Checks that they can be loaded, and that the build of the deploy file has been run.
cd "$(dirname "$0")/.." || exit 1
python3 -B -c 'import sys; sys.path.insert(0, "review/lib2"); import fleet' || exit 1
[ -d target/deps/uvicorn ] || {
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 1
}
