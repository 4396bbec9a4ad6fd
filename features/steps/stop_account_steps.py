"""Steps on what a planned stop does with requests that wait."""

from __future__ import annotations

from behave import given, then, when
from subjects.caller_connections import encode_request
from subjects.stop_account import StoppingDaemon

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REQUESTS = {
    "a write at a server": encode_request(),
    "a read at a server": encode_request(path="/read/x"),
    "a write whose connection opens": encode_request(),
    "a write behind another": encode_request() + encode_request(path="/write/later"),
    "a head that is arriving": b"POST /write/x HTTP/1.1\r\nHost: h\r\n",
    "a body that is arriving": encode_request(size=900) + bytes(500),
    "a body that is passed on meanwhile": encode_request(size=9000) + bytes(5000),
}


@given("a daemon on a fake clock with a request that waits for {what}")
def start_waiting(context, what):
    context.subject = StoppingDaemon(what)


@when("the stop has lasted {seconds:g} s")
def pass_stop(context, seconds):
    context.subject.pass_time(seconds)
    context.subject.tick()


@when("the stop has reached its limit")
def reach_limit(context):
    context.subject.reach_limit()


@when("its server, {slowdown:g} times slower than usual, comes free {seconds:g} s into the stop")
def free_server(context, slowdown, seconds):
    context.subject.pass_time(seconds)
    context.subject.free_server(slowdown)


@when("a server {slowdown:g} times slower than usual is granted {seconds:g} s into the stop")
def grant(context, slowdown, seconds):
    context.subject.pass_time(seconds)
    context.subject.grant(slowdown)


@when("the owner denies it, since it stops")
def deny(context):
    context.subject.deny()


@when("its server fails {seconds:g} s into the stop")
def fail(context, seconds):
    context.subject.pass_time(seconds)
    context.subject.fail()


@then("its outcome is {outcome}, with nothing left of it")
def check_last(context, outcome):
    check_outcome(context, outcome)
    assert not context.subject.list_left(), context.subject.list_left()


@then("its outcome is {outcome}")
def check_outcome(context, outcome):
    assert context.subject.describe() == outcome, context.subject.orders


@when("a large response begins, a planned stop begins, and a write is sent behind it")
def stop_in_response(context):
    subject = context.subject
    context.caller = subject.connect()
    context.caller.receive(encode_request(method="GET", path="/read/x"))
    context.server, ready = subject.take_opened()
    ready()
    context.server.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n" + bytes(2000))
    assert b"connection: close" not in context.caller.written.lower()
    subject.begin_stop(limit=6.0)
    context.caller.receive(encode_request(path="/write/later"))


@when("the large response ends")
def end_large(context):
    context.server.receive(bytes(1000))
    subject = context.subject
    context.passed_on = context.server.written
    if subject.streams.opened:
        context.server, ready = subject.take_opened()
        ready()
        context.passed_on = context.server.written
    context.server.receive(ANSWER)


@then("the write is passed on, and its response says that the connection closes")
def check_served_behind(context):
    assert b"/write/later" in context.passed_on, context.passed_on
    assert context.caller.written.count(b"HTTP/1.1 200") == 2
    assert b"connection: close" in context.caller.written.lower().rpartition(b"http/1.1")[2]


@given("a caller that has got its response")
def respond(context):
    context.caller = context.subject.connect()
    context.caller.receive(encode_request())
    server, ready = context.subject.take_opened()
    ready()
    server.receive(ANSWER)
    (connection,) = context.subject.context.connections
    connection.idle_since -= 1.0


@given("a caller that has got its response but not acknowledged it")
def respond_unacknowledged(context):
    respond(context)
    context.caller.is_sending = True


@given("a caller with {what}")
def begin_request(context, what):
    context.caller = context.subject.connect()
    context.caller.receive(REQUESTS[what])
    if "connection opens" not in what and context.subject.streams.opened:
        _, ready = context.subject.take_opened()
        ready()


@when("a planned stop of {limit:g} s has lasted {seconds:g} s")
def stop(context, limit, seconds):
    context.subject.begin_stop(limit=limit)
    context.has_ended = context.subject.check_stop(seconds)


@when("SIGTERM comes again")
def stop_again(context):
    context.subject.begin_stop(limit=6.0)


@when("the caller sends a further request, which a server answers")
def send_further(context):
    context.caller.receive(encode_request())
    context.subject.streams.establish()
    context.subject.streams.to_servers[-1].receive(ANSWER)


@then("the connection is open in both directions")
def check_open(context):
    assert context.caller.is_open and not context.caller.has_ended_sending


@then("the connection closes in steps")
def check_closing(context):
    assert context.caller.is_open and context.caller.has_ended_sending


@then("its last response is {status:d}, and the connection closes in steps")
def check_last_response(context, status):
    last = bytes(context.caller.written).rpartition(b"HTTP/1.1 ")[2]
    assert last.startswith(b"%d " % status), context.caller.written
    check_closing(context)
