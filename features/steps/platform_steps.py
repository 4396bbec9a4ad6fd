"""Steps on the platform's path."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections import Counter

import httpx
from behave import given, then, when
from stand_ins.fleet import DAEMONS_TOPIC, REGISTRY_TOPIC, PlatformPath

from dotterelgate_bench.fleet import wait_until

DAEMONS = ("front-1", "front-2")
DEPTH = 100_000
ENTRY = {
    "service": "stock",
    "address": "127.0.0.1:9",
    "zone": "north",
    "slots": 3,
    "state": "ready",
    "cold-left": 0,
    "seq": 1,
    "born": 1,
}
ODD_ENTRIES = {
    "very deep nesting": b'{"more": ' + b"[" * DEPTH + b"]" * DEPTH + b"}",
    "a number of slots too large": {"slots": 10**400},
    "a start too far away": {"born": 10**400},
    "a time too long": {"cold-left": 10.0**300},
    "a port out of range": {"address": "127.0.0.1:99999"},
    "no port": {"address": "127.0.0.1:0"},
    "a name for an address": {"address": "somewhere:80"},
    "bytes that are no text": b"\xff\xfe\x00",
}
# Slow, but well within a caller's time limit.
SLOW_SECONDS = 0.08


def start(context, servers):
    context.platform = PlatformPath()
    context.cleanups.append(context.platform.stop)
    context.platform.start(servers=servers)


@given("the platform with {servers:d} backend servers and 2 daemons")
def start_platform(context, servers):
    start(context, servers)
    context.platform.publish(10, "/orders/")
    for name in DAEMONS:
        context.platform.start_daemon(name)
    for name in DAEMONS:
        context.platform.wait_ready(name)


@given("the platform with {servers:d} backend servers and no configuration")
def start_without(context, servers):
    start(context, servers)


@when("a request goes through front-1")
def send(context):
    context.answer = context.platform.request("front-1", "/orders/a?b=c", "0123abcd")


@then("a registered backend server ran it once")
def check_ran(context):
    assert context.answer.status_code == 200, context.answer
    assert context.answer.headers["server-stamp"], context.answer.headers
    assert context.answer.headers["request-id"] == "0123abcd"
    assert context.answer.text.endswith("POST /orders/a?b=c"), context.answer.text
    ran = [each for ids in context.platform.read_ledgers().values() for each in ids]
    assert ran.count("0123abcd") == 1, ran


@then("the log of front-1 shows where it was sent and how it ended")
def check_log(context):
    def list_events():
        lines = context.platform.read_log("front-1")
        return [line["event"] for line in lines if line.get("request") == "0123abcd"]

    wait_until(lambda: len(list_events()) >= 2, seconds=3, what="the lines are written")
    events = list_events()
    assert any(event.startswith("binding: sent to i-") for event in events), events
    assert any(event.startswith("gateway: answered by i-") for event in events), events


@when("version {version:d} with the prefix {prefix} is written")
def publish(context, version, prefix):
    context.platform.publish(version, prefix)


@when("bytes that are not a configuration are written")
def publish_broken(context):
    context.platform.write(b'{"config-version": 99, "routes": 5}')
    context.platform.write(b"\xff\x00")


@when("{seconds:d} seconds go by")
def wait(context, seconds):
    time.sleep(seconds)


@then("both daemons serve {path} within {seconds:d} seconds")
def check_in_force(context, path, seconds):
    for name in DAEMONS:
        context.platform.wait_for_status(name, path, 200, seconds)


@then("both daemons still serve {path} and answer {other} with 404")
def check_still(context, path, other):
    for number, name in enumerate(DAEMONS):
        assert context.platform.request(name, path, f"s{number}").status_code == 200
        assert context.platform.request(name, other, f"o{number}").status_code == 404


@when("the store is down for {seconds:d} seconds")
def take_down(context, seconds):
    context.platform.ask_store("/faults", {"down": True})
    context.statuses = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        request_id = f"d{time.monotonic_ns()}"
        answer = context.platform.request("front-1", "/orders/x", request_id)
        context.statuses.append(answer.status_code)
    context.platform.ask_store("/faults", {"down": False})


@when("the store answers no call for {seconds:g} seconds")
def silence_store(context, seconds):
    context.platform.ask_store("/faults", {"silent": True})
    time.sleep(seconds)
    context.platform.ask_store("/faults", {"silent": False})


@then("requests were served all the while")
def check_served(context):
    assert len(context.statuses) > 10 and set(context.statuses) == {200}, context.statuses


@when("the store forgets its history and version {version:d} with the prefix {prefix} is written")
def forget(context, version, prefix):
    context.platform.ask_store("/forget", {})
    context.platform.publish(version, prefix)


@when("{server} reports that it is leaving")
def drain(context, server):
    context.platform.drain(server)


@then("{server} runs none of {count:d} requests")
def check_not_run(context, server, count):
    before = len(context.platform.read_ledgers()[server])
    for number in range(count):
        answer = context.platform.request(DAEMONS[number % 2], "/orders/x", f"l{number}")
        assert answer.status_code == 200, answer
    assert len(context.platform.read_ledgers()[server]) == before


@when("front-1 starts")
def start_one(context):
    context.platform.start_daemon("front-1")


@then("a request through front-1 is answered 503 and front-1 is not ready")
def check_unready(context):
    def answers() -> bool:
        try:
            answer = context.platform.request("front-1", "/orders/x", "u1")
        except OSError:
            return False
        except Exception as error:
            assert "connect" in str(error).lower(), error
            return False
        return answer.status_code == 503

    wait_until(answers, seconds=10, what="front-1 answers 503")
    assert not context.platform.is_ready("front-1")


@when("front-1 is killed and started again with a slow store while requests arrive without pause")
def restart_under_load(context):
    context.statuses = []
    context.platform.ask_store("/faults", {"slow_seconds": SLOW_SECONDS})
    stopping = threading.Event()

    def call(worker):
        number = 0
        while not stopping.is_set():
            number += 1
            try:
                answer = context.platform.request("front-1", "/orders/x", f"r{worker}-{number}")
                context.statuses.append(answer.status_code)
            except httpx.TransportError:
                # No daemon accepted it, or the kill cut it off.
                time.sleep(0.005)

    workers = [threading.Thread(target=call, args=(n,)) for n in range(4)]
    for worker in workers:
        worker.start()
    try:
        for _ in range(3):
            context.platform.daemons["front-1"].kill()
            context.platform.daemons["front-1"].start()
            context.platform.wait_ready("front-1")
    finally:
        stopping.set()
        for worker in workers:
            worker.join()


@then("each request that front-1 accepted was answered by a backend server")
def check_all_served(context):
    assert len(context.statuses) > 0
    assert set(context.statuses) == {200}, Counter(context.statuses)


@when("front-1 starts with a broken address")
def start_broken(context):
    platform = context.platform
    platform.start_daemon("front-1")
    platform.daemons["front-1"].kill()
    settings = {**platform.settings["front-1"], "store": "nowhere"}
    (platform.folder / "front-1.json").write_text(json.dumps(settings), encoding="utf-8")
    platform.daemons["front-1"].start()


@then("it ends and names the file, the key and the value")
def check_named(context):
    process = context.platform.daemons["front-1"]
    wait_until(process.has_ended, seconds=10, what="front-1 ends")
    text = process.log_path.read_text(encoding="utf-8")
    assert "front-1.json: store: must be an IPv4 number and a port" in text, text
    assert "'nowhere'" in text, text


@when("front-1 starts while an outgoing connection holds its port")
def start_beside_connection(context):
    platform = context.platform
    platform.start_daemon("front-1")
    platform.daemons["front-1"].kill()
    context.address = platform.settings["front-1"]["callers"]
    host, port = context.address.split(":")
    store_host, store_port = platform.store.split(":")
    holder = socket.create_connection(
        (store_host, int(store_port)), source_address=(host, int(port))
    )
    context.cleanups.append(holder.close)
    platform.daemons["front-1"].start()


@then("it ends and names the address that is in use")
def check_address_named(context):
    process = context.platform.daemons["front-1"]
    wait_until(process.has_ended, seconds=10, what="front-1 ends")
    text = process.log_path.read_text(encoding="utf-8")
    assert f"{context.address}: Address already in use" in text, text


@when("the store goes down and front-1 is killed and started again")
def restart_without_store(context):
    platform = context.platform
    platform.ask_store("/faults", {"down": True})
    platform.daemons["front-1"].kill()
    platform.daemons["front-1"].start()


@then("front-1 serves within {seconds:g} s while the store is down")
def check_served_without_store(context, seconds):
    platform = context.platform
    wait_until(lambda: platform.is_ready("front-1"), seconds=seconds, what="front-1 is ready")
    assert platform.request("front-1", "/orders/x", "without-store").status_code == 200


@when("another writer leaves an entry with {what}")
def leave_entry(context, what):
    odd = ODD_ENTRIES[what]
    value = json.dumps({**ENTRY, **odd}).encode("ascii") if isinstance(odd, dict) else odd
    context.platform.write_entry(REGISTRY_TOPIC, "i-odd", value)
    time.sleep(1.0)


@when("another writer leaves the address {address} among those of the daemons")
def leave_address(context, address):
    context.platform.write_entry(DAEMONS_TOPIC, "a-daemon", address.encode("ascii"))


@when("{count:d} requests go through each daemon")
def send_through_each(context, count):
    context.statuses = [
        context.platform.request(name, "/orders/x", f"odd-{name}-{number}").status_code
        for name in DAEMONS
        for number in range(count)
    ]


@then("all were answered by a backend server")
def check_all_answered(context):
    assert set(context.statuses) == {200}, context.statuses


@when("front-1 is started again")
def start_again(context):
    context.platform.daemons["front-1"].kill()
    context.platform.daemons["front-1"].start()
    context.platform.wait_ready("front-1")


@then("a request through front-1 is served and both daemons still run")
def check_running(context):
    assert context.platform.request("front-1", "/orders/x", "after").status_code == 200
    time.sleep(1.0)
    assert not any(context.platform.daemons[name].has_ended() for name in DAEMONS)


@when("front-3 starts")
def start_third(context):
    context.platform.start_daemon("front-3")
    context.platform.wait_ready("front-3")


@then("the other daemons know front-3 within {seconds:g} s")
def check_known(context, seconds):
    def is_known() -> bool:
        addresses = [context.platform.settings[name]["endpoint"] for name in DAEMONS]
        statuses = [httpx.get(f"http://{address}/status").json() for address in addresses]
        return all("front-3" in each["peers"] for each in statuses)

    wait_until(is_known, seconds=seconds, what="front-3 is known")
