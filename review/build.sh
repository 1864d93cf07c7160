#!/bin/sh
# Compile the stand-ins of the cases; they need nothing but Python itself.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
