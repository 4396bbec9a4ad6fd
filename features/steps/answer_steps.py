"""Steps on answers and refusals that callers receive."""

from __future__ import annotations

import json
import random
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import httpx
from behave import given, then, when
from subjects.exchange import BODY, HEAD, ExchangeSubject

SEED = 42
ALWAYS = 1000
FLAWS = {
    "two lengths": b"POST /orders/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
    b"Content-Length: 3\r\n\r\nab",
    "a length and chunked": b"POST /orders/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a space before a colon": b"GET /stock/1 HTTP/1.1\r\nHost: a\r\nX : b\r\n\r\n",
    "a bare line feed in a header": b"GET /stock/1 HTTP/1.1\r\nHost: a\nX: b\r\n\r\n",
    "no host": b"GET /stock/1 HTTP/1.1\r\n\r\n",
    "two hosts": b"GET /stock/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "a negative length": b"POST /orders/1 HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
    "an over-long head": b"GET /stock/1 HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 70_000,
    "an unknown transfer coding": b"POST /orders/1 HTTP/1.1\r\nHost: a\r\n"
    b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "an upgrade": b"GET /stock/1 HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\n"
    b"Upgrade: websocket\r\n\r\n",
    "a time limit that is no number": b"GET /stock/1 HTTP/1.1\r\nHost: a\r\n"
    b"Request-Timeout-Ms: soon\r\n\r\n",
}


def set_faults(system, **faults):
    for process in system.fleet.servers.values():
        system.fleet.set_faults(process, **faults)


def exchange_raw(address, data, *, seconds=3.0):
    """Send raw bytes and read until the connection ends or stays silent."""
    host, port = address.split(":")
    received = b""
    with socket.create_connection((host, int(port)), timeout=seconds) as sock:
        sock.sendall(data)
        sock.settimeout(seconds)
        try:
            while part := sock.recv(65_536):
                received += part
        except (TimeoutError, ConnectionResetError):
            pass
    return received


@when("every backend server misbehaves once with {fault}")
def misbehave_once(context, fault):
    set_faults(context.system, **{fault: 1})


@when("every backend server misbehaves always with {fault}")
def misbehave_always(context, fault):
    set_faults(context.system, **{fault: ALWAYS})


@when("{count:d} reads go through all daemons one after the other")
def read_in_turn(context, count):
    system = context.system
    names = list(system.fleet.daemons)
    context.reads = []
    for number in range(count):
        headers = {"Request-Id": f"id-{number}"}
        name = names[number % len(names)]
        context.reads.append(
            (number, system.request(name, "GET", "/stock/1?ms=2", headers=headers))
        )


@when("a write without a key goes through {name}")
def write_once(context, name):
    context.answer = context.system.write(name, None)


@then("its outcome is unknown and it ran once")
def check_unknown(context):
    assert context.answer.outcome == "unknown", context.answer
    assert len(context.system.list_ran()) == 1, context.system.list_ran()


@when("{count:d} reads with short time limits and slow answers go through all daemons at once")
def read_late(context, count):
    rng = random.Random(SEED)
    system = context.system
    names = list(system.fleet.daemons)
    plans = [(number, rng.randint(1, 120), rng.randint(20, 90)) for number in range(count)]

    def read(plan):
        number, milliseconds, limit = plan
        headers = {"Request-Id": f"id-{number}", "Request-Timeout-Ms": str(limit)}
        path = f"/stock/{number}?ms={milliseconds}"
        return number, system.request(names[number % len(names)], "GET", path, headers=headers)

    with ThreadPoolExecutor(12) as pool:
        context.reads = list(pool.map(read, plans))


@then("every complete answer belongs to its own request")
def check_own(context):
    served = [(number, answer) for number, answer in context.reads if answer.status == 200]
    assert served
    for number, answer in served:
        assert json.loads(answer.body)["id"] == f"id-{number}", (number, answer)


@then("some reads were refused because their time limit passed")
def check_some_late(context):
    statuses = {answer.status for _, answer in context.reads}
    assert 504 in statuses, statuses


@when("a backend server is killed in the middle of a {size:d} byte answer")
def kill_in_answer(context, size):
    system = context.system
    address = system.fleet.daemons["entry-1"].address
    context.cut = None
    url = f"http://{address}/stock/1?ms=1&bytes={size}"
    with httpx.stream("GET", url, trust_env=False, timeout=10) as answer:
        assert answer.status_code == 200
        try:
            for number, _ in enumerate(answer.iter_raw()):
                if number == 0:
                    system.fleet.servers["server-1"].kill()
            context.cut = False
        except httpx.RemoteProtocolError:
            context.cut = True


@then("the caller sees that the answer was cut off")
def check_cut(context):
    assert context.cut is True


@when("the daemon that owns the queue is killed while it holds a read")
def kill_owner(context):
    system = context.system
    explained = system.fleet.client.get(
        f"http://{system.fleet.daemons['entry-1'].endpoint}/explain?path=/stock/1"
    ).json()
    owner = explained["owner"]
    other = next(name for name in system.fleet.daemons if name != owner)
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(system.request(other, "GET", "/stock/1?ms=400"))
    )
    thread.start()
    system.wait_for_ran(1)
    system.fleet.daemons[owner].kill()
    thread.join()
    context.answer = answers[0]


@then("the read gets a complete answer")
def check_answered(context):
    assert context.answer.status == 200, context.answer


@when("every backend server sheds")
def shed(context):
    set_faults(context.system, shed=True)


@when("every backend server is killed")
def kill_servers(context):
    for process in context.system.fleet.servers.values():
        process.kill()


@then("nothing ran")
def check_nothing(context):
    assert context.system.list_ran() == []


@when("a body of {sent:d} bytes is sent and {answered:d} bytes are answered through {name}")
def stream_large(context, sent, answered, name):
    rng = random.Random(SEED)
    context.sent = sent
    context.answered = answered

    def produce():
        remaining = sent
        while remaining:
            part = rng.randbytes(min(remaining, 50_000))
            remaining -= len(part)
            yield part

    context.answer = context.system.request(
        name, "POST", f"/stock/big?ms=1&bytes={answered}", content=produce(), timeout=30
    )


@then("the backend server and the caller received every byte")
def check_large(context):
    assert context.answer.status == 200, (context.answer.status, context.answer.error)
    assert len(context.answer.body) == context.answered
    document = json.loads(context.answer.body.rstrip(b"."))
    assert document["body_bytes"] == context.sent, document


@when("a HEAD, a GET and a GET are sent at once on one connection")
def pipeline(context):
    address = context.system.fleet.daemons["entry-1"].address
    data = b"".join(
        b"%s /stock/%d?ms=%d HTTP/1.1\r\nHost: a\r\nRequest-Id: p%d\r\n%s\r\n" % each
        for each in (
            (b"HEAD", 0, 30, 0, b""),
            (b"GET", 1, 20, 1, b""),
            (b"GET", 2, 1, 2, b"Connection: close\r\n"),
        )
    )
    context.received = exchange_raw(address, data)


@then("three answers arrive in order and the first has no body")
def check_pipeline(context):
    assert context.received.count(b"HTTP/1.1 200") == 3, context.received
    first, second, third = context.received.split(b"HTTP/1.1 200")[1:]
    assert first.endswith(b"\r\n\r\n")
    assert b'"id": "p1"' in second
    assert b'"id": "p2"' in third


@when("a caller disconnects while its read waits for a slot")
def disconnect(context):
    system = context.system
    address = system.fleet.daemons["entry-1"].address
    fillers = [system.write_in_background("entry-1", None, path="/orders/1?ms=600") for _ in "123"]
    system.wait_for_ran(len(fillers))
    host, port = address.split(":")
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(b"GET /stock/left?ms=1 HTTP/1.1\r\nHost: a\r\n\r\n")
        time.sleep(0.1)
    system.join_background()
    time.sleep(0.1)


@then("the read never ran")
def check_never_ran(context):
    assert "/stock/left" not in [entry["path"] for entry in context.system.list_ran()]


@when("raw bytes with {flaw} are sent")
def send_flawed(context, flaw):
    address = context.system.fleet.daemons["entry-1"].address
    context.received = exchange_raw(address, FLAWS[flaw], seconds=2.0)


@then("the status is {status:d} and nothing ran")
def check_flawed(context, status):
    assert context.received.startswith(b"HTTP/1.1 %d" % status), context.received[:300]
    assert context.received.count(b"HTTP/1.1") == 1, context.received
    assert context.system.list_ran() == []


@given("an exchange whose connection ends after each number of bytes of its request")
def end_everywhere(context):
    subject = ExchangeSubject()
    total = len(HEAD) + len(BODY)
    context.sent_by_size = {size: subject.end_after(size) for size in range(total + 1)}


@then("it reports the request as sent exactly when the complete head was sent")
def check_reported_sent(context):
    for size, sent in context.sent_by_size.items():
        assert sent == (size >= len(HEAD)), (size, sent)
