#!/bin/sh
# Compiles the stand-ins of the cases; they need nothing but Python's standard library.
set -e
cd "$(dirname "$0")"
exec python3 -m compileall -q standins 1 2 3 4 5
