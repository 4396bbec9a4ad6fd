"""Steps on explanations of where a request would go."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from behave import given, then, when
from subjects.explanations import ACTIONS, ExplainedDaemon, draw_daemon

BIN = Path(sys.executable).parent


@given("a daemon with the servers i-1 and i-2 in north and i-3 in south")
def start_daemon(context):
    context.daemon = ExplainedDaemon()


@when("a peer owns the queue and a read is explained")
def explain_beside_owner(context):
    daemon = context.daemon
    for number in range(2, 9):
        daemon.receive_heartbeat(f"front-{number}")
    daemon.now += 0.3
    daemon.tick()
    context.explained = daemon.explain()


@when("{what} and a read is explained")
def explain(context, what):
    ACTIONS[what](context.daemon)
    context.explained = context.daemon.explain()


@then("the result is {result}, and of {server} it says: {obstacle}")
def check_explanation(context, result, server, obstacle):
    explained = context.explained
    if result.startswith("refused"):
        assert explained.refusal.code.name == result.split()[1], explained
    elif result.endswith("decides"):
        assert explained.peer.startswith("front-") and explained.server, explained
    else:
        assert bool(explained.server) == (result == "sent") and not explained.refusal, explained
    found = {each.name: each.obstacles for each in explained.candidates}
    if server == "none":
        assert not found, found
    elif obstacle == "nothing":
        assert not found[server], found
    else:
        assert any(obstacle in each for each in found[server]), found
        assert explained.server != server, explained


@given("{count:d} random states of a daemon in each of which a read is explained")
def explain_random(context, count):
    context.cases = []
    for seed in range(count):
        daemon = draw_daemon(seed)
        before = daemon.read_state()
        context.cases.append((daemon, before, daemon.explain()))


@then("the daemon's state is the same after it")
def check_no_effect(context):
    assert all(daemon.read_state() == before for daemon, before, _ in context.cases)


@then(
    "the same read is then sent to a server that the explanation had no obstacle for, "
    "or refused with its code"
)
def check_decision(context):
    for daemon, _, explained in context.cases:
        server, code = daemon.decide()
        open_servers = [each.name for each in explained.candidates if not each.obstacles]
        assert code == (explained.refusal.code.name if explained.refusal else None), explained
        assert bool(server) == bool(explained.server), (server, explained)
        assert server is None or server in open_servers, (server, explained)


@when("dotterelgate explains a request of the organisation one at front-1")
def run_command(context):
    path = context.platform.folder / "credential"
    path.write_text("key-one\n", encoding="utf-8")
    endpoint = context.platform.settings["front-1"]["endpoint"]
    arguments = ["POST", "http://orders.example/orders/a", "--at", endpoint]
    arguments += ["--credential-file", str(path)]
    context.shown, context.document = (
        subprocess.run(
            [BIN / "dotterelgate", "explain", *arguments, *more],
            capture_output=True,
            text=True,
            timeout=30,
            check=True,
        ).stdout
        for more in ([], ["--json"])
    )


@then("it shows the route, the organisation and both servers, one of them chosen")
def check_shown(context):
    for each in ("service stock, route r", "organisation one", "i-1", "i-2", "chosen"):
        assert each in context.shown, context.shown


@then("the JSON document has the same")
def check_document(context):
    document = json.loads(context.document)
    assert document["organisation"]["name"] == "one", document
    assert {each["name"] for each in document["candidates"]} == {"i-1", "i-2"}, document
    assert document["server"] in ("i-1", "i-2"), document


@then(
    "nothing was sent, and no credential stands in a log, "
    "in the metrics or in the status of a daemon"
)
def check_nothing_sent(context):
    assert not any(context.platform.read_ledgers().values())
    context.execute_steps(
        "Then no credential stands in a log, in the metrics or in the status of a daemon"
    )
