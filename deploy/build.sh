#!/bin/sh
# Put the libraries and the package, compiled, where the platform starts them.
# What is there already and the same is left alone: processes may be starting.
set -eu
deps=target/deps
stamp=target/requirements.stamp
if ! cmp -s deploy/requirements.txt "$stamp"; then
  rm -rf "$deps"
  python3 -m pip install --quiet --target "$deps" -r deploy/requirements.txt
  python3 -m compileall -q "$deps"
  cp deploy/requirements.txt "$stamp"
fi
if ! diff -rq -x __pycache__ src/linnetwood "$deps/linnetwood" >/dev/null 2>&1
then
  rm -rf target/fresh
  cp -R src/linnetwood target/fresh
  python3 -m compileall -q -s target/fresh -p "$deps/linnetwood" target/fresh
  rm -rf "$deps/linnetwood"
  mv target/fresh "$deps/linnetwood"
fi
