#!/bin/sh
# Regenerate the committed Thrift code; needs the Thrift compiler (Debian: thrift-compiler).
set -eu
cd "$(dirname "$0")/.."
rm -rf src/linnetwood/gen
for idl in src/linnetwood/idl/linnetwood.thrift src/linnetwood/idl/wire.thrift; do
  thrift -out src --gen py:slots "$idl"
done
touch src/linnetwood/gen/__init__.py
rm -f src/__init__.py
rm -f src/linnetwood/gen/*/*-remote
python tools/stubs.py
