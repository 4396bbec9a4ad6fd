"""Steps on remote sides that read nothing for a while."""

from __future__ import annotations

from behave import given, then, when
from subjects.paused_readers import PausedReader


@given("an {kind} stream on real sockets")
def start(context, kind):
    context.subject = PausedReader(kind)
    context.cleanups.append(context.subject.close)


@when("its remote side reads {size:d} bytes only after {seconds:g} s")
def pause(context, size, seconds):
    context.size = size
    context.subject.write(size)
    context.subject.read_after(seconds, size)


@then("the remote side has got every byte")
def check_received(context):
    assert context.subject.received == context.size, context.subject.received
    assert not context.subject.lost


@when("{size:d} bytes are written")
def write(context, size):
    context.subject.write(size)


@when("the remote side is known to have read them")
def settle(context):
    context.subject.stream.settle()


@then("a remote side that acknowledges nothing is given up after {seconds:d} s")
def check_limit(context, seconds):
    assert context.subject.read_unacknowledged_limit() == seconds * 1000
