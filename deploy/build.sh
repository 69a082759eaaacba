#!/bin/sh
# Installs the pinned libraries and copies the node's packages to target/deps.
set -eu
deps=target/deps
if [ ! -e "$deps/.installed" ] || [ deploy/requirements.txt -nt "$deps/.installed" ]; then
  python3 -m pip install -q -U --target "$deps" -r deploy/requirements.txt
  touch "$deps/.installed"
fi
rm -rf "$deps/catkintiller_relay" "$deps/catkintiller_platform"
cp -R packages/catkintiller-relay/src/catkintiller_relay "$deps/"
cp -R platform/src/catkintiller_platform "$deps/"
python3 -m compileall -q "$deps/catkintiller_relay" "$deps/catkintiller_platform"
