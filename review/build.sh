#!/bin/sh
# Builds the stand-ins of the scripts: plain Python without dependencies.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common [1-5]
