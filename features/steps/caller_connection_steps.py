"""Steps on callers' connections, without a network."""

from __future__ import annotations

import random
from dataclasses import replace

from behave import given, then, when
from subjects.caller_connections import (
    CallerConnections,
    encode_part,
    encode_request,
    read_body,
)

from dotterelgate_core import messages

FRAMINGS = {"with a length": "length", "in chunks": "chunks"}
PATHS = {"write": "/write/x", "read": "/read/x"}
PART_BYTES = 1500
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def make_body(size):
    return random.Random(size).randbytes(size)


@given("a daemon with {servers:d} backend servers on fake connections")
def start(context, servers):
    context.subject = CallerConnections(servers=servers)


@when(
    "a write of {size:d} bytes {framed} arrives while {failed:d} connections fail "
    "one after the other"
)
def send_through_failures(context, size, framed, failed):
    subject, framing = context.subject, FRAMINGS[framed]
    context.body = make_body(size)
    context.caller = subject.connect()
    context.caller.receive(encode_request(framing=framing, size=size))
    parts = [context.body[at : at + PART_BYTES] for at in range(0, size, PART_BYTES)]
    for number, part in enumerate(parts):
        context.caller.receive(encode_part(part, framing=framing))
        if subject.streams.opened and number and number <= failed:
            subject.take_opened()[0].reset()
    context.server, ready = subject.take_opened()
    ready()
    if framing == "chunks":
        context.caller.receive(b"0\r\n\r\n")


@then("the next server gets the whole body once")
def check_body(context):
    assert read_body(context.server.written) == context.body, len(context.server.written)


@then("the caller gets the server's answer")
def check_answer(context):
    context.server.receive(ANSWER)
    assert context.caller.written.startswith(b"HTTP/1.1 200"), context.caller.written
    assert not context.subject.gateway.pending


@when("the connection breaks after {sent:d} of {size:d} bytes of a {kind} were sent")
def break_connection(context, sent, size, kind):
    context.caller = context.subject.connect()
    context.caller.receive(encode_request(path=PATHS[kind], size=size))
    context.caller.receive(make_body(size)[:sent])
    server, ready = context.subject.take_opened()
    ready()
    server.reset()
    context.caller.receive(make_body(size)[sent:])


@then("no other server gets it, and the caller is told {status:d}")
def check_one_server(context, status):
    assert not context.subject.streams.opened
    assert context.caller.written.startswith(b"HTTP/1.1 %d" % status), context.caller.written


@then("nothing is kept of it")
def check_nothing_kept(context):
    subject = context.subject
    assert not subject.gateway.pending
    assert not subject.daemon.state.calls.states
    assert subject.count_in_flight() == 0


@when("{count:d} callers of a {kind} leave after {sent:d} of {size:d} bytes, {moment}")
def leave(context, count, kind, sent, size, moment):
    subject = context.subject
    framing = "chunks" if "chunks" in moment else "length"
    context.servers = []
    for _ in range(count):
        caller = subject.connect()
        caller.receive(encode_request(path=PATHS[kind], size=size, framing=framing))
        caller.receive(encode_part(make_body(sent), framing=framing))
        server, ready = subject.take_opened()
        context.servers.append(server)
        if "while" not in moment:
            ready()
        if framing == "chunks":
            caller.receive(b"no size\r\n")
        else:
            caller.reset()
    assert not subject.context.connections


@then("the connections to servers are closed, and no server has a failure")
def check_closed(context):
    assert not any(each.is_open for each in context.servers)
    assert context.subject.count_failures() == 0


@when("the caller of a complete {kind} leaves {moment}")
def leave_complete(context, kind, moment):
    caller = context.subject.connect()
    caller.receive(encode_request(path=PATHS[kind], size=500) + make_body(500))
    context.server, ready = context.subject.take_opened()
    if "after" in moment:
        ready()
    caller.reset()


@then("the server's connection {ends}")
def check_server_connection(context, ends):
    assert context.server.is_open == (ends == "goes on")
    assert not context.subject.streams.opened


@then("the server's answer leaves nothing behind")
def check_answer_unread(context):
    if context.server.is_open:
        context.server.receive(ANSWER)
    check_nothing_kept(context)


@when("a caller leaves after {sent:d} of {size:d} bytes")
def leave_early(context, sent, size):
    caller = context.subject.connect()
    (connection,) = context.subject.context.connections
    caller.receive(encode_request(size=size) + make_body(sent))
    body = connection._requests.arriving.body
    assert body.held_bytes == sent
    caller.reset()
    assert body.held_bytes == 0


@when("two calls end in one pass, and the reply to the first raises an error")
def fail_reply(context):
    subject = context.subject
    context.callers = [subject.connect(), subject.connect()]
    for caller in context.callers:
        caller.receive(encode_request())
    first, second = subject.gateway.pending.values()

    def fail(refusal):
        raise RuntimeError("a reply that fails")

    first.reply = replace(first.reply, refuse=fail)
    for call_id in list(subject.daemon.state.calls.states):
        state = subject.daemon.state.calls.states[call_id]
        state.routed = replace(state.routed, deadline=0.0)
    subject.daemon.state.calls.deadlines[:] = [
        (0.0, call_id) for _, call_id in subject.daemon.state.calls.deadlines
    ]
    subject.gateway.run(messages.Ticked(now=subject.daemon.now))


@then("the second is answered, and nothing is kept of it")
def check_second(context):
    assert context.callers[1].written.startswith(b"HTTP/1.1 504"), context.callers[1].written
    check_nothing_kept(context)


@when("a caller and a peer send a request to {path}")
def send_both(context, path):
    subject = context.subject
    subject.add_general_route()
    subject.connect().receive(encode_request(path=path))
    context.server, ready = subject.take_opened()
    ready()
    subject.receive_handed(path)


@then("both take the route {prefix}")
def check_route(context, prefix):
    states = context.subject.daemon.state.calls.states.values()
    assert [each.routed.route.prefix for each in states] == [prefix] * 2, states


@then("the server gets the bytes {path}")
def check_bytes(context, path):
    assert context.server.written.startswith(f"POST {path} HTTP/1.1\r\n".encode("ascii"))


@when("a caller gets {response} before its {size:d} bytes have arrived")
def respond_early(context, response, size):
    subject = context.subject
    context.caller = subject.connect()
    if response == "a refusal":
        context.caller.receive(encode_request(size=size, Request_Timeout_Ms="soon"))
        context.caller.receive(make_body(5000))
    else:
        context.caller.receive(encode_request(size=size))
        context.caller.receive(make_body(5000))
        server, ready = subject.take_opened()
        ready()
        server.receive(ANSWER)
    context.size = size


@then("the sending side is shut down after the response")
def check_shut_down(context):
    assert context.caller.written.startswith(b"HTTP/1.1 "), context.caller.written
    assert b"connection: close" in context.caller.written.lower()
    assert context.caller.has_ended_sending


@then("at most {limit:d} bytes are read on, and the connection is open")
def check_read_on(context, limit):
    read = 0
    while not context.caller.is_paused and read < context.size:
        context.caller.receive(bytes(PART_BYTES))
        read += PART_BYTES
    assert 0 < read <= limit, read
    assert context.caller.is_open
    check_nothing_kept(context)


@when("{seconds:d} s have passed")
def pass_time(context, seconds):
    for delay, call in context.subject.timers:
        assert delay <= seconds
        call()


@then("the connection is closed")
def check_connection_closed(context):
    assert not context.caller.is_open
    assert not context.subject.context.connections


@when("a caller sends a request that is refused and a write at once during a planned stop")
def send_behind_last(context):
    context.caller = context.subject.connect()
    context.subject.context.is_stopping = True
    refused = encode_request(Request_Timeout_Ms="soon")
    context.caller.receive(refused + encode_request(path="/write/later"))


@then("nothing is passed on, and the caller gets one response")
def check_nothing_passed_on(context):
    assert not context.subject.streams.opened
    assert context.caller.written.count(b"HTTP/1.1") == 1


@given("a caller whose response is {state}")
def respond_last(context, state):
    context.caller = context.subject.connect()
    context.subject.context.is_stopping = True
    context.caller.receive(encode_request(Request_Timeout_Ms="soon"))
    context.caller.is_sending = state == "on the way"


@when("a planned stop has lasted {seconds:f} s")
def stop_for(context, seconds):
    context.has_ended = context.subject.stop_for(seconds, limit=6.0)


@then("the process {ends}")
def check_ended(context, ends):
    assert context.has_ended == (ends == "ends")


@when("a caller that reads slowly gets a response of {size:d} bytes in one piece")
def respond_to_slow(context, size):
    context.caller = context.subject.connect()
    context.caller.receive(encode_request(path="/read/x"))
    context.caller.is_full = True
    context.server, ready = context.subject.take_opened()
    ready()
    context.server.receive(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size))


@then("the connection to the server is kept and is not paused")
def check_not_paused(context):
    assert context.server.is_open
    assert not context.server.is_paused
    check_nothing_kept(context)
