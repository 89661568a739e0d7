#!/bin/sh
# The stand-ins are Python without dependencies: compiling checks them.
cd "$(dirname "$0")" || exit 1
cache=$(mktemp -d)
PYTHONPYCACHEPREFIX="$cache" python3 -m compileall -q .
result=$?
rm -rf "$cache"
exit $result
