"""Steps on the statuses of servers' answers."""

from __future__ import annotations

from behave import then, when
from steps.caller_connection_steps import ANSWER, PATHS, check_nothing_kept
from subjects.caller_connections import encode_request


@when("the only server answers a {kind} with {status:d} {stating} and {size:d} bytes")
def answer_status(context, kind, status, stating, size):
    context.caller = context.subject.connect()
    context.caller.receive(encode_request(path=PATHS[kind]))
    server, ready = context.subject.take_opened()
    ready()
    outcome = b"Request-Outcome: not-run\r\n" if "did not run" in stating else b""
    head = b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n" % (status, outcome, size)
    server.receive(head + bytes(size))


@when("a server answers a {kind} with the status {status}")
def answer_with(context, kind, status):
    subject = context.subject
    subject.daemon.state.retries.find("s", 1.0).tokens = 1.0
    context.caller = subject.connect()
    context.caller.receive(encode_request(path=PATHS[kind]))
    context.server, ready = subject.take_opened()
    ready()
    context.server.receive(b"HTTP/1.1 %b X\r\nContent-Length: 2\r\n\r\nno" % status.encode())
    if subject.streams.opened:
        other, ready = subject.take_opened()
        ready()
        other.receive(ANSWER)


@then("the caller is told {status:d}, and the server's connection is closed")
def check_no_answer(context, status):
    check_told(context, status)
    assert not context.server.is_open
    check_nothing_kept(context)


@then("the caller is told {status:d}")
def check_told(context, status):
    assert context.caller.written.startswith(b"HTTP/1.1 %d" % status), context.caller.written
