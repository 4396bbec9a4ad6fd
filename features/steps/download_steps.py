"""Steps on where downloads are sent."""

from __future__ import annotations

from behave import given, then, when
from subjects.downloads import DownloadingDaemon


@given("a server in each of two zones, that of the daemon {own} and the other one free")
def start(context, own):
    context.daemon = DownloadingDaemon(own=own)


@when("a {kind} that has a target of 2 s arrives")
def send(context, kind):
    context.sent_to = context.daemon.send(kind)


@then("it is sent to {first} at once, and to {later} after 0.5 s")
def check_sent(context, first, later):
    assert context.sent_to == first, context.sent_to
    sent_to = context.daemon.pass_time(0.5)
    assert (sent_to if first == "nothing" else first) == later, sent_to
