"""Steps on requests that callers send ahead."""

from __future__ import annotations

import socket
import time

from behave import given, then, when
from steps.answer_steps import exchange_raw
from subjects.caller_connections import encode_request
from subjects.pipelining import PipelinedCaller, PipelinedDecisions


@given("the unanswered requests {letters} of one connection")
def set_requests(context, letters):
    context.decisions = PipelinedDecisions(letters)


@when("{held:d} bytes of responses wait for their turn")
def hold(context, held):
    context.startable = context.decisions.list_startable(held)


@then("{places} may start, in this order and before a response")
def check_startable(context, places):
    assert (", ".join(map(str, context.startable)) or "none") == places, context.startable


@when("a caller sends {letters} at once, and servers answer in the order {order}")
def send_ahead(context, letters, order):
    context.caller = PipelinedCaller(context.subject)
    context.caller.send(letters)
    context.count = len(letters)
    context.passed_on = len(context.caller.servers)
    for place in order.split(", "):
        context.caller.answer(int(place))


@then("{count:d} requests were passed on at first")
def check_passed_on(context, count):
    assert context.passed_on == count, context.passed_on


@then("the responses arrive complete in the order of the requests")
def check_order(context):
    expected = list(range(1, context.count + 1))
    assert context.caller.list_answered() == expected, context.caller.list_answered()
    assert not context.subject.gateway.pending


@when("a caller sends a read, one that is refused and a read at once")
def send_refused_between(context):
    context.caller = PipelinedCaller(context.subject)
    reads = [encode_request(method="GET", path=f"/read/{place}") for place in (1, 3)]
    refused = encode_request(method="GET", path="/read/2", Request_Timeout_Ms="soon")
    context.caller.stream.receive(reads[0] + refused + reads[1])
    context.caller.establish()


@then("the two reads are passed on, and nothing is sent before the first is answered")
def check_two_passed_on(context):
    assert sorted(context.caller.servers) == [1, 3]
    context.caller.answer(3)
    assert not context.caller.stream.written
    context.caller.answer(1)


@then("the responses are 200, 400 and 200")
def check_statuses(context):
    parts = bytes(context.caller.stream.written).split(b"HTTP/1.1 ")[1:]
    assert [part[:3] for part in parts] == [b"200", b"400", b"200"], parts


@when("a caller sends {letters} at once and leaves")
def send_and_leave(context, letters):
    context.caller = PipelinedCaller(context.subject)
    context.caller.send(letters)
    context.servers = list(context.caller.servers.values())
    assert len(context.servers) == len(letters)
    context.caller.stream.reset()


@when("a caller sends rr at once, and the first response breaks off")
def break_first(context):
    context.caller = PipelinedCaller(context.subject)
    context.caller.send("rr")
    context.caller.answer(1, size=9000, sent=5000)
    context.caller.servers[1].reset()


@then("the caller has the first part and a closed connection")
def check_cut(context):
    written = context.caller.stream.written
    assert b"9001" in written.partition(b"\r\n\r\n")[0]
    assert written.endswith(bytes(100)), written[-100:]
    assert context.caller.stream.has_ended_sending


@then("the second request was cancelled, and nothing is kept of it")
def check_cancelled(context):
    assert not context.caller.servers[2].is_open
    assert not context.subject.gateway.pending
    assert context.subject.count_in_flight() == 0


@when("a caller sends rrw at once, and a planned stop begins")
def stop_ahead(context):
    context.caller = PipelinedCaller(context.subject)
    context.caller.send("rrw")
    context.subject.server.announce_stop()
    for place in (1, 2):
        context.caller.answer(place)


@then("both reads are answered, and the write is not passed on")
def check_stop(context):
    assert context.caller.list_answered() == [1, 2]
    assert sorted(context.caller.servers) == [1, 2]
    assert context.caller.stream.has_ended_sending
    assert not context.subject.gateway.pending


@when("a caller sends rrr at once, and the last two get {size:d} bytes first")
def answer_large_first(context, size):
    context.caller = PipelinedCaller(context.subject)
    context.caller.send("rrr")
    context.count = 3
    for place in (2, 3):
        context.caller.answer(place, size=size)


@then("at most {limit:d} bytes are held, and the servers are paused")
def check_held(context, limit):
    (connection,) = context.subject.context.connections
    assert 0 < connection._requests.response_bytes <= limit, connection._requests.response_bytes
    assert not context.caller.stream.written
    assert all(context.caller.servers[place].is_paused for place in (2, 3))


@when("the first is answered, and the servers are read on")
def answer_first(context):
    context.caller.answer(1)
    context.caller.read_on()


@when("a write with a limit of {limit:d} ms waits {seconds:f} s behind another")
def wait_behind(context, limit, seconds):
    context.caller = PipelinedCaller(context.subject)
    context.caller.send("ww", Request_Timeout_Ms=str(limit))
    time.sleep(seconds)
    context.caller.answer(1)


@then("the server is told at most {limit:d} ms")
def check_limit(context, limit):
    written = bytes(context.caller.servers[2 if 2 in context.caller.servers else 1].written)
    last = written.lower().rpartition(b"request-timeout-ms: ")[2]
    assert 0 < int(last.partition(b"\r\n")[0]) <= limit, last


@when("{count:d} reads of {milliseconds:d} ms are sent at once on one connection")
def send_to_daemon(context, count, milliseconds):
    address = context.system.fleet.daemons["entry-1"].address
    requests = [
        f"GET /stock/{number}?ms={milliseconds} HTTP/1.1\r\nHost: a\r\nRequest-Id: p{number}\r\n"
        for number in range(count)
    ]
    requests[-1] += "Connection: close\r\n"
    began = time.monotonic()
    context.received = exchange_raw(address, "\r\n".join([*requests, ""]).encode("ascii"))
    context.seconds = time.monotonic() - began
    context.count = count


@then("their responses arrive in order, in less than the {limit:f} s of one after the other")
def check_side_by_side(context, limit):
    parts = context.received.split(b"HTTP/1.1 200")[1:]
    assert len(parts) == context.count, context.received
    for number, part in enumerate(parts):
        assert b'"id": "p%d"' % number in part, (number, part)
    assert context.seconds < limit, context.seconds


@when(
    "{count:d} reads of {milliseconds:d} ms are sent at once on a connection "
    "that its caller then closes"
)
def send_and_close(context, count, milliseconds):
    host, port = context.system.fleet.daemons["entry-1"].address.split(":")
    request = f"GET /stock/1?ms={milliseconds} HTTP/1.1\r\nHost: a\r\n\r\n"
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(request.encode("ascii") * count)
        context.system.wait_for_ran(3)
    time.sleep(2 * milliseconds / 1000)


@then("only the {count:d} reads ran that had a slot")
def check_ran(context, count):
    ran = context.system.list_ran()
    assert len(ran) == count, ran


@when(
    "a caller sends {letters} at once, and a server sends {sent:d} of {size:d} bytes of the first"
)
@when("a caller sends {letters}, and a server sends {sent:d} of {size:d} bytes of the first")
def begin_large(context, letters, sent, size):
    context.caller = PipelinedCaller(context.subject)
    context.caller.send(letters)
    context.count = len(letters)
    context.rest = bytes(size - sent)
    context.caller.answer(1, size=size - 1, sent=sent)


@when("the server sends the rest")
def send_rest(context):
    context.caller.unread[1] = context.rest
    context.caller.read_on()
    for place in range(2, context.count + 1):
        context.caller.answer(place)


@when("the connection to that server breaks")
def break_download(context):
    context.caller.servers[1].reset()


@when("the caller sends a read behind it")
def send_behind(context):
    context.caller.stream.receive(encode_request(method="GET", path="/read/x2"))
    context.caller.establish()


@then("{count:d} requests were passed on so far")
def check_passed_on_so_far(context, count):
    assert len(context.caller.servers) == count, sorted(context.caller.servers)


@then("the caller has the first part and a closed connection, and nothing is kept of it")
def check_cut_first(context):
    assert context.caller.stream.has_ended_sending
    assert not context.subject.gateway.pending
    assert context.subject.count_in_flight() == 0
