"""Steps on slots that one daemon of a zone grants to the others."""

from __future__ import annotations

import math
import time

from behave import given, then, when
from subjects.store_daemon import StoreDaemon, find
from subjects.zone import ZoneLoad
from subjects.zone_schedules import ZoneSchedule

from dotterelgate_core import codes, messages
from dotterelgate_core.codes import Refusal
from dotterelgate_core.owners import find_owner
from dotterelgate_core.slots import (
    GrantSlot,
    RequestSlot,
    SlotDenied,
    SlotGrant,
    SlotGranted,
    SlotRequested,
    WithdrawSlot,
)
from dotterelgate_daemon.explanation import explain_route

AMPLITUDE = 0.55
PERIOD_SECONDS = 6.0
TICK_SECONDS = 0.02
REMOTE_DAEMONS = 8


@given("{servers:d} backend servers and a wave around {rate:d} requests a second, seed {seed:d}")
def set_wave(context, servers, rate, seed):
    context.wave = {
        "servers": servers,
        "seed": seed,
        "rate": lambda s: rate * (1 + AMPLITUDE * math.sin(2 * math.pi * s / PERIOD_SECONDS)),
    }


@when("{daemons:d} daemons of a zone serve it with granted slots")
def serve(context, daemons):
    context.daemon_count = daemons
    context.granted = ZoneLoad(policy="granted_queue", daemons=daemons, **context.wave).run()


@when(
    "{daemons:d} daemons of a zone serve it with granted slots and "
    "{share:d} in 100 datagrams are lost"
)
def serve_with_loss(context, daemons, share):
    context.daemon_count = daemons
    context.granted = ZoneLoad(
        policy="granted_queue", daemons=daemons, loss=share / 100, **context.wave
    ).run()


@then("at least {share:d} in 100 of what one daemon alone answers within the target are")
def compare_with_one(context, share):
    alone = ZoneLoad(policy="granted_queue", daemons=1, **context.wave).run()
    reached = context.granted.in_target / context.granted.requests
    possible = alone.in_target / alone.requests
    assert reached >= share / 100 * possible, (reached, possible)


@then("at most {share:d} in 100 requests find their backend server full")
def check_full(context, share):
    found = context.granted.queued_at_server / context.granted.requests
    assert found <= share / 100, found


@then("more requests are answered within the target than with the shared queue")
def compare_with_shared(context):
    context.shared = ZoneLoad(
        policy="shared_queue", daemons=context.daemon_count, **context.wave
    ).run()
    assert context.granted.in_target > context.shared.in_target, (
        context.granted.in_target,
        context.shared.in_target,
    )


@then("fewer of them find their backend server full")
def compare_full(context):
    assert context.granted.queued_at_server < context.shared.queued_at_server


@then("nothing that was refused as not run has run")
def check_not_run(context):
    assert not context.granted.refused_not_run & context.granted.ran


@given("two daemons of which the other owns the service")
def start_two(context):
    pair = [StoreDaemon(policy="granted_queue", name=name) for name in ("front-1", "front-2")]
    for daemon in pair:
        daemon.configure()
        for offset in range(3):
            daemon.register(f"i-{offset}", offset=offset)
    for daemon, other in (pair, reversed(pair)):
        daemon.receive_heartbeat(other.state.name)
    owner = find_owner(pair[0].state, "s", pair[0].now)
    context.owner = next(each for each in pair if each.state.name == owner)
    context.daemon = next(each for each in pair if each.state.name != owner)


@when("a read arrives and the owner is silent")
def request_from_silent_owner(context):
    context.began = context.daemon.now
    context.call_id, orders = context.daemon.arrive()
    assert find(orders, RequestSlot) is not None
    pass_time(context)


def pass_time(context):
    """Let time pass until the call is dispatched; the owner's heartbeats go on."""
    context.dispatch = None
    while context.dispatch is None and context.daemon.now - context.began < 1.0:
        context.daemon.now += TICK_SECONDS
        context.daemon.receive_heartbeat(context.owner.state.name)
        context.dispatch = find(context.daemon.tick(), messages.Dispatch)


@then("it is dispatched within {limit:d} ms")
def check_dispatched(context, limit):
    assert context.dispatch is not None
    assert context.daemon.now - context.began <= limit / 1000


@then("the next read sends no slot request to that owner")
def check_next(context):
    _, orders = context.daemon.arrive()
    assert find(orders, RequestSlot) is None
    assert find(orders, messages.Dispatch) is not None


@when("a write arrives, its caller disconnects and the grant arrives after that")
def disconnect_before_grant(context):
    daemon = context.daemon
    call_id, orders = daemon.arrive("/write/x")
    assert find(orders, RequestSlot) is not None
    daemon.run(messages.CallerDisconnected(now=daemon.now, call_id=call_id))
    daemon.now += TICK_SECONDS
    context.orders = list(daemon.tick())
    context.orders += grant(daemon, call_id, "i-1")


def grant(daemon, call_id, server):
    """Let the owner's grant arrive; returns the orders."""
    granted = SlotGranted(
        now=daemon.now, owner="front", call_id=call_id, grant=SlotGrant(server=server)
    )
    return daemon.run(granted)


@then("the write is not dispatched and its slot request is withdrawn")
def check_not_sent(context):
    assert find(context.orders, messages.Dispatch) is None
    assert find(context.orders, WithdrawSlot) is not None


@when("a read arrives and is granted a backend server that is leaving")
def grant_leaving(context):
    call_id, _ = context.daemon.arrive()
    context.daemon.register("i-1", offset=9, draining=True)
    context.orders = grant(context.daemon, call_id, "i-1")


@then("a slot of another backend server is requested")
def check_requested_again(context):
    assert find(context.orders, messages.Dispatch) is None
    assert "i-1" in find(context.orders, RequestSlot).request.avoided


@when("the owner receives the same slot request three times")
def request_three_times(context):
    _, orders = context.daemon.arrive()
    request = find(orders, RequestSlot).request
    owner = context.owner
    requested = SlotRequested(
        now=owner.now, wall=owner.now, requester=context.daemon.state.name, request=request
    )
    context.grants = [find(owner.run(requested), GrantSlot) for _ in range(3)]


@then("it grants the same slot each time and counts one request")
def check_one_slot(context):
    assert None not in context.grants
    assert len({order.grant.server for order in context.grants}) == 1
    states = context.owner.state.servers.states.values()
    assert sum(each.count_load() for each in states) == 1


@when("a read arrives and the owner reports that it has no such route")
def deny_route(context):
    context.began = context.daemon.now
    call_id, _ = context.daemon.arrive()
    refusal = Refusal(codes.NO_CONFIGURATION, "the owner has no such route")
    for _ in range(2):
        denied = SlotDenied(now=context.daemon.now, call_id=call_id, refusal=refusal)
        context.dispatch = find(context.daemon.run(denied), messages.Dispatch)


@when("{count:d} random schedules of three daemons that grant slots are run, from seed {seed:d}")
def run_schedules(context, count, seed):
    context.faults = {}
    for number in range(seed, seed + count):
        faults = ZoneSchedule(seed=number).run()
        if faults:
            context.faults[number] = faults


@then("no write is sent twice or wrongly refused as not run, and no call stays open")
def check_schedules(context):
    assert not context.faults, context.faults


@when("the owner reports that it has no backend server")
def report_no_servers(context):
    daemon = context.daemon
    daemon.now += 1.0
    daemon.receive_heartbeat(context.owner.state.name, can_decide=False)


@then("the next read is dispatched without a slot request")
def check_no_request(context):
    _, orders = context.daemon.arrive()
    assert find(orders, RequestSlot) is None
    assert find(orders, messages.Dispatch) is not None


@when("each explains where a read would go")
def explain(context):
    pair = (context.daemon, context.owner)
    for daemon, other in (pair, reversed(pair)):
        # The explanation reads the clock of the process.
        daemon.now = time.monotonic()
        daemon.receive_heartbeat(other.state.name)
        for number in range(REMOTE_DAEMONS):
            daemon.receive_heartbeat(f"far-{number}", zone="south")
    context.named = [
        explain_route(daemon.state, "GET", "h", "/read/x")["owner"]
        for daemon in (context.daemon, context.owner)
    ]


@then("both name that owner")
def check_named(context):
    assert context.named == [context.owner.state.name] * 2, context.named
