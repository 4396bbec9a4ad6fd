#!/bin/sh
# Checks that the stand-ins and scripts of the review compile; they need only the standard library.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
