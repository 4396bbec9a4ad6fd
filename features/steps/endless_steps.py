"""Steps on readers of what is sent without end."""

from __future__ import annotations

import httpx
from behave import given, then, when
from steps.broken_steps import MEGABYTE, OWN_ID
from subjects.broken_answers import BrokenAnswers
from subjects.endless import DOCUMENT, EndlessListing, PeerParts

from dotterelgate_bench.fleet import wait_until

MOST_PAGES = 1_000


@when("the next status check gets {fault}")
def break_check(context, fault):
    context.platform.add_fault("i-1", fault)
    wait_until(context.platform.read_endless, seconds=5, what="a status check is answered so")


@then("front-1 closed the status check within {megabytes:d} MB")
def check_closed(context, megabytes):
    def is_closed():
        return not any(is_open for is_open, _ in context.platform.read_endless().values())

    wait_until(is_closed, seconds=5, what="the connection is closed")
    ((_, sent),) = context.platform.read_endless().values()
    assert sent <= megabytes * MEGABYTE, sent


@then("a request to its own status pages with a body of {megabytes:d} MB is cut off")
def check_status_body(context, megabytes):
    url = f"http://{context.platform.settings['front-1']['endpoint']}/health"
    try:
        answer = httpx.post(url, content=bytes(megabytes * MEGABYTE), timeout=5)
    except httpx.TransportError:
        return
    raise AssertionError(answer)


@given("an exchange whose answer's body is limited to {limit:d} bytes")
def limit_body(context, limit):
    context.subject = BrokenAnswers(body_limit=limit)
    context.subject.send(OWN_ID)


@when("an answer {framed} with {size:d} bytes arrives in parts of {part:d}")
def send_body(context, framed, size, part):
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {OWN_ID}\r\n"
    parts = [b"y" * min(part, size - at) for at in range(0, size, part)]
    if framed == "in chunks":
        head += "Transfer-Encoding: chunked\r\n\r\n"
        parts = [b"%x\r\n%b\r\n" % (len(each), each) for each in parts] + [b"0\r\n\r\n"]
    else:
        head += f"Content-Length: {size}\r\n\r\n"
    for each in (head.encode("ascii"), *parts):
        context.subject.receive(each)


@then("the exchange is {outcome}")
def check_outcome(context, outcome):
    is_complete = context.subject.outcome.completed is not None
    is_refused = context.subject.outcome.failure is not None
    assert (is_complete, is_refused) == (outcome == "complete", outcome == "refused")


@given("the parts of configurations that peers send")
def hold_parts(context):
    context.subject = PeerParts()


@when("a peer sends {what}")
def send_parts(context, what):
    context.subject.receive(what)


@then("at most {megabytes:d} MB are kept, and a sound configuration is read next")
def check_kept(context, megabytes):
    assert context.subject.measure() <= megabytes * MEGABYTE, context.subject.measure()
    assert context.subject.receive_sound() == DOCUMENT


@given("a reader of a topic whose store answers pages that {goes_on}")
def start_listing(context, goes_on):
    context.subject = EndlessListing(goes_on)


@when("it reads")
def read(context):
    context.subject.read(MOST_PAGES)


@then("the read fails after at most {most:d} keys")
def check_failed(context, most):
    assert len(context.subject.failures) == 1 and not context.subject.done
    assert len(context.subject.keys) <= most, len(context.subject.keys)
