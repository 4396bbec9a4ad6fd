"""Steps on what backend servers state of themselves."""

from __future__ import annotations

import time

from behave import given, then, when
from subjects.limited_zones import draw_stated_zones
from subjects.store_daemon import StoreDaemon, find

from dotterelgate_bench.fleet import wait_until
from dotterelgate_border.datagrams import LoadEntry, LoadUpdate, ServerStatements
from dotterelgate_core import messages
from dotterelgate_core.peers import rank_by_rendezvous
from dotterelgate_core.slots import DenySlot, GrantSlot, SlotRequest, SlotRequested
from dotterelgate_daemon.mesh import read_load_update
from dotterelgate_platform.headers import DIALECT, RETRY_AFTER

DAEMON_COUNT = 2
SERVERS = ("i-1", "i-2")


@when("the store falls silent and {server} says in its answers that it leaves")
def leave(context, server):
    context.platform.ask_store("/faults", {"silent": True})
    context.platform.state(server, "leaving", "1")
    context.stated_at = time.monotonic()


@then("{server} got no request later than {seconds:g} s after that")
def check_left(context, server, seconds):
    arrivals = context.platform.read_arrivals()[server]
    late = [at - context.stated_at for _, at in arrivals if at > context.stated_at + seconds]
    assert not late, (len(late), late[:3])


@when("both servers turn requests away and want nothing for {seconds:g} s")
def pause(context, seconds):
    for server in SERVERS:
        context.platform.state(server, "pause", str(seconds))
    context.pause_seconds = seconds


@then(
    "each daemon sent each at most {most:d} requests "
    "from {grace:g} s after the first refusal to its end"
)
def check_paused(context, most, grace):
    for name, turned_away in context.platform.read_turned_away().items():
        begun = turned_away[0]
        end = begun + context.pause_seconds
        late = [at - begun for at in turned_away if begun + grace < at < end]
        assert len(late) <= most * DAEMON_COUNT, (name, len(late), late[:5])


@then("requests were refused at once with a time to retry meanwhile")
def check_refused(context):
    answer = context.platform.request("front-1", "/orders/x", "while-paused")
    assert answer.status_code == 503, answer
    assert float(answer.headers["retry-after"]) > 0, answer.headers


@when("both servers take requests again")
def end_pause(context):
    for server in SERVERS:
        context.platform.state(server, "pause", "")
    context.resumed_at = time.monotonic()


@then("requests are answered by both within {seconds:g} s")
def check_resumed(context, seconds):
    def has_resumed():
        arrivals = context.platform.read_arrivals()
        return all(arrivals[name][-1][1] > context.resumed_at for name in SERVERS)

    wait_until(has_resumed, seconds=seconds, what="both servers run requests again")


@given("a daemon that knows the first run of i-1")
def start_with_first_run(context):
    context.daemon = StoreDaemon()
    context.daemon.configure()
    context.daemon.register("i-1", offset=1, born=1)


@when("a peer tells that the first run leaves and takes 1 request a second")
def tell(context):
    statements = ServerStatements(born=1, is_leaving=True, limit=1.0)
    entry = LoadEntry(server="i-1", in_flight=0, statements=statements)
    update = LoadUpdate(sender="front-2", incarnation="a", loads=[entry])
    context.daemon.run_control(read_load_update(update, context.daemon.now))


@then("i-1 gets no new requests")
def check_not_eligible(context):
    assert context.daemon.list_eligible() == []


@when("i-1 registers as its second run")
def register_second_run(context):
    context.daemon.register("i-1", offset=2, born=2)


@then("i-1 may get requests, without a limit")
def check_eligible(context):
    assert context.daemon.list_eligible() == ["i-1"]
    assert not context.daemon.state.servers.states["i-1"].limit.is_named


@given("two daemons of which this one owns the service, and one backend server")
def start_owner(context):
    names = rank_by_rendezvous("s", ["front-1", "front-2"])
    context.daemon = StoreDaemon(policy="granted_queue", name=names[0])
    context.peer = names[1]
    context.daemon.configure()
    context.daemon.register("i-1", offset=1)
    context.daemon.receive_heartbeat(context.peer)


@when("the other tells that the server wants nothing from it for {seconds:g} s")
def tell_pause(context, seconds):
    statements = ServerStatements(born=1, pause_ms=int(seconds * 1000))
    entry = LoadEntry(server="i-1", in_flight=0, statements=statements)
    update = LoadUpdate(sender=context.peer, incarnation="a", loads=[entry])
    context.daemon.run_control(read_load_update(update, context.daemon.now))


def request_slot(context, call_id):
    request = SlotRequest(
        call_id=call_id,
        request_id="other",
        service="s",
        route="/read/",
        work=0.05,
        waited=0.0,
        remaining=0.5,
    )
    now = context.daemon.now
    requested = SlotRequested(now=now, wall=now, requester=context.peer, request=request)
    orders = context.daemon.run(requested)
    for freed in [each for each in orders if isinstance(each, messages.SlotFreed)]:
        orders += context.daemon.run(freed)
    return orders


@when("both have a read")
def send_both(context):
    _, context.own = context.daemon.arrive()
    context.others = request_slot(context, 100_001)


@then("this daemon's read is dispatched and the other's is refused with a time to retry")
def check_both(context):
    assert find(context.own, messages.Dispatch) is not None, context.own
    denied = find(context.others, DenySlot)
    assert denied is not None and denied.refusal.retry_after, context.others


@when("{seconds:g} s have gone by and the other has a read")
def send_later(context, seconds):
    context.daemon.now += seconds
    context.daemon.receive_heartbeat(context.peer)
    context.others = request_slot(context, 100_002)


@then("the other's read is granted the server")
def check_granted(context):
    assert find(context.others, GrantSlot) is not None, context.others


@when("its request is answered {status:d} with the retry time {value}")
def answer_with_time(context, status, value):
    call_id, _ = context.daemon.arrive()
    report = DIALECT.read_answer([(RETRY_AFTER, value.encode("ascii"))]).report
    context.daemon.run(
        messages.ServerAnswered(
            now=context.daemon.now,
            wall=context.daemon.now,
            call_id=call_id,
            server="i-1",
            status=status,
            ran=status != 503,
            report=report,
            stored_answer=None,
        )
    )


@then("i-1 {is_used} used 0.4 s later")
def check_used(context, is_used):
    context.daemon.now += 0.4
    assert (context.daemon.list_eligible() == ["i-1"]) == (is_used == "is")


@when("{count:d} random loads of such servers are run, from seed {seed:d}")
def run_random(context, count, seed):
    context.faults = {}
    for each in range(seed, seed + count):
        zones = draw_stated_zones(each)
        zones.run()
        if zones.faults or zones.refused_not_run & zones.ran:
            context.faults[each] = zones.faults[:3]


@then("no server was sent to after its drain time or in a pause that a daemon was told of")
def check_random(context):
    assert not context.faults, context.faults
