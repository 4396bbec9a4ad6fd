#!/bin/sh
# Checks and compiles what the scripts of review/6 to review/10 start beside the daemons: the
# stand-ins in review/rig_2 and the cases. They use nothing but Python's own library.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
test -d target/deps/dotterelgate_daemon
python3 -m compileall -q review/rig_2
for case in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$case/case.py" ]; then
        python3 -m py_compile "$case/case.py"
    fi
done
