"""Steps on quotas of organisations."""

from __future__ import annotations

import re
from concurrent.futures import ThreadPoolExecutor

import httpx
from behave import given, then, when
from hypothesis import given as given_drawn
from hypothesis import seed as with_seed
from hypothesis import settings
from hypothesis import strategies as st
from subjects.quota_zones import QuotaZones, rank_organisations

from dotterelgate_core import messages
from dotterelgate_core.allowances.messages import BorrowTokens

USUAL = 0.62
EXCESS = 5.7
TOTAL_PER_SECOND = 460
FULL_SECONDS = 5.0
LOAD_SECONDS = 6.0
TROUBLE_SECONDS = 6.0
RETURN_SECONDS = 9.0

TROUBLES = {
    "nothing else happens": lambda zones: None,
    "5 in 100 datagrams are lost": lambda zones: setattr(zones, "loss", 0.05),
    "callers move to another zone every 0.7 s": lambda zones: setattr(
        zones, "choose_zone", lambda second: f"zone-{int(second / 0.7) % zones.zones}"
    ),
    "a lender of the largest organisation is killed": lambda zones: zones.at(
        TROUBLE_SECONDS, lambda: zones.kill(zones.find_lender("o-1"))
    ),
    "all lenders of the largest organisation are killed": lambda zones: [
        zones.at(TROUBLE_SECONDS, lambda n=number: zones.kill(zones.find_lender("o-1", n)))
        for number in range(zones.zones)
    ],
    "a third of the daemons are killed and restarted": lambda zones: [
        zones.at(second, lambda c=change, n=number: c(f"front-{n}"))
        for second, change in ((TROUBLE_SECONDS, zones.kill), (RETURN_SECONDS, zones.restart))
        for number in range(0, zones.daemons, zones.zones)
    ],
    "all daemons stop one after the other": lambda zones: [
        zones.at(TROUBLE_SECONDS + number * 0.1, lambda n=f"front-{number}": zones.stop(n))
        for number in range(zones.daemons)
    ],
    "all quotas are lowered to a quarter": lambda zones: zones.at(
        TROUBLE_SECONDS, lambda: zones.lower(0.25)
    ),
    "all zones are cut off from each other": lambda zones: zones.at(
        TROUBLE_SECONDS, zones.divide_zones
    ),
    "all daemons are cut off from each other": lambda zones: zones.at(
        TROUBLE_SECONDS, lambda: zones.divide({name: name for name in zones.running})
    ),
}


@given(
    "{daemons:d} daemons in {zones:d} zones with {count:d} organisations, at 0.62 of their quotas"
)
def make_zones(context, daemons, zones, count):
    context.zones = QuotaZones(
        quotas=rank_organisations(count, TOTAL_PER_SECOND),
        load={"all": USUAL},
        daemons=daemons,
        zones=zones,
        first_call=FULL_SECONDS,
        seconds=FULL_SECONDS + LOAD_SECONDS,
    )


@given("the organisation {name} sends 5.7 times as much")
def add_excess(context, name):
    context.zones.load[name] = EXCESS * USUAL


@given("all of them send 5.7 times as much")
def add_excess_of_all(context):
    context.zones.load["all"] = EXCESS * USUAL


@when("their callers send, and {trouble}")
def run_zones(context, trouble):
    TROUBLES[trouble](context.zones)
    context.zones.run()


@then("no organisation got more than its quota allows in any window")
def check_bound(context):
    assert not context.zones.list_excess(), context.zones.list_excess()


@then("no call of {whose} is refused that its quota has room for")
def check_not_refused(context, whose):
    excepted = whose.partition(" but ")[2]
    refused = {
        name: count
        for name, count in context.zones.count_wrongly_refused().items()
        if name != excepted
    }
    assert not refused, refused


@then("at least {percent:d} in 100 calls pass")
def check_passed(context, percent):
    passed = [each for calls in context.zones.offered.values() for _, each in calls]
    assert 100 * sum(passed) >= percent * len(passed), f"{sum(passed)} of {len(passed)}"


@then("{name} gets at least {percent:d} in 100 of its quota")
def check_use(context, name, percent):
    assert 100 * context.zones.compute_use(name) >= percent, context.zones.compute_use(name)


@then("no call waits longer than {limit:d} ms for its token")
def check_waits(context, limit):
    assert context.zones.longest_wait * 1000 <= limit, context.zones.longest_wait


@then("refused callers are told a time between 0 and {seconds:g} s, not all the same")
def check_retry_after(context, seconds):
    values = context.zones.retry_after
    assert len(set(values)) > len(values) / 4, f"{len(set(values))} of {len(values)}"
    assert all(0 < each <= seconds for each in values), (min(values), max(values))


NAMES = st.integers(0, 5).map(lambda number: f"front-{number}")
EVENTS = st.lists(
    st.tuples(
        st.floats(0.5, 11.0),
        st.one_of(
            st.tuples(st.just("kill"), NAMES),
            st.tuples(st.just("restart"), NAMES),
            st.tuples(st.just("divide"), st.lists(st.integers(0, 2), min_size=6, max_size=6)),
            st.tuples(st.just("divide"), st.just([])),
        ),
    ),
    max_size=8,
)


def draw_schedule(drawn):
    """Build a run of six daemons from drawn events."""
    zones = QuotaZones(
        quotas={"calm": (12.0, 6.0), "large": (30.0, 20.0), "bursty": (4.0, 80.0)},
        load={"calm": USUAL, "large": EXCESS * USUAL, "bursty": 10.0},
        daemons=6,
        zones=drawn["zones"],
        loss=drawn["loss"],
        seed=drawn["seed"],
        seconds=12.0,
    )
    for second, (kind, value) in drawn["events"]:
        if kind == "divide":
            value = {f"front-{number}": group for number, group in enumerate(value)}
        zones.at(second, lambda z=zones, k=kind, v=value: getattr(z, k)(v))
    return zones


@when("{count:d} drawn schedules are run, from seed {seed:d}")
def run_schedules(context, count, seed):
    drawn = st.fixed_dictionaries(
        {
            "zones": st.integers(1, 3),
            "loss": st.sampled_from((0.0, 0.05, 0.3)),
            "seed": st.integers(0, 10**6),
            "events": EVENTS,
        }
    )

    @with_seed(seed)
    @settings(max_examples=count, deadline=None, database=None, print_blob=True)
    @given_drawn(drawn)
    def check(schedule):
        zones = draw_schedule(schedule).run()
        assert not zones.list_excess(), zones.list_excess()
        assert zones.longest_wait <= 0.13, zones.longest_wait
        if not schedule["events"] and schedule["loss"] < 0.3:
            refused = zones.count_wrongly_refused()
            assert not refused.get("calm"), refused

    context.check = check


@then("both bounds hold in all of them")
def check_schedules(context):
    context.check()


@given("a call that waits for the answer of another daemon, whose quota has one token")
def make_waiting(context):
    context.zones = QuotaZones(quotas={"one": (0.01, 1.0)}, load={}, daemons=2, zones=2)
    context.zones.seconds = 1.0
    context.zones.run()
    context.name, context.daemon = next(
        (name, each) for name, each in context.zones.running.items() if name.endswith("1")
    )
    # The own zone's token is used up, so the call asks the other zone's lender.
    context.orders = [*context.zones.send("one", context.name)]
    context.orders = [*context.zones.send("one", context.name)]
    assert any(isinstance(each, BorrowTokens) for each in context.orders), context.orders


@when("its {event} while it waits")
def end_waiting(context, event):
    daemon, now = context.daemon, context.zones.now
    if event == "caller leaves":
        call_id = daemon.next_id
        orders = daemon.run(messages.CallerDisconnected(now=now, call_id=call_id))
    else:
        orders = daemon.run(messages.Ticked(now=now + 3.0))
    context.orders = [*orders, *daemon.run(messages.Ticked(now=now + 3.1))]


@then("it ends as {kind}, and asks no further lender")
def check_ended(context, kind):
    kinds = {type(each).__name__ for each in context.orders}
    assert kind in kinds and "BorrowTokens" not in kinds, context.orders
    assert not context.daemon.state.quotas.pending and not context.daemon.state.calls.states


@given("a call with the only token of its quota, sent to one of two servers")
def send_only(context):
    context.zones = QuotaZones(quotas={"one": (0.01, 1.0)}, load={}, daemons=1, zones=1)
    context.zones.seconds = 1.0
    context.zones.run()
    context.daemon = context.zones.running["front-0"]
    context.daemon.state.quotas.lent.clear()
    context.zones.add_server("front-0", "i-2")
    context.orders = context.zones.send("one", "front-0")


@when("the server says that it did not run it")
def reject(context):
    sent = next(each for each in context.orders if isinstance(each, messages.Dispatch))
    call_id, server = sent.call_id, sent.server.name
    context.orders = context.daemon.answer(call_id, server, status=503, ran=False)


@then("it is sent to the other server without a further token")
def check_repeated(context):
    assert any(isinstance(each, messages.Dispatch) for each in context.orders), context.orders


TENANTS = [
    {"name": "one", "api-keys": ["key-one"], "rate-per-s": 1, "burst": 1},
    {"name": "two", "api-keys": ["key-two"]},
]
SENT = 80
OTHERS = 6
SENDERS = 4


@given("the platform with 2 daemons and an organisation of 1 request a second and 1 at once")
def start(context):
    context.execute_steps("Given the platform with 2 backend servers and no configuration")
    context.platform.publish(10, "/orders/", tenants=TENANTS)
    for name in ("front-1", "front-2"):
        context.platform.start_daemon(name)
    for name in ("front-1", "front-2"):
        context.platform.wait_ready(name)


@when("it sends 80 requests to both daemons, and another one some")
def send_many(context):
    def send(number):
        key = "key-two" if number >= SENT else "key-one"
        name = f"front-{1 + number % 2}"
        return context.platform.request(name, "/orders/a", f"r-{number}", {"credential": key})

    with ThreadPoolExecutor(SENDERS) as senders:
        answers = list(senders.map(send, range(SENT + OTHERS)))
    context.answers = answers[:SENT]
    assert {each.status_code for each in answers[SENT:]} == {200}, answers[SENT:]


@then("at most (1 x 5 + 1) x 1.1 + 20 ran in any 5 s, and the others got 429 and Retry-After")
def check_answers(context):
    servers = context.platform.read_arrivals().values()
    ran = {name: at for arrivals in servers for name, at in arrivals}
    for number, each in enumerate(context.answers):
        assert (f"r-{number}" in ran) == (each.status_code == 200), (number, each)
        if each.status_code == 200:
            continue
        assert each.status_code == 429, each
        assert 0 < float(each.headers["retry-after"]) <= 5, each.headers
    times = sorted(at for name, at in ran.items() if int(name.partition("-")[2]) < SENT)
    most = max(sum(at <= each < at + 5 for each in times) for at in times)
    assert most <= (1 * 5 + 1) * 1.1 + 20, f"{most} ran in 5 s"
    metrics = [
        httpx.get(f"http://{each['metrics']}/metrics", timeout=5).text
        for each in context.platform.settings.values()
    ]
    counted = re.findall(
        r'^dotterelgate_answers_total{result="quota_exceeded"} (\d+)', "\n".join(metrics), re.M
    )
    assert sum(map(int, counted)) == sum(each.status_code == 429 for each in context.answers)
