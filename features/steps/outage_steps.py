"""Steps on outages of the store, and of the path to it."""

from __future__ import annotations

from behave import given, then, when
from subjects.store_outages import HearingDaemon

RETURN_SECONDS = 0.1


@given("a daemon that hears of each read of the store")
@given("a daemon that reads the store itself")
def start(context):
    context.subject = HearingDaemon()


@when("{who} can't read for {seconds:g} s, and a peer that could not says that the store is back")
def lose_store(context, who, seconds):
    subject = context.subject
    if who == "everybody":
        subject.pass_time(seconds)
    else:
        subject.hear_reads(seconds)
    subject.hear_read(recovered_at=subject.daemon.now - RETURN_SECONDS)


@when("{count:d} peers return one after the other, {seconds:g} s apart")
def return_in_turn(context, count, seconds):
    for _ in range(count):
        context.subject.hear_reads(seconds)
        context.subject.hear_read(recovered_at=context.subject.daemon.now)


@when("its reads fail for {seconds:g} s while peers {say}")
def fail_reads(context, seconds, say):
    context.subject.fail_reads(seconds, hears=say == "read")


@when("an entry is removed")
def remove(context):
    context.subject.remove()


@then("its server is removed {when}")
def check_removed(context, when):
    assert context.subject.is_removed() == (when == "at once")
    context.subject.pass_time(2.0 if "later" in when else 0.0)
    assert context.subject.is_removed() == (when == "at once")
    context.subject.pass_time(0.3)
    assert context.subject.is_removed()
