"""Steps on the decisions of a daemon that follows a keyed store."""

from __future__ import annotations

from behave import given, then, when
from subjects.store_daemon import StoreDaemon, find
from subjects.store_daemon_schedules import StoreDaemonSchedule

from dotterelgate_core import codes, messages
from dotterelgate_core.codes import Refusal
from dotterelgate_core.control_messages import Probe, ProbeEnded
from dotterelgate_core.loads import LoadReport
from dotterelgate_core.store_reading import (
    StoreReadEnded,
    StoreReadFailed,
)

TICK_SECONDS = 0.02
NOT_FULL = LoadReport(running=1, waiting=0, slots=3)
IDLE = LoadReport(running=0, waiting=0, slots=3)


@given("a daemon with version {version:d} in force")
def start_with_version(context, version):
    context.daemon = StoreDaemon()
    context.daemon.configure(version)


@when("version {version:d} is read")
def read_version(context, version):
    context.daemon.configure(version)


@then("version {version:d} is in force")
def check_version(context, version):
    assert context.daemon.state.configuration.current.revision == version


@given("a daemon with the entries {first} at {one:d} and {second} at {two:d}")
def start_with_entries(context, first, one, second, two):
    context.daemon = StoreDaemon()
    context.daemon.configure()
    context.daemon.register(first, offset=one)
    context.daemon.register(second, offset=two)


@given("a daemon with {count:d} entries")
def start_with_many(context, count):
    context.daemon = StoreDaemon()
    context.daemon.configure()
    for number in range(count):
        context.daemon.register(f"i-{number}", offset=number)


@given("a daemon with no entries")
def start_empty(context):
    context.daemon = StoreDaemon()
    context.daemon.configure()


@when("{name} reports at {offset:d} that it is leaving")
def report_leaving(context, name, offset):
    context.daemon.register(name, offset=offset, draining=True)


@when("the entry of {name} at {offset:d} is read late")
def read_late(context, name, offset):
    context.daemon.register(name, offset=offset)


@when("the entry of {name} is removed at {offset:d}")
def remove(context, name, offset):
    context.daemon.remove(name, offset=offset)


@when("the store was unavailable and answers again")
def restore_store(context):
    for _ in range(2):
        failed = StoreReadFailed(now=context.daemon.now, reason="no answer")
        context.daemon.run_control(failed)
    context.daemon.now += 1.0
    context.daemon.run_control(StoreReadEnded(now=context.daemon.now))


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    context.daemon.now += seconds
    context.daemon.tick()


@when("{name} is read again at {offset:d}")
def read_again(context, name, offset):
    context.daemon.register(name, offset=offset)


@given("{name} failed often")
def fail_often(context, name):
    server = context.daemon.state.servers.states[name]
    for _ in range(5):
        server.record_failure(context.daemon.now)
        server.view.update_failure_share(failed=True, now=context.daemon.now)


@when("{name} is read again at {offset:d} with a later start")
def read_restarted(context, name, offset):
    context.daemon.register(name, offset=offset, born=2)


@then("no failures are recorded for {name}")
def check_clean(context, name):
    server = context.daemon.state.servers.states[name]
    assert server.failures == 0 and server.view.failure_share == 0.0
    assert name in context.daemon.list_eligible()


@then("only {name} may get work")
def check_only(context, name):
    assert context.daemon.list_eligible() == [name], context.daemon.list_eligible()


@then("{first} and {second} may get work")
def check_both(context, first, second):
    assert context.daemon.list_eligible() == [first, second], context.daemon.list_eligible()


@given("a daemon whose split route sends {most:d} in 100 to a and {rest:d} to b")
def start_split(context, most, rest):
    context.daemon = StoreDaemon()
    context.daemon.configure(services=("a", "b"), split=(("a", most), ("b", rest)))
    context.daemon.register("i-a", offset=1, service="a", slots=200)
    context.daemon.register("i-b", offset=2, service="b", slots=200)


@when("{count:d} requests of the split route arrive")
def send_split(context, count):
    orders = [context.daemon.arrive("/split/x")[1] for _ in range(count)]
    context.sent = [find(each, messages.Dispatch).server.name for each in orders]


@then("between {low:d} and {high:d} of them went to a")
def check_shares(context, low, high):
    assert low <= context.sent.count("i-a") <= high, context.sent.count("i-a")


def fail(daemon, call_id, server, *, sent):
    """Break the connection of a dispatched request."""
    return daemon.run(
        messages.DispatchFailed(
            now=daemon.now,
            call_id=call_id,
            server=server,
            sent=sent,
            relay_started=False,
            refusal=Refusal(codes.ANSWER_LOST, "the connection broke"),
        )
    )


OUTCOMES = {
    "its connection breaks after it was sent": lambda daemon, call, server: fail(
        daemon, call, server, sent=True
    ),
    "its connection breaks before it was sent": lambda daemon, call, server: fail(
        daemon, call, server, sent=False
    ),
    "its backend server says not executed": lambda daemon, call, server: daemon.answer(
        call, server, status=503, ran=False, load=NOT_FULL
    ),
    "its backend server answers 500": lambda daemon, call, server: daemon.answer(
        call, server, status=500
    ),
}


@when("a {method} is dispatched and {outcome}")
def dispatch(context, method, outcome):
    call_id, orders = context.daemon.arrive(f"/{method}/x")
    context.first = find(orders, messages.Dispatch).server.name
    context.orders = OUTCOMES[outcome](context.daemon, call_id, context.first)


@then("the request is {end}")
def check_end(context, end):
    repeated = find(context.orders, messages.Dispatch)
    refused = find(context.orders, messages.RefuseCall)
    if end == "dispatched again":
        assert repeated is not None and repeated.server.name != context.first, context.orders
    elif end == "passed on":
        assert repeated is None and find(context.orders, messages.Relay), context.orders
    else:
        assert repeated is None and refused.refusal.code.status == 502, context.orders


@when("{count:d} reads are all rejected by backend servers that are not full")
def reject_all(context, count):
    context.further_attempts = 0
    context.refusals = []
    for _ in range(count):
        call_id, orders = context.daemon.arrive()
        dispatched = find(orders, messages.Dispatch)
        sent = 0
        while dispatched is not None:
            sent += 1
            name = dispatched.server.name
            orders = context.daemon.answer(call_id, name, status=503, ran=False, load=NOT_FULL)
            dispatched = find(orders, messages.Dispatch)
        context.further_attempts += max(0, sent - 1)
        context.refusals.append(find(orders, messages.RefuseCall).refusal)
        context.daemon.now += 0.01


@then("at most {count:d} of them were dispatched again")
def check_again(context, count):
    assert 0 < context.further_attempts <= count, context.further_attempts


@then("all refusals carry a retry time of at most a third of the time limit")
def check_retry_times(context):
    assert all(0 < each.retry_after <= 0.5 / 3 for each in context.refusals)
    assert {each.outcome.value for each in context.refusals} == {"not-run"}


@when("a read fails at each backend server that it is sent to")
def fail_everywhere(context):
    call_id, orders = context.daemon.arrive()
    context.count = 0
    while find(orders, messages.Dispatch) is not None:
        context.count += 1
        name = find(orders, messages.Dispatch).server.name
        orders = fail(context.daemon, call_id, name, sent=True)


@then("it reached {count:d} backend servers")
def check_count(context, count):
    assert context.count == count, context.count


@when("the callers of a read and a write disconnect after the dispatch")
def disconnect_both(context):
    context.orders_by_method = {}
    for method in ("read", "write"):
        call_id, _ = context.daemon.arrive(f"/{method}/x")
        disconnected = messages.CallerDisconnected(now=context.daemon.now, call_id=call_id)
        context.orders_by_method[method] = context.daemon.run(disconnected)


@then("the read is cancelled and the write is not")
def check_cancelled(context):
    assert find(context.orders_by_method["read"], messages.Cancel) is not None
    assert find(context.orders_by_method["write"], messages.Cancel) is None


@when("{count:d} reads arrive at once")
def arrive_at_once(context, count):
    context.refused = [find(context.daemon.arrive()[1], messages.RefuseCall) for _ in range(count)]


@then("each is refused with 503 at once")
def check_refused(context):
    assert {each.refusal.code.status for each in context.refused} == {503}


@then("their retry times differ by at least {spread:d} ms")
def check_spread(context, spread):
    times = [each.refusal.retry_after for each in context.refused]
    assert 1000 * (max(times) - min(times)) >= spread, times


def count_probes(context, seconds, rate):
    """Let time pass at a request rate; returns each backend server's number of probes."""
    daemon = context.daemon
    counts = dict.fromkeys(daemon.state.servers.states, 0)
    for step in range(round(seconds / TICK_SECONDS)):
        daemon.now += TICK_SECONDS
        if rate and step % round(1 / rate / TICK_SECONDS) == 0:
            call_id, orders = daemon.arrive()
            daemon.answer(call_id, find(orders, messages.Dispatch).server.name)
        for order in daemon.tick():
            if isinstance(order, Probe):
                counts[order.server.name] += 1
                daemon.run_control(
                    ProbeEnded(
                        now=daemon.now,
                        wall=daemon.now,
                        service="s",
                        server=order.server.name,
                        answered=True,
                        draining=False,
                        load=NOT_FULL,
                    )
                )
    return counts


@when("{seconds:d} s pass without requests")
def pass_idle(context, seconds):
    context.probes = count_probes(context, seconds, 0)


@when("{seconds:d} s pass with {rate:d} requests a second")
def pass_busy(context, seconds, rate):
    context.probes = count_probes(context, seconds, rate)


@then("each backend server was probed at most {count:d} times")
def check_idle(context, count):
    assert max(context.probes.values()) <= count, context.probes


@then("each backend server was probed between {low:d} and {high:d} times")
def check_busy(context, low, high):
    assert all(low <= count <= high for count in context.probes.values()), context.probes


@when("{count:d} random schedules are run, from seed {first:d}")
def run_schedules(context, count, first):
    seeds = range(first, first + count)
    context.faults = {seed: StoreDaemonSchedule(seed=seed).run() for seed in seeds}


@then("no write is sent twice or wrongly refused as not run, and no other guarantee is violated")
def check_schedules(context):
    found = {seed: faults for seed, faults in context.faults.items() if faults}
    assert not found, dict(list(found.items())[:5])


@given("every backend server reported that its neighbours slow it five times")
def report_slow(context):
    slow = LoadReport(running=0, waiting=0, slots=3, slowdown=5.0)
    for server in context.daemon.state.servers.states.values():
        server.view.apply_report(slow, 0, context.daemon.now)


@when("a read arrives and only time passes, for {milliseconds:d} ms")
def wait_without_messages(context, milliseconds):
    _, context.orders = context.daemon.arrive()
    assert find(context.orders, messages.Dispatch) is None, context.orders
    for _ in range(round(milliseconds / 1000 / TICK_SECONDS)):
        context.daemon.now += TICK_SECONDS
        context.orders.extend(context.daemon.tick())


@then("it was dispatched")
def check_dispatched(context):
    assert find(context.orders, messages.Dispatch) is not None, context.orders


def read_slowly(context, seconds, every):
    """Send and answer reads at an interval; returns the backend servers they went to."""
    daemon = context.daemon
    servers = []
    for _ in range(round(seconds / every)):
        call_id, orders = daemon.arrive()
        servers.append(find(orders, messages.Dispatch).server.name)
        daemon.now += every / 2
        daemon.answer(call_id, servers[-1], load=IDLE)
        daemon.now += every / 2
    return servers


@when("a read is answered every {every:d} ms for {seconds:d} s, then {name} joins at {offset:d}")
def join_at_low_load(context, every, seconds, name, offset):
    read_slowly(context, seconds, every / 1000)
    context.daemon.register(name, offset=offset)


@then("{name} gets one of the reads of the next {seconds:d} s")
def check_used(context, name, seconds):
    servers = read_slowly(context, seconds, 0.2)
    assert name in servers, servers


@when("a read is answered 500, sent again and rejected there")
def reject_second(context):
    daemon = context.daemon
    call_id, orders = daemon.arrive()
    first = find(orders, messages.Dispatch).server.name
    daemon.now += 0.05
    orders = daemon.answer(call_id, first, status=500, load=NOT_FULL)
    second = find(orders, messages.Dispatch).server.name
    daemon.now += 0.05
    context.orders = daemon.answer(call_id, second, status=503, ran=False, load=NOT_FULL)


@then("it is refused with 502 and an unknown outcome")
def check_unknown(context):
    refusal = find(context.orders, messages.RefuseCall).refusal
    assert refusal.code.status == 502, refusal
    assert refusal.outcome is codes.Outcome.UNKNOWN, refusal


@when("a read is answered 504 shortly before its time limit")
def answer_late(context):
    daemon = context.daemon
    call_id, orders = daemon.arrive(timeout=0.5)
    daemon.now += 0.49
    server = find(orders, messages.Dispatch).server.name
    context.orders = daemon.answer(call_id, server, status=504, load=NOT_FULL)


@then("that answer is relayed")
def check_relayed(context):
    assert find(context.orders, messages.Relay) is not None, context.orders
