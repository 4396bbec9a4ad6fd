"""Steps on second attempts of slow requests."""

from __future__ import annotations

from behave import given, then, when
from subjects.hedged_zone import HedgedZone
from subjects.hedging import OWNER, HedgingDaemon
from subjects.hedging_processes import DAEMONS, HedgingPlatform
from subjects.hedging_schedules import run_schedules

from dotterelgate_bench.fleet import wait_until
from dotterelgate_core.hedging.second_attempts import SecondResult
from dotterelgate_core.slots import GrantSlot, RequestSlot

REQUESTS = {
    "a read": {},
    "a write": {"path": "/write/x"},
    "a read in parts": {"streamed": True},
    "a read that is retried upstream": {"retried": True},
    "a read with 70 ms left": {"timeout": 0.07},
}
SETTINGS = {
    "as usual": {},
    "and allows 1 attempt": {"attempts": 1},
    "and allows 2 attempts": {"attempts": 2},
    "and allows 3 attempts": {"attempts": 3},
    "with a share of 0": {"share": 0.0},
    "and knows 10 answers": {"learned": 10},
    "where 90 in 100 slots must be free": {"slots": 0.9},
    "where no slots must be free": {"slots": 0.0},
}
# Most cases are about two attempts; a third would hide how they ended.
TWO_ATTEMPTS = {"attempts": 2}


@given("a daemon that starts second attempts")
def make_daemon(context):
    make_daemon_with(context, "as usual")


@given("a daemon that starts second attempts {setting}")
def make_daemon_with(context, setting):
    context.hedging = HedgingDaemon(**{**TWO_ATTEMPTS, **SETTINGS[setting]})


@given("a daemon that asks an owner for second attempts")
def make_asker(context):
    context.hedging = HedgingDaemon(owner=OWNER, attempts=3)


@when("{request} is sent and {events}")
def send(context, request, events):
    context.before = context.hedging.read_tokens()
    context.hedging.send(**{"identity": 5, **REQUESTS[request]})
    for event in events.split(", "):
        context.hedging.do(event)


@then("the caller gets {outcome}, and {cancelled} is cancelled")
def check_outcome(context, outcome, cancelled):
    hedging = context.hedging
    assert hedging.list_outcomes() == [outcome], hedging.orders
    places = {"nothing": [], "both": ["first", "second"]}.get(cancelled, [cancelled])
    expected = [{"first": hedging.first, "second": hedging.second}[each] for each in places]
    assert hedging.list_cancelled() == expected, (hedging.list_cancelled(), expected)


@then("of second attempts it counts {counts}")
def check_counts(context, counts):
    expected = [] if counts == "nothing" else counts.split()
    assert context.hedging.list_counted() == expected, context.hedging.list_counted()


@then("it has no request at any backend server")
def check_slots(context):
    context.hedging.finish()
    assert context.hedging.count_in_flight() == 0


@then("it is sent to {count:d} backend server")
@then("it is sent to {count:d} backend servers")
def check_dispatched(context, count):
    servers = context.hedging.list_dispatched()
    assert len(servers) == len(set(servers)) == count, servers


@then("the read is sent to {servers} and the caller gets {outcome}")
def check_owner_outcome(context, servers, outcome):
    hedging = context.hedging
    assert hedging.list_dispatched() == servers.split(), hedging.list_dispatched()
    assert hedging.list_outcomes() == [outcome], hedging.list_outcomes()


@then("the budgets are as before less {spent:d}")
def check_budgets(context, spent):
    now = context.hedging.read_tokens()
    # The read itself earns its share, up to the burst.
    assert all(a <= b - spent + 0.21 for a, b in zip(now, context.before, strict=True)), now
    assert all(a >= b - spent for a, b in zip(now, context.before, strict=True)), now


@then("no budget is spent")
def check_unspent(context):
    assert context.hedging.read_tokens() == context.hedging.tokens_when_slow


@then("the read waits for the owner's answer to its retry")
def check_retry(context):
    hedging = context.hedging
    requests = [each for each in hedging.orders if isinstance(each, RequestSlot)]
    assert not requests[-1].request.only_free
    assert not hedging.list_outcomes()
    assert hedging.daemon.state.calls.states[hedging.call_id].queued


@then("it answers a peer's request for a second attempt with {answer}")
def check_owner(context, answer):
    reply = context.hedging.request_free()
    if answer == "a grant":
        assert isinstance(reply, GrantSlot) and reply.grant.server != "i-0", reply
    else:
        assert reply.refusal.code.name == answer, reply
    calls = context.hedging.daemon.state.calls.states
    assert all(each.requester is None for each in calls.values())


@given("{daemons:d} daemons of a zone under {rate:d} requests a second, seed {seed:d}")
def set_load(context, daemons, rate, seed):
    context.load = {"daemons": daemons, "rate": lambda _: rate, "seed": seed, "seconds": 30.0}


@when("they run without second attempts and with a share of {share:g}")
def run_load(context, share):
    context.without = HedgedZone(share=0.0, **context.load).run()
    context.hedged = HedgedZone(share=share, **context.load).run()


@then("the slowest hundredth of the answers is faster with them")
def compare_slowest(context):
    before, after = (each.find_percentile(0.99) for each in (context.without, context.hedged))
    assert after < before, (after, before)


@then("there are at most {share:g} second attempts for each request")
def check_share(context, share):
    started = context.hedged.counts["started"]
    assert 0 < started <= share * context.hedged.first_attempts, started


@given("{servers:d} backend servers and 2 daemons that start second attempts")
def start_platform(context, servers):
    context.hedging = HedgingPlatform(servers=servers)
    context.cleanups.append(context.hedging.stop)
    context.hedging.start()


@given("{count:d} usual reads went through each")
def send_usual(context, count):
    context.hedging.send_usual(count)


@when("reads go through each daemon until {server} has left one without an answer")
def send_until_silent(context, server):
    context.hedging.send_until_silent(server)


@then("all of them were answered by a backend server")
def check_answered(context):
    assert set(context.hedging.statuses) == {200}, context.hedging.statuses


@then("the connections without an answer are closed")
def check_closed(context):
    wait_until(context.hedging.are_closed, seconds=3, what="the connections are closed")


@then("log lines and metrics show the second attempts that answered them")
def check_shown(context):
    wait_until(context.hedging.is_logged, seconds=3, what="the log lines are written")
    for name in DAEMONS:
        assert context.hedging.read_count(name, "started") >= 1
        assert context.hedging.read_count(name, "won") >= 1


@when("random schedules of slow reads and writes are run")
def run_random_schedules(context):
    # Raises at the first call with too many attempts or answers, write sent again, slot that is
    # not released, or budget exceeded.
    context.counts = run_schedules()


@then("at least {count:d} second attempts of each result were counted")
def check_schedules(context, count):
    assert all(context.counts[each] >= count for each in SecondResult), context.counts
