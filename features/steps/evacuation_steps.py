"""Steps on evacuated zones."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when
from subjects.evacuations import EvacuatedReadingZones, EvacuatedZones, OperatorStore, evacuate
from subjects.large_zone import Follower
from subjects.store_daemon import StoreDaemon, find

from dotterelgate_border.datagrams import RegistryRequest, RegistryUpdate
from dotterelgate_core import codes, messages
from dotterelgate_core.configuration import Priority
from dotterelgate_core.evacuations.returning import select_in_step
from dotterelgate_core.slots import (
    DenySlot,
    RequestSlot,
    SlotGrant,
    SlotGranted,
    SlotRequest,
    SlotRequested,
)
from dotterelgate_core.unsent import FailUnsent
from dotterelgate_daemon.store import StoreRecord
from dotterelgate_daemon.unsent_attempts import fail_unsent

STORE_TOPIC = "keyed.op"
# A request that waits is refused after a quarter of its time limit, 500 ms here.
REFUSAL_MS = 300
FIRST_FALL = 3.0
FIRST_RETURN = 8.0


@given("a daemon that reads the operator's records, with a server in each of north, south and east")
def start_daemon(context):
    context.store = OperatorStore()
    context.daemon = context.store.daemon


@when("these happen: {events}")
def run_events(context, events):
    for event in events.split(", "):
        context.store.run(event)


@when("it learns in this order: {lists}")
def learn(context, lists):
    for each in lists.split(", "):
        position, zone = each.split()
        era, offset = position.split("/")
        evacuate(context.daemon, {zone} - {"none"}, int(offset), int(era))


@then("requests may go to {usable}")
def check_usable(context, usable):
    assert context.daemon.list_eligible() == usable.split(", "), context.daemon.list_eligible()


@given("two daemons that follow the registry, of which one reads that north is evacuated")
def read_at_one(context):
    context.followers = first, other = [Follower("front-1"), Follower("front-2")]
    for each in (first, other):
        each.list_all(["i-1"], end=1)
    first.mesh.sent.clear()
    record = StoreRecord(key="evacuate/north", offset=2, value=b"{}")
    first.configuration._reader._on_records([record])
    first.read([], end=3)


@then("its update takes the servers of north out of use at the other")
def check_update(context):
    first, other = context.followers
    context.update = next(each for each in first.mesh.sent if isinstance(each, RegistryUpdate))
    assert other.daemon.list_eligible() == ["i-1"]
    assert other.receive(context.update)
    assert other.daemon.list_eligible() == first.daemon.list_eligible() == []


@then("so does its reply to a daemon that starts and cannot read the store, before it uses any")
def check_reply(context):
    first, _ = context.followers
    first.mesh.sent.clear()
    first.follower.receive(RegistryRequest(sender="front-3", address="10.0.0.3:1"))
    third = Follower("front-3")
    for each in first.mesh.sent:
        third.receive(each)
    assert list(third.daemon.state.servers.states) == ["i-1"]
    assert third.daemon.list_eligible() == []
    kinds = [type(each).__name__ for each in third.emitted]
    assert kinds.index("EvacuationsRead") < kinds.index("RegistrationRead"), kinds


@then("an update of an earlier build, which names no zones, is not taken for a read of the store")
def check_old_update(context):
    old = RegistryUpdate(sender="front-9", start=0, end=4, returned_ms=-1, entries=[])
    assert not context.followers[1].receive(old)
    assert context.followers[1].daemon.list_eligible() == []


@given(
    "{zones:d} zones of {count:d} daemons that follow evacuations, "
    "where {loss:d} in 100 updates are lost"
)
def start_zones(context, zones, count, loss):
    context.zones = EvacuatedReadingZones(zones=zones, daemons=count, loss=loss / 100, seed=7)


@when("zones are evacuated and taken back every {every:g} s for {seconds:g} s")
def change_zones(context, every, seconds):
    context.zones.evacuation_lags.clear()
    context.zones.change_zones(every, seconds)


@then("no daemon that reaches the store or a peer was behind them for more than {longest:g} s")
def check_lags(context, longest):
    worst = max(context.zones.evacuation_lags)
    assert worst <= longest + 1e-6, worst


def make_busy_daemon(policy="shared_queue"):
    daemon = StoreDaemon(policy=policy)
    daemon.configure(timeout=2.0)
    daemon.register("i-1", offset=1, slots=1)
    daemon.running, _ = daemon.arrive(timeout=2.0)
    return daemon


@given("a daemon whose servers are all busy, with calls of each priority that wait")
def start_busy(context):
    context.daemon = daemon = make_busy_daemon()
    context.waiting = {}
    for priority in Priority:
        current = daemon.state.configuration.current
        service = current.services[0]
        routes = (replace(service.routes[0], priority=priority), *service.routes[1:])
        services = (replace(service, routes=routes), *current.services[1:])
        daemon.state.configuration.adopt(
            replace(current, revision=current.revision + 1, services=services)
        )
        daemon.next_id = 16 * (1 + priority)
        call_id, orders = daemon.arrive(timeout=2.0)
        assert not find(orders, messages.RefuseCall), orders
        context.waiting[call_id] = priority


@when("all zones are evacuated")
def evacuate_all(context):
    context.orders = evacuate(context.daemon, {"north"}, 1)


@then("each call is refused at once as not run, and its time to retry follows its priority")
def check_refused(context):
    refusals = [each for each in context.orders if isinstance(each, messages.RefuseCall)]
    assert {each.call_id for each in refusals} == set(context.waiting), context.orders
    assert {each.refusal.code for each in refusals} == {codes.NO_SERVER}
    after = {context.waiting[each.call_id]: each.refusal.retry_after for each in refusals}
    assert 0 < after[Priority.HIGH] < after[Priority.NORMAL] < after[Priority.LOW] <= 0.6, after


@then("so is a new call, a call for another daemon, and one that comes back from its server")
def check_later(context):
    daemon = context.daemon
    _, orders = daemon.arrive(timeout=2.0)
    assert find(orders, messages.RefuseCall).refusal.code is codes.NO_SERVER, orders
    request = SlotRequest(
        call_id=900, request_id="r", service="s", route="/read/", work=0.1, waited=0, remaining=1
    )
    requested = SlotRequested(now=daemon.now, wall=0.0, requester="front-2", request=request)
    assert find(daemon.run(requested), DenySlot).refusal.code is codes.NO_SERVER
    other = make_busy_daemon()
    evacuate(other, {"north"}, 1)
    orders = other.answer(other.running, "i-1", status=503, ran=False)
    assert find(orders, messages.RefuseCall), orders


@then("calls in progress end with their answers")
def check_progress(context):
    orders = context.daemon.answer(context.daemon.running, "i-1")
    assert find(orders, messages.Relay), orders


@given("a daemon that waits for a grant of its owner")
def wait_for_grant(context):
    context.daemon = daemon = StoreDaemon(policy="granted_queue", name="front-1")
    daemon.configure()
    daemon.register("i-1", offset=1)
    daemon.register("i-2", offset=2, zone="south")
    daemon.receive_heartbeat("front-2")
    daemon.receive_heartbeat("front-3")
    daemon.receive_heartbeat("front-4")
    daemon.tick()
    context.call_id, orders = daemon.arrive()
    context.owner = find(orders, RequestSlot).owner


@when("the zone of the server that the owner grants is evacuated here")
def evacuate_granted(context):
    evacuate(context.daemon, {"south"}, 1)
    granted = SlotGranted(
        now=context.daemon.now,
        owner=context.owner,
        call_id=context.call_id,
        grant=SlotGrant(server="i-2"),
    )
    context.orders = context.daemon.run(granted)


@then("the daemon asks for another server and sends nothing")
def check_asked(context):
    assert find(context.orders, RequestSlot).request.avoided == ("i-2",), context.orders
    assert not find(context.orders, messages.Dispatch)


@given("a daemon with a call in progress at a server of north, and another server in south")
def start_call(context):
    context.daemon = daemon = StoreDaemon()
    daemon.configure()
    daemon.register("i-1", offset=1)
    context.call_id, orders = daemon.arrive("/write/x")
    assert find(orders, messages.Dispatch).server.name == "i-1", orders
    daemon.register("i-2", offset=2, zone="south")


@when("north is evacuated before the connection of the call is established")
def evacuate_connecting(context):
    context.order = find(evacuate(context.daemon, {"north"}, 1), FailUnsent)


def fail_exchange(context, stream):
    """Carry out the order; returns the names of servers to which the call goes then."""
    dispatched = []

    def fail(refusal):
        failed = messages.DispatchFailed(
            now=context.daemon.now,
            call_id=context.call_id,
            server="i-1",
            sent=False,
            relay_started=False,
            refusal=refusal,
        )
        orders = context.daemon.run(failed)
        dispatched.append(find(orders, messages.Dispatch).server.name)

    exchange = SimpleNamespace(stream=stream, fail=fail)
    call = SimpleNamespace(attempts={"i-1": SimpleNamespace(exchange=exchange)})
    pending = {context.call_id: call}
    fail_unsent(SimpleNamespace(pending=pending), context.order)
    return dispatched


@then("the call fails unsent and goes to south")
def check_moved(context):
    assert fail_exchange(context, None) == ["i-2"]


@then("it stays in north where the connection was established before")
def check_stays(context):
    assert fail_exchange(context, object()) == []


def list_north(context):
    servers = context.daemon.state.servers.states.values()
    return [each for each in servers if each.server.zone == "north"]


def count_allowed(context, servers):
    """Count the requests that may begin at servers of north, one after the other."""
    begun = 0
    while True:
        allowed = select_in_step(servers, context.daemon.now)
        free = [each for each in allowed if each.server.zone == "north" and each.count_free() > 0]
        if not free:
            break
        free[0].in_flight += 1
        begun += 1
    for each in servers:
        each.in_flight = 0
    return begun


@given("a daemon with {count:d} servers of {slots:d} slots in north and {others:d} in south")
def start_pool(context, count, slots, others):
    context.daemon = StoreDaemon()
    context.daemon.configure()
    for number in range(count + others):
        zone = "north" if number < count else "south"
        context.daemon.register(f"i-{number}", offset=number, slots=slots, zone=zone)
    context.slots = slots * count


@when("north is evacuated and taken back")
def evacuate_and_return(context):
    evacuate(context.daemon, {"north"}, 1)
    context.daemon.now += 5.0
    evacuate(context.daemon, (), 2)


@then("at most {more:d} more requests than 1 in {part:d} of its servers begin there at once")
def check_first_step(context, more, part):
    pool = list(context.daemon.state.servers.states.values())
    begun = count_allowed(context, pool)
    assert begun <= len(list_north(context)) / part + more, begun


@then("the slots that may be used there only rise, to all of them within {seconds:d} s")
def check_steps(context, seconds):
    pool = list(context.daemon.state.servers.states.values())
    before = context.daemon.now
    counts = []
    for _ in range(seconds * 4 + 1):
        counts.append(count_allowed(context, pool))
        context.daemon.now += 0.25
    context.daemon.now = before
    assert counts == sorted(counts), counts
    assert counts[-1] == context.slots, counts


@then("all slots may be used at once where north is all that is left")
def check_only(context):
    assert count_allowed(context, list_north(context)) == context.slots


@given("{zones:d} zones of {count:d} daemons under {rate:d} requests a second, each with 3 servers")
def start_load(context, zones, count, rate):
    context.load = EvacuatedZones(
        policy="granted_queue",
        seed=1,
        rate=lambda second: rate,
        zones=zones,
        daemons=zones * count,
        servers=zones * 3,
        work=0.05,
        seconds=24.0,
    )


@when("zone-0 is evacuated from 3 s to 8 s, learned within {spread:g} s")
def run_load(context, spread):
    context.load.spread = spread
    context.load.run()


@then("its servers get nothing from {spread:g} s after that until it is taken back")
def check_empty(context, spread):
    # What was dispatched before arrives a step later.
    begin = FIRST_FALL + spread + 0.01
    starts = context.load.list_starts(begin, FIRST_RETURN, zone=0)
    assert not starts, (len(starts), starts[:3])


@then("no server of the other zones gets more than half of their requests in any 1 s")
def check_peak(context):
    largest = context.load.find_largest_share(FIRST_FALL, FIRST_RETURN)
    assert largest <= 0.5, largest


@then("at least {share:d} in 100 requests are served")
def check_served(context, share):
    load = context.load
    assert load.in_target + load.late >= share / 100 * load.requests, (
        load.requests,
        load.in_target,
        load.late,
        load.refused,
        load.lost,
    )


@then("the servers of zone-0 get at least {share:d} in 100 of the requests from {begin:d} s on")
def check_used(context, share, begin):
    load = context.load
    got = [len(load.list_starts(begin, load.seconds, zone=zone)) for zone in range(load.zones)]
    assert got[0] >= share / 100 * sum(got), got
