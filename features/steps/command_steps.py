"""Steps on the command lines."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from dotterelgate_core.codes import RESULT_CODES

ROOT = Path(__file__).parents[2]
BIN = Path(sys.executable).parent
SETTINGS = {
    "name": "entry-1",
    "zone": "zone-1",
    "callers": "127.0.0.1:8080",
    "peers": "127.0.0.1:7000",
    "endpoint": "127.0.0.1:9000",
    "log": "127.0.0.1:6000",
    "vms": "127.0.0.1:6001",
}
SETTING_CHANGES = {
    "nothing wrong": {},
    "a missing name": {"name": None},
    "a host name": {"callers": "localhost:80"},
    "a negative interval": {"log_poll": -1},
    "an unknown key": {"colour": "red"},
    "a lease of a day": {"lease_length": 86400},
}


# Sends SIGHUP to the process itself when it looks for the module, then runs the program.
SIGNAL_IMPORT = """
import os, runpy, signal, sys

class Finder:
    def find_spec(name, path=None, target=None):
        if name == "dotterelgate_border":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder)
sys.argv = sys.argv[1:]
sys.path.insert(0, os.path.dirname(sys.argv[0]))
runpy.run_path(sys.argv[0], run_name="__main__")
"""


def write_file(context, name, text):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.path = Path(folder.name) / name
    context.path.write_text(text, encoding="utf-8")


def run(context, *words):
    context.finished = subprocess.run(words, capture_output=True, text=True, check=False)


@given("settings with {mistake}")
def write_settings(context, mistake):
    changed = {**SETTINGS, **SETTING_CHANGES[mistake]}
    document = {key: value for key, value in changed.items() if value is not None}
    write_file(context, "settings.json", json.dumps(document))


@when("dotterelgated checks them")
def check_settings(context):
    run(context, BIN / "dotterelgated", "--settings", context.path, "--check-settings")


@when("{program} gets SIGHUP as it imports its first module of the project")
def signal_import(context, program):
    script = ROOT / program if program.endswith(".py") else BIN / program
    run(context, sys.executable, "-c", SIGNAL_IMPORT, script)


@then("it goes on to report that it has no settings")
def check_went_on(context):
    assert context.finished.returncode == 2, context.finished
    assert "ettings" in context.finished.stderr, context.finished


@given("a configuration with {mistake}")
def write_configuration(context, mistake):
    server = {"name": "a", "address": "127.0.0.1:1", "slots": 1, "connections": 1}
    service = {
        "name": "s",
        "servers": [server],
        "routes": [{"prefix": "/", "idempotent": True}],
    }
    if mistake == "no slots":
        server["slots"] = 0
    elif mistake == "an unknown policy":
        service["policy"] = "best"
    elif mistake == "a name used twice":
        service["servers"] = [server, server]
    text = "services: s" if mistake == "text for JSON" else json.dumps({"services": [service]})
    write_file(context, "configuration.json", text)


@when("dotterelgate checks it")
def check_configuration(context):
    run(context, BIN / "dotterelgate", "check", context.path)


@then("it exits with 2 and one line that names the file and {key}")
def check_refused(context, key):
    assert context.finished.returncode == 2, context.finished
    lines = context.finished.stderr.strip().splitlines()
    assert len(lines) == 1, lines
    assert str(context.path) in lines[0], lines
    assert key in lines[0], lines


@then("it exits with 0")
def check_accepted(context):
    assert context.finished.returncode == 0, context.finished


@given("the page {path}")
def read_page(context, path):
    context.page = (ROOT / path).read_text(encoding="utf-8")


@then("every result code is listed on it with its name, status, outcome and meaning")
def check_page(context):
    for code in RESULT_CODES:
        row = f"| {code.number} | {code.name} | {code.status} | {code.outcome.value} | "
        assert row + code.meaning in context.page, row


@then("numbers and names are unique")
def check_unique(context):
    assert len({code.number for code in RESULT_CODES}) == len(RESULT_CODES)
    assert len({code.name for code in RESULT_CODES}) == len(RESULT_CODES)
