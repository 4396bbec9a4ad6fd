"""Steps on broken answers of backend servers."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import httpx
from behave import given, then, when
from stand_ins.fleet import PlatformPath
from subjects.broken_answers import (
    BrokenAnswers,
    Conversation,
    LimitedClient,
    RequestTrailers,
    encode_answer,
)

from dotterelgate_bench.fleet import wait_until
from dotterelgate_core import codes

MEGABYTE = 1_000_000
FRAMINGS = {
    "with a length": "length",
    "in chunks with trailers": "chunks",
    "without a length": "close",
}
OWN_ID = "own-1"


@given("the platform with {servers:d} backend servers and 1 daemon")
def start_platform(context, servers):
    platform = context.platform = PlatformPath()
    context.cleanups.append(platform.stop)
    platform.start(servers=servers)
    platform.publish(10, "/orders/")
    platform.start_daemon("front-1")
    platform.wait_ready("front-1")
    assert platform.request("front-1", "/orders/x", "before").status_code == 200


def request(context, request_id):
    """Send a request; returns its status, or ``None`` when no whole answer came.

    A success must have the body that the stand-in writes for it.
    """
    platform = context.platform
    url = f"http://{platform.settings['front-1']['callers']}/orders/x"
    headers = {
        "host": "orders.example",
        "request-id": request_id,
        "request-deadline-ms": "2000",
    }
    try:
        with httpx.stream("POST", url, headers=headers, content=b"x", timeout=5) as answer:
            size = sum(len(part) for part in answer.iter_raw())
    except httpx.TransportError:
        return None
    assert answer.status_code != httpx.codes.OK or size == len("i-1 POST /orders/x"), size
    return answer.status_code


def count_runs(context):
    ran = [each for ids in context.platform.read_ledgers().values() for each in ids]
    return {each: ran.count(each) for each in ran}


@when("{count:d} requests at once get {fault}")
def send_at_once(context, count, fault):
    context.sent = [f"broken-{number}" for number in range(count)]
    for _ in context.sent:
        context.platform.add_fault("i-1", fault)
    with ThreadPoolExecutor(count) as pool:
        context.statuses = list(pool.map(lambda each: request(context, each), context.sent))


@then("each ran once, and no caller got a success or was told that it did not run")
def check_may_have_run(context):
    runs = count_runs(context)
    for request_id, status in zip(context.sent, context.statuses, strict=True):
        assert runs.get(request_id) == 1, (request_id, runs)
        assert status in (None, 500, 502, 504), (request_id, status)


@then("each ran once, and no caller got a whole answer")
def check_cut_off(context):
    runs = count_runs(context)
    assert all(runs.get(each) == 1 for each in context.sent), runs
    assert all(status in (None, 504) for status in context.statuses), context.statuses


@then("front-1 closed each of their connections within {megabytes:d} MB")
def check_closed(context, megabytes):
    def are_closed():
        return not any(is_open for is_open, _ in context.platform.read_endless().values())

    wait_until(are_closed, seconds=5, what="the connections are closed")
    endless = context.platform.read_endless()
    assert set(endless) == set(context.sent), endless
    assert all(sent <= megabytes * MEGABYTE for _, sent in endless.values()), endless


@then("front-1 stayed below {megabytes:d} MB and serves the next request")
def check_memory(context, megabytes):
    process = context.platform.daemons["front-1"]
    lines = Path(f"/proc/{process.popen.pid}/status").read_text(encoding="ascii").splitlines()
    (peak,) = (int(line.split()[1]) for line in lines if line.startswith("VmHWM:"))
    assert peak * 1024 < megabytes * MEGABYTE, f"{peak} KB"
    wait_until(
        lambda: request(context, f"after-{time.monotonic_ns()}") == httpx.codes.OK,
        seconds=5,
        what="a request is served",
    )


@when("a request gets a refusal, and the next {count:d} each get the {fault}")
def send_after_refusal(context, count, fault):
    context.answers = {}
    for number in range(count):
        for request_id, each in ((f"refused-{number}", "refusal"), (f"next-{number}", fault)):
            context.platform.add_fault("i-1", each)
            context.answers[request_id] = request(context, request_id)


@then("each request that ran was answered as a success, and none ran twice")
def check_answers(context):
    runs = count_runs(context)
    for request_id, status in context.answers.items():
        ran = runs.get(request_id, 0)
        assert ran <= 1, (request_id, ran)
        assert (status == 200) == (ran == 1), (request_id, status, ran)


@given("a platform client whose answers are limited to {limit:d} bytes")
def set_client(context, limit):
    context.client = LimitedClient(limit=limit)


@when("the service sends {size:d} bytes of a longer answer")
def send_long(context, size):
    context.client.receive(size)


@then("the client reports a failure and closes the connection")
def check_client(context):
    assert len(context.client.failures) == 1, context.client.failures
    assert not context.client.stream.is_open


@given("a pool of one connection on which request {request_id} was refused")
def refuse(context, request_id):
    context.subject = BrokenAnswers()
    context.subject.send(request_id)
    context.subject.receive(context.subject.encode(request_id, not_run=True))
    assert context.subject.outcome.not_run


@given("a pool of one connection on which a request without an id was refused")
def refuse_unnamed(context):
    context.subject = BrokenAnswers(names=False)
    context.subject.send("")
    context.subject.receive(context.subject.encode("", not_run=True))
    assert context.subject.outcome.not_run


@when("request {request_id} is sent again")
@when("request {request_id} is sent")
def send_again(context, request_id):
    context.is_new = context.subject.send(request_id)


@then("it gets a new connection")
def check_new(context):
    assert context.is_new
    context.subject.receive(context.subject.encode("r-1"))


@then("it reuses the connection")
def check_reused(context):
    assert not context.is_new


@given("an answer {framed}, on a {connection} connection")
def set_answer(context, framed, connection):
    context.kept = connection == "kept"
    context.framing = FRAMINGS[framed]
    context.answer = encode_answer(
        request_id=OWN_ID, body=b"0123456789", framing=context.framing, not_run=False
    )


@when("the connection is {ended} after each number of its bytes")
def end_everywhere(context, ended):
    context.complete_at = []
    for size in range(len(context.answer) + 1):
        subject = BrokenAnswers(kept=context.kept)
        subject.send(OWN_ID)
        subject.receive(context.answer[:size])
        subject.end(received_eof=ended == "closed")
        assert (subject.outcome.completed is None) != (subject.outcome.failure is None)
        if subject.outcome.completed is not None:
            context.complete_at.append(size)


@then("it is complete exactly after {what}")
def check_complete(context, what):
    first = {
        "all bytes": len(context.answer),
        "the whole head": context.answer.index(b"\r\n\r\n") + 4,
        "nothing": len(context.answer) + 1,
    }[what]
    assert context.complete_at == list(range(first, len(context.answer) + 1)), context.complete_at


@given("{count:d} random conversations of a broken server, seed {seed:d}")
def converse(context, count, seed):
    context.played = []
    for number in range(count):
        conversation = Conversation(seed=seed * 1_000_000 + number)
        context.played.append((conversation, conversation.play()))


@then("each outcome is one that the server wrote whole for this request")
def check_outcomes(context):
    completed = 0
    for conversation, subject in context.played:
        outcome = subject.outcome
        assert (outcome.completed is None) != (outcome.failure is None), conversation.seed
        if outcome.completed is not None:
            completed += 1
            told = (*outcome.completed, outcome.not_run)
            assert told in conversation.whole, (conversation.seed, told, conversation.whole)
    assert len(context.played) / 10 < completed < len(context.played), completed


@then("no reader held more than {size:d} bytes of headers")
def check_headers(context, size):
    for conversation, subject in context.played:
        assert subject.measure_headers() <= size, conversation.seed


@given("a reader of requests with heads of at most {limit:d} bytes")
def set_reader(context, limit):
    context.requests = RequestTrailers(head_limit=limit)


@when("a chunked request arrives whose trailers have {size:d} bytes")
def send_trailers(context, size):
    context.requests.receive_trailers(size)


@then("it is refused with head_too_large and its reader held no trailers")
def check_trailers(context):
    assert context.requests.refusals == [codes.HEAD_TOO_LARGE], context.requests.refusals
    assert len(context.requests.head.headers) == 2, len(context.requests.head.headers)
