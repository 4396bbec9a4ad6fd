"""Steps on the decisions of a daemon that follows a keyed store."""

from __future__ import annotations

from behave import given, then, when
from subjects.front import Front, find
from subjects.front_schedules import FrontSchedule

from dotterelgate_core import codes, messages
from dotterelgate_core.codes import Refusal
from dotterelgate_core.control_messages import Probe, ProbeEnded
from dotterelgate_core.loads import LoadReport
from dotterelgate_core.store_reading import (
    RegistryReadEnded,
    RegistryReadFailed,
)

TICK_SECONDS = 0.02
NOT_FULL = LoadReport(running=1, waiting=0, slots=3)
IDLE = LoadReport(running=0, waiting=0, slots=3)


@given("a front with version {version:d} in force")
def start_with_version(context, version):
    context.front = Front()
    context.front.configure(version)


@when("version {version:d} is read")
def read_version(context, version):
    context.front.configure(version)


@then("version {version:d} is in force")
def check_version(context, version):
    assert context.front.state.configuration.current.revision == version


@given("a front with the entries {first} at {one:d} and {second} at {two:d}")
def start_with_entries(context, first, one, second, two):
    context.front = Front()
    context.front.configure()
    context.front.register(first, offset=one)
    context.front.register(second, offset=two)


@given("a front with {count:d} entries")
def start_with_many(context, count):
    context.front = Front()
    context.front.configure()
    for number in range(count):
        context.front.register(f"i-{number}", offset=number)


@given("a front with no entries")
def start_empty(context):
    context.front = Front()
    context.front.configure()


@when("{name} says at {offset:d} that it leaves")
def leave(context, name, offset):
    context.front.register(name, offset=offset, draining=True)


@when("the entry of {name} at {offset:d} is read late")
def read_late(context, name, offset):
    context.front.register(name, offset=offset)


@when("the entry of {name} is removed at {offset:d}")
def remove(context, name, offset):
    context.front.remove(name, offset=offset)


@when("the store was away and returns")
def return_store(context):
    for _ in range(2):
        failed = RegistryReadFailed(now=context.front.now, reason="no answer")
        context.front.tell(failed)
    context.front.now += 1.0
    context.front.tell(RegistryReadEnded(now=context.front.now))


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    context.front.now += seconds
    context.front.tick()


@when("{name} is read again at {offset:d}")
def read_again(context, name, offset):
    context.front.register(name, offset=offset)


@given("{name} failed often")
def fail_often(context, name):
    server = context.front.state.servers.states[name]
    for _ in range(5):
        server.note_failure(context.front.now)
        server.view.note_outcome(failed=True, now=context.front.now)


@when("{name} is read again at {offset:d} with a later start")
def read_restarted(context, name, offset):
    context.front.register(name, offset=offset, born=2)


@then("nothing is held against {name}")
def check_clean(context, name):
    server = context.front.state.servers.states[name]
    assert server.failures == 0 and server.view.failure_share == 0.0
    assert name in context.front.names()


@then("only {name} may get work")
def check_only(context, name):
    assert context.front.names() == [name], context.front.names()


@then("{first} and {second} may get work")
def check_both(context, first, second):
    assert context.front.names() == [first, second], context.front.names()


@given("a front whose split route sends {most:d} in 100 to a and {rest:d} to b")
def start_split(context, most, rest):
    context.front = Front()
    context.front.configure(services=("a", "b"), split=(("a", most), ("b", rest)))
    context.front.register("i-a", offset=1, service="a", slots=200)
    context.front.register("i-b", offset=2, service="b", slots=200)


@when("{count:d} requests of the split route come")
def send_split(context, count):
    orders = [context.front.arrive("/split/x")[1] for _ in range(count)]
    context.sent = [find(each, messages.Dispatch).server.name for each in orders]


@then("between {low:d} and {high:d} of them went to a")
def check_shares(context, low, high):
    assert low <= context.sent.count("i-a") <= high, context.sent.count("i-a")


def fail(front, call_id, server, *, sent):
    """Break the connection of a dispatched request."""
    return front.run(
        messages.DispatchFailed(
            now=front.now,
            call_id=call_id,
            server=server,
            sent=sent,
            relay_started=False,
            refusal=Refusal(codes.ANSWER_LOST, "the connection broke"),
        )
    )


OUTCOMES = {
    "its connection breaks after it was sent": lambda front, call, server: fail(
        front, call, server, sent=True
    ),
    "its connection breaks before it was sent": lambda front, call, server: fail(
        front, call, server, sent=False
    ),
    "its backend server says not executed": lambda front, call, server: front.answer(
        call, server, status=503, ran=False, load=NOT_FULL
    ),
    "its backend server answers 500": lambda front, call, server: front.answer(
        call, server, status=500
    ),
}


@when("a {method} is dispatched and {outcome}")
def dispatch(context, method, outcome):
    call_id, orders = context.front.arrive(f"/{method}/x")
    context.first = find(orders, messages.Dispatch).server.name
    context.orders = OUTCOMES[outcome](context.front, call_id, context.first)


@then("the request is {end}")
def check_end(context, end):
    again = find(context.orders, messages.Dispatch)
    refused = find(context.orders, messages.RefuseCall)
    if end == "dispatched again":
        assert again is not None and again.server.name != context.first, context.orders
    elif end == "passed on":
        assert again is None and find(context.orders, messages.Relay), context.orders
    else:
        assert again is None and refused.refusal.code.status == 502, context.orders


@when("{count:d} reads are all rejected by backend servers that are not full")
def reject_all(context, count):
    context.again = 0
    context.refusals = []
    for _ in range(count):
        call_id, orders = context.front.arrive()
        dispatched = find(orders, messages.Dispatch)
        sent = 0
        while dispatched is not None:
            sent += 1
            name = dispatched.server.name
            orders = context.front.answer(call_id, name, status=503, ran=False, load=NOT_FULL)
            dispatched = find(orders, messages.Dispatch)
        context.again += max(0, sent - 1)
        context.refusals.append(find(orders, messages.RefuseCall).refusal)
        context.front.now += 0.01


@then("at most {count:d} of them were sent again")
def check_again(context, count):
    assert 0 < context.again <= count, context.again


@then("all that are refused are told when to come back, at most a third of their time later")
def check_advice(context):
    assert all(0 < each.retry_after <= 0.5 / 3 for each in context.refusals)
    assert {each.outcome.value for each in context.refusals} == {"not-run"}


@when("a read fails at each backend server that it is sent to")
def fail_everywhere(context):
    call_id, orders = context.front.arrive()
    context.count = 0
    while find(orders, messages.Dispatch) is not None:
        context.count += 1
        name = find(orders, messages.Dispatch).server.name
        orders = fail(context.front, call_id, name, sent=True)


@then("it reached {count:d} backend servers")
def check_count(context, count):
    assert context.count == count, context.count


@when("the callers of a read and a write leave after the dispatch")
def leave_both(context):
    context.left = {}
    for method in ("read", "write"):
        call_id, _ = context.front.arrive(f"/{method}/x")
        left = messages.CallerDisconnected(now=context.front.now, call_id=call_id)
        context.left[method] = context.front.run(left)


@then("the read is cancelled and the write is not")
def check_cancelled(context):
    assert find(context.left["read"], messages.Cancel) is not None
    assert find(context.left["write"], messages.Cancel) is None


@when("{count:d} reads come at once")
def come_at_once(context, count):
    context.refused = [find(context.front.arrive()[1], messages.RefuseCall) for _ in range(count)]


@then("each is refused with 503 at once")
def check_refused(context):
    assert {each.refusal.code.status for each in context.refused} == {503}


@then("their times to come back differ by at least {spread:d} ms")
def check_spread(context, spread):
    times = [each.refusal.retry_after for each in context.refused]
    assert 1000 * (max(times) - min(times)) >= spread, times


def count_probes(context, seconds, rate):
    """Let time pass at a request rate; returns each backend server's number of probes."""
    front = context.front
    counts = dict.fromkeys(front.state.servers.states, 0)
    for step in range(round(seconds / TICK_SECONDS)):
        front.now += TICK_SECONDS
        if rate and step % round(1 / rate / TICK_SECONDS) == 0:
            call_id, orders = front.arrive()
            front.answer(call_id, find(orders, messages.Dispatch).server.name)
        for order in front.tick():
            if isinstance(order, Probe):
                counts[order.server.name] += 1
                front.tell(
                    ProbeEnded(
                        now=front.now,
                        wall=front.now,
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
    context.faults = {seed: FrontSchedule(seed=seed).run() for seed in seeds}


@then("no write is sent twice or told not run wrongly, and nothing goes where it must not")
def check_schedules(context):
    found = {seed: faults for seed, faults in context.faults.items() if faults}
    assert not found, dict(list(found.items())[:5])


@given("every backend server reported that its neighbours slow it five times")
def report_slow(context):
    slow = LoadReport(running=0, waiting=0, slots=3, slowdown=5.0)
    for server in context.front.state.servers.states.values():
        server.view.note_report(slow, 0, context.front.now)


@when("a read comes and only time passes, for {milliseconds:d} ms")
def wait_without_news(context, milliseconds):
    _, context.orders = context.front.arrive()
    assert find(context.orders, messages.Dispatch) is None, context.orders
    for _ in range(round(milliseconds / 1000 / TICK_SECONDS)):
        context.front.now += TICK_SECONDS
        context.orders.extend(context.front.tick())


@then("it was dispatched")
def check_dispatched(context):
    assert find(context.orders, messages.Dispatch) is not None, context.orders


def read_slowly(context, seconds, every):
    """Send and answer reads at an interval; returns the backend servers they went to."""
    front = context.front
    went = []
    for _ in range(round(seconds / every)):
        call_id, orders = front.arrive()
        went.append(find(orders, messages.Dispatch).server.name)
        front.now += every / 2
        front.answer(call_id, went[-1], load=IDLE)
        front.now += every / 2
    return went


@when("a read is answered every {every:d} ms for {seconds:d} s, then {name} joins at {offset:d}")
def join_at_low_load(context, every, seconds, name, offset):
    read_slowly(context, seconds, every / 1000)
    context.front.register(name, offset=offset)


@then("{name} gets one of the reads of the next {seconds:d} s")
def check_used(context, name, seconds):
    went = read_slowly(context, seconds, 0.2)
    assert name in went, went


@when("a read is answered 500, sent again and rejected there")
def reject_second(context):
    front = context.front
    call_id, orders = front.arrive()
    first = find(orders, messages.Dispatch).server.name
    front.now += 0.05
    orders = front.answer(call_id, first, status=500, load=NOT_FULL)
    second = find(orders, messages.Dispatch).server.name
    front.now += 0.05
    context.orders = front.answer(call_id, second, status=503, ran=False, load=NOT_FULL)


@then("it is refused with 502 and an unknown outcome")
def check_unknown(context):
    refusal = find(context.orders, messages.RefuseCall).refusal
    assert refusal.code.status == 502, refusal
    assert refusal.outcome is codes.Outcome.UNKNOWN, refusal


@when("a read is answered 504 shortly before its time limit")
def answer_late(context):
    front = context.front
    call_id, orders = front.arrive(timeout=0.5)
    front.now += 0.49
    server = find(orders, messages.Dispatch).server.name
    context.orders = front.answer(call_id, server, status=504, load=NOT_FULL)


@then("that answer is passed on")
def check_passed_on(context):
    assert find(context.orders, messages.Relay) is not None, context.orders
