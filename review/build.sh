#!/bin/sh
# The stand-ins are Python without dependencies: compiling checks them.
cd "$(dirname "$0")" && PYTHONPYCACHEPREFIX="$(mktemp -d)" python3 -m compileall -q standins [1-5]
