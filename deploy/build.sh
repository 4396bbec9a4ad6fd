#!/bin/sh
# Installs what the daemon needs at run time below target/deps.
set -eu
stamp=target/requirements.txt
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check \
        --target target/deps -r deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
for package in core border daemon; do
    name="dotterelgate_$package"
    rm -rf "target/deps/$name"
    cp -R "packages/dotterelgate-$package/src/$name" "target/deps/$name"
done
python3 -m compileall -q target/deps
