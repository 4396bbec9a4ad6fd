"""Steps on the decisions on clients that nobody controls."""

from __future__ import annotations

from behave import given, then, when
from subjects.caller_connections import CallerConnections, encode_request
from subjects.intake import NOW, Clients, Requests

from dotterelgate_core.pipelining import MAX_PIPELINED_REQUESTS
from dotterelgate_daemon.intake.closing import compute_connection_limit, compute_least_rate
from dotterelgate_daemon.intake.holdings import (
    Awaited,
    Holding,
    MemoryAccount,
    compute_account_limit,
    decide_read_size,
)
from dotterelgate_daemon.intake.supervision import Intake, IntakeLimits
from dotterelgate_daemon.request_reader import SLICE_BYTES

HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"
LENGTH = b"Content-Length: 0\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
BYTES = {
    "fields of 1024 bytes": HEAD + LENGTH[:-2] + b"a:" + b"b" * 989 + b"\r\n\r\n",
    "fields of 1040 bytes": HEAD + LENGTH[:-2] + b"a:" + b"b" * 1005 + b"\r\n\r\n",
    "a target of 1000 bytes": HEAD.replace(b"/x", b"/" + b"x" * 999) + LENGTH,
    "a target of 1030 bytes": HEAD.replace(b"/x", b"/" + b"x" * 1029) + LENGTH,
    "a target without end": b"GET /" + b"x" * 5000,
    "a name without end": HEAD + b"x" * 5000,
    "62 further lines": HEAD + b"a:\r\n" * 62 + LENGTH,
    "63 further lines": HEAD + b"a:\r\n" * 63 + LENGTH,
    "8 empty lines": b"\r\n" * 8 + HEAD + LENGTH,
    "9 empty lines": b"\r\n" * 9 + HEAD + LENGTH,
    "lines that end without CR": b"\n" * 9,
    "a chunk extension without end": HEAD + CHUNKED + b"1;" + b"x" * 9000,
    "chunks of one byte": HEAD + CHUNKED + b"1\r\nx\r\n" * 3000 + b"0\r\n\r\n",
    "trailers without end": HEAD + CHUNKED + b"0\r\n" + b"a:\r\n" * 3000,
}


@given("limits of {size:d} bytes, {lines:d} lines and {empty:d} empty lines")
def limit_heads(context, size, lines, empty):
    context.requests = Requests(size=size, lines=lines, empty_lines=empty)


@when("{what} arrive in pieces of {size:d}")
def receive(context, what, size):
    data = BYTES[what]
    for at in range(0, len(data), size):
        context.requests.reader.feed(data[at : at + size])


@then("the reader says {status}")
def check_status(context, status):
    requests = context.requests
    if status == "nothing":
        assert (requests.refusals, requests.ended) == ([], 1), requests.refusals
    else:
        assert requests.refusals == [int(status)], requests.refusals
        assert requests.reader.held_bytes == 0


@given("a client {name} that {facts}")
def add_client(context, name, facts):
    if not hasattr(context, "clients"):
        context.clients = Clients()
    values = {}
    for fact in facts.split(", "):
        key, _, value = fact.partition(" ")
        values[key] = value if key in ("awaited", "address") else float(value)
    context.clients.add(name, **values)


@then("{excess:d} bytes are freed by closing {names} when memory was short for {seconds:g} s")
def check_evicted(context, excess, names, seconds):
    crowded = ("crowded",)
    chosen = context.clients.choose_evicted(excess=excess, short_for=seconds, crowded=crowded)
    assert chosen == ([] if names == "none" else names.split(", ")), chosen


@then("{count:d} further callers replace {names}")
def check_replaced(context, count, names):
    chosen = context.clients.choose_replaced(count=count)
    assert chosen == names.split(", "), chosen


@then("{name} is judged {pace} at {rate:d} bytes a second")
def check_pace(context, name, pace, rate):
    assert context.clients.judge_pace(name, rate) == pace


@then("of an account of 1000 with {used:d} used, a client that holds {held:d} is read {size:d}")
def check_read_size(context, used, held, size):
    assert decide_read_size(used=used, limit=1000, held=held) == size


@then("a VM of {memory:d} MB and {descriptors:d} descriptors allows {bytes_:d} and {connections:d}")
def check_sizes(context, memory, descriptors, bytes_, connections):
    limit = compute_connection_limit(descriptors=descriptors, connections=2000)
    assert (compute_account_limit(memory * 1e6), limit) == (bytes_, connections)
    assert compute_least_rate(link_rate=625_000, connections=2000) == 312.5


@then("while memory is short, address {address} gets {answer} for a body of {length}")
def check_address(context, address, answer, length):
    intake = Intake(limits=IntakeLimits(memory=100, unfinished=2))
    for _ in range(2):
        holding = Holding(address="crowded", opened_at=NOW, awaited=Awaited.BODY)
        intake.account.note_body(holding, has_body=True)
    intake.account.update(holding, 90)
    size = None if length == "unknown length" else int(length)
    refusal = intake.refuse_body(Holding(address=address, opened_at=NOW), size)
    assert (str(refusal.code.status) if refusal else "none") == answer
    intake.release(holding)
    assert intake.account == MemoryAccount(limit=100, unfinished={"crowded": 1})


@when("a caller that reads no answers sends {count:d} requests and leaves")
def leave_unread(context, count):
    context.subject = subject = CallerConnections()
    context.stream = stream = subject.connect()
    stream.is_full, stream.held_bytes = True, 300_000
    request = encode_request(path="/read/x")
    stream.receive(request * count)
    (connection,) = subject.context.connections
    context.most = subject.context.intake.account.used
    assert connection._watch.holding.awaited is Awaited.READING
    # Limits are checked between slices of the bytes that arrive.
    assert len(connection._requests) <= MAX_PIPELINED_REQUESTS + SLICE_BYTES // len(request)
    stream.reset()


@then("none was passed on, and the account held all of them and is empty")
def check_account(context):
    subject = context.subject
    assert not subject.streams.opened and not subject.gateway.pending
    assert context.most > 300_000 and subject.context.intake.account.used == 0, context.most
