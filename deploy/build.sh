#!/bin/sh
# Put the libraries and the package, compiled, where the platform starts them.
set -eu
deps=target/deps
stamp=target/requirements.stamp
if ! cmp -s deploy/requirements.txt "$stamp"; then
  rm -rf "$deps"
  python3 -m pip install --quiet --target "$deps" -r deploy/requirements.txt
  cp deploy/requirements.txt "$stamp"
fi
rm -rf "$deps/linnetwood"
cp -R src/linnetwood "$deps/linnetwood"
python3 -m compileall -q "$deps"
