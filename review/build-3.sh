#!/bin/sh
# Builds what the scripts in review/11 to review/15 start beside the build of the deploy file:
# their stand-ins are Python of the standard library, so this only compiles them.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q rig_3 1[1-5]
