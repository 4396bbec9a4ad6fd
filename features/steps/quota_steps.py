"""Steps on quotas of organisations."""

from __future__ import annotations

from behave import given, then, when
from hypothesis import given as given_drawn
from hypothesis import seed as with_seed
from hypothesis import settings
from hypothesis import strategies as st
from subjects.quota_zones import QuotaZones, rank_organisations

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
        quotas={"calm": (12.0, 6.0), "large": (30.0, 20.0)},
        load={"calm": USUAL, "large": EXCESS * USUAL},
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
