"""Steps on home regions."""

from __future__ import annotations

from behave import given, then, when
from subjects.home_regions import ACTIONS, HomeDaemon
from subjects.store_daemon import find

from dotterelgate_core import messages
from dotterelgate_core.slots import (
    GrantSlot,
    RequestSlot,
    SlotGrant,
    SlotGranted,
    SlotRequest,
    SlotRequested,
)


def read_homes(text):
    return [] if text == "none" else text.split(", ")


@given("a daemon with a free server in each of north, east, south and west")
def start_daemon(context):
    context.daemon = HomeDaemon()


@given("a route with the homes {route} and an organisation with the homes {organisation}")
def restrict(context, route, organisation):
    context.daemon.restrict(read_homes(route), read_homes(organisation))


@when("{what} and {count:d} requests of the organisation arrive")
def send(context, what, count):
    ACTIONS[what](context.daemon)
    context.outcomes = context.daemon.send_many(count)


@then("these calls are sent to {servers}")
def check_sent(context, servers):
    allowed = set(servers.split(", "))
    assert context.outcomes and context.outcomes <= allowed, context.outcomes


@then("these calls are refused with {code}")
def check_refused(context, code):
    assert context.outcomes == {f"refused with {code}"}, context.outcomes


@then("a request of another organisation is sent elsewhere")
def check_other(context):
    sent = find(context.daemon.send("key-two"), messages.Dispatch)
    assert sent and sent.server.name != "i-south", sent


@then("a slot request of another daemon with that organisation gets i-south")
def check_owner(context):
    daemon = context.daemon
    request = SlotRequest(
        call_id=900,
        request_id="r",
        service="stock",
        route="orders",
        work=0.1,
        waited=0.0,
        remaining=1.0,
        organisation="one",
    )
    requested = SlotRequested(now=daemon.now, wall=0.0, requester="front-2", request=request)
    granted = find(daemon.run(requested), GrantSlot)
    assert granted.grant.server == "i-south", granted


@then("a grant of i-north for a call of that organisation is not used")
def check_grant(context):
    daemon = context.daemon
    for number in range(2, 9):
        daemon.receive_heartbeat(f"front-{number}")
    daemon.now += 0.3
    daemon.tick()
    asked = find(daemon.send(), RequestSlot)
    assert asked.request.organisation == "one", asked
    granted = SlotGranted(
        now=daemon.now,
        owner=asked.owner,
        call_id=asked.request.call_id,
        grant=SlotGrant(server="i-north"),
    )
    orders = daemon.run(granted)
    assert find(orders, RequestSlot).request.avoided == ("i-north",), orders
    assert not find(orders, messages.Dispatch), orders
