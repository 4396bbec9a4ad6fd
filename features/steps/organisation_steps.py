"""Steps on callers' organisations."""

from __future__ import annotations

import json
import time

import httpx
from behave import given, then, when
from subjects.organisations import (
    HOST,
    IdentifiedCalls,
    RevokedCall,
    ask_configuration,
    encode_document,
)

from dotterelgate_core.messages import Decision
from dotterelgate_platform.credentials import replace_keys

PAUSE_SECONDS = 0.1
TICKS_PER_SECOND = 50
ORGANISATIONS = [{"name": "one", "api-keys": ["key-one"]}, {"name": "two", "api-keys": ["key-two"]}]
ODD_CREDENTIALS = {
    "none": {},
    "empty": {"credential": ""},
    "unknown": {"credential": "key-three"},
    "longer": {"credential": "key-one1"},
    "odd bytes": {"credential": "key~{}| \t;"},
    "two": {"credential": "key-one, key-two"},
    "long": {"credential": "k" * 12_000},
}


@given("a stored configuration with {what}")
def read(context, what):
    context.document = encode_document(what)
    context.calls = IdentifiedCalls()
    context.calls.read_document(context.document)


@then("a request to {path} with the credential {credential} is {outcome}")
def check_outcome(context, path, credential, outcome):
    context.sent = (path, credential)
    assert context.calls.send(path, credential) == outcome


@then("{count:d} problems are named")
def check_problems(context, count):
    lines = [each for each in context.calls.lines if isinstance(each, Decision)]
    named = [each for each in lines if each.sentence.startswith("out of service: ")]
    assert len(context.calls.problems) == len(named) == count, context.calls.problems


@then(
    "a daemon that gets it from a peer does the same, {outcome} and {count:d} problems, "
    "without a key"
)
def check_peer(context, outcome, count):
    document = replace_keys(context.document)
    assert b"key-" not in document.replace(b"api-key", b"") and document == replace_keys(document)
    context.calls = IdentifiedCalls()
    context.calls.read_document(document)
    assert context.calls.send(*context.sent) == outcome
    check_problems(context, count)


@given("a request with the credential key-two that {state}")
def send_revoked(context, state):
    context.calls = RevokedCall()
    context.calls.bring_into(state)


@when("a configuration without key-two comes into force {event}")
def revoke(context, event):
    context.calls.revoke(event)


@then("that request ends as {outcome}")
def check_revoked(context, outcome):
    assert context.calls.describe() == outcome


@then("a further request with the credential {credential} is {outcome}")
def check_further(context, credential, outcome):
    assert context.calls.send("/orders/1", credential) == outcome


@given("a daemon that has read the store {age:g} s ago")
def let_age(context, age):
    read(context, "nothing unusual")
    context.calls.daemon.now += age


@given("a daemon that was suspended for {pause:g} s and resumed {since:g} s ago")
def suspend(context, pause, since):
    read(context, "nothing unusual")
    daemon = context.calls.daemon
    daemon.tick()
    daemon.now += pause
    # The first event after the suspension is a request or a tick.
    for _ in range(round(since * TICKS_PER_SECOND)):
        daemon.tick()
        daemon.now += 1.0 / TICKS_PER_SECOND
    context.calls.read_store()


@given("the platform with organisations and 2 daemons")
def start(context):
    context.execute_steps("Given the platform with 2 backend servers and no configuration")
    context.platform.publish(10, "/orders/", tenants=ORGANISATIONS)
    for name in ("front-1", "front-2"):
        context.platform.start_daemon(name)
    for name in ("front-1", "front-2"):
        context.platform.wait_ready(name)


@when("a request with the credential key-one, which claims to be of two, goes through front-1")
def send(context):
    more = {"credential": "key-one", "tenant-id": "two"}
    answer = context.platform.request("front-1", "/orders/a", "known", more)
    assert answer.status_code == 200, answer


@then("the backend server was sent the organisation one and no credential")
def check_sent(context):
    assert context.platform.read_callers()["known"] == ["one", None]


@when("requests with odd credentials go through front-1")
def send_odd(context):
    context.answers = {
        name: context.platform.request("front-1", "/orders/a", name, more).status_code
        for name, more in ODD_CREDENTIALS.items()
    }


@then("each is answered 401 and none ran")
def check_refused(context):
    assert set(context.answers.values()) == {401}, context.answers
    ran = context.platform.read_callers()
    assert not set(ODD_CREDENTIALS) & set(ran), ran


@then("no credential stands in a log, in the metrics or in the status of a daemon")
def check_hidden(context):
    for name, settings in context.platform.settings.items():
        texts = [
            context.platform.daemons[name].log_path.read_text(encoding="utf-8"),
            httpx.get(f"http://{settings['metrics']}/metrics").text,
            httpx.get(f"http://{settings['endpoint']}/status").text,
        ]
        assert not any("key-" in text for text in texts), name


@when("a peer asks {name} for its configuration")
def ask(context, name):
    context.document = ask_configuration(context.platform.settings[name]["peers"])


@then("no credential stands in what it sends, and routes and services are as written")
def check_document(context):
    assert not any(each["api-keys"][0].encode() in context.document for each in ORGANISATIONS)
    sent, written = (
        {key: value for key, value in json.loads(each).items() if key != "tenants"}
        for each in (context.document, context.platform.written)
    )
    assert sent == written


@when("callers with key-two keep a connection open to each daemon")
def open_connections(context):
    context.callers = {}
    for name, settings in context.platform.settings.items():
        headers = {"host": HOST, "credential": "key-two", "request-deadline-ms": "2000"}
        client = httpx.Client(base_url=f"http://{settings['callers']}", headers=headers)
        context.cleanups.append(client.close)
        context.callers[name] = client
        assert client.post("/orders/a", headers={"request-id": f"o-{name}"}).status_code == 200


@when("the operator removes key-two while the store is silent for {seconds:d} s")
def remove_key(context, seconds):
    context.platform.publish(11, "/orders/", tenants=ORGANISATIONS[:1])
    context.removed_at = time.monotonic()
    context.platform.ask_store("/faults", {"silent": True})
    time.sleep(seconds)
    context.platform.ask_store("/faults", {"silent": False})


@then("both callers are answered 401 within {limit:d} s, and never 200 after that")
def check_removed(context, limit):
    statuses = {name: [] for name in context.callers}
    while time.monotonic() - context.removed_at < limit + PAUSE_SECONDS:
        is_late = time.monotonic() - context.removed_at > limit
        for name, client in context.callers.items():
            headers = {"request-id": f"{name}-{time.monotonic_ns()}"}
            status = client.post("/orders/a", headers=headers).status_code
            assert not is_late or status == 401, (name, status)
            statuses[name].append(status)
        time.sleep(PAUSE_SECONDS)
    assert all(each == sorted(each) and each[-1] == 401 for each in statuses.values()), statuses
