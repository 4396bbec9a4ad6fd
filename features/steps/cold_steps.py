"""Steps on cold servers."""

from __future__ import annotations

import json
import time

from behave import given, then, when
from hypothesis import given as draw_from
from hypothesis import settings
from hypothesis import strategies as st
from subjects.cold_servers import (
    COLD_SECONDS,
    ColdDaemon,
    ColdSchedule,
    ColdZones,
    find_excess,
)

from dotterelgate_bench.fleet import wait_until
from dotterelgate_border.datagrams import LoadEntry, LoadUpdate, ServerStatements
from dotterelgate_core.control_messages import ProbeEnded
from dotterelgate_core.warm_up.shares import compute_share
from dotterelgate_daemon.load_messages import read_load_update
from dotterelgate_platform.configurations import make_configuration_decoder
from dotterelgate_platform.headers import COLD_REMAINING, DIALECT

EXAMPLES = 25
EVENTS = (
    "nothing",
    "partition",
    "isolate all",
    "heal",
    "one way",
    "kill",
    "restart",
    "restart all",
    "restart servers",
)
WARM_SECONDS = 3.0


@when("random schedules of daemons that send all that they may are run")
def run_schedules(context):
    context.faults = []

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True, database=None)
    @draw_from(
        zones=st.integers(1, 4),
        daemons=st.integers(1, 5),
        rate=st.sampled_from((0.5, 2.0, 7.0, 20.0, 60.0)),
        loss=st.sampled_from((0.0, 0.1, 0.3)),
        has_settings=st.booleans(),
        seed=st.integers(0, 1000),
        events=st.lists(
            st.tuples(st.sampled_from(EVENTS), st.integers(0, 1000), st.floats(0.2, 5.0)),
            min_size=2,
            max_size=6,
        ),
    )
    def run(zones, daemons, rate, loss, has_settings, seed, events):
        schedule = ColdSchedule(
            zones=zones,
            daemons=daemons,
            rate=rate,
            loss=loss,
            seed=seed,
            has_settings=has_settings,
        )
        for event, draw, seconds in events:
            schedule.apply(event, draw, seconds)
        schedule.run(2.0)
        excess = find_excess(schedule.arrivals, rate)
        assert not excess, (excess, zones, daemons, rate, loss, has_settings, seed, events)

    try:
        run()
    except AssertionError as error:
        context.faults.append(str(error))


@then("no cold server got more than the bound in any second of any of them")
def check_schedules(context):
    assert not context.faults, context.faults


@given(
    "{zones:d} zones of {count:d} daemons that send cold servers all that they may, limit {limit:d}"
)
def start_schedule(context, zones, count, limit):
    context.schedule = ColdSchedule(zones=zones, daemons=count, rate=float(limit))


@when("{seconds:d} s go by for them")
def pass_time(context, seconds):
    # The last daemon learns of the servers.
    context.schedule.run(1.0)
    context.begin = context.schedule.now
    context.schedule.run(float(seconds))


@then("cold servers got at least {share:d} in 100 of the limit, and never more than the bound")
def check_rate(context, share):
    schedule = context.schedule
    assert schedule.count_rate(context.begin) >= share / 100 * schedule.rate
    assert not find_excess(schedule.arrivals, schedule.rate)


@when("{trouble} and {seconds:d} s go by for them")
def bring_trouble(context, trouble, seconds):
    context.schedule.run(1.0)
    draw = 7
    if trouble == "one way":
        owners = [
            name for name, each in context.schedule.alive.items() if each.state.shares.support
        ]
        draw = sorted(context.schedule.alive).index(owners[0])
    context.schedule.apply(trouble, draw, float(seconds))


@then("the parts of all daemons sum to {least:g} to 1")
def check_parts(context, least):
    schedule = context.schedule
    for name in ("s-0", "s-1"):
        parts = [
            compute_share(each.state, each.state.servers.states[name], schedule.now)
            for each in schedule.alive.values()
        ]
        assert least <= sum(parts) <= 1.0 + 1e-9, parts


@given(
    "{zones:d} zones of {count:d} daemons under {load:d} requests a second, "
    "with {servers:d} servers of which {cold:d} become cold"
)
def start_zones(context, zones, count, load, servers, cold):
    context.load = ColdZones(
        policy="granted_queue",
        seed=1,
        rate=lambda second: load,
        zones=zones,
        daemons=zones * count,
        servers=servers,
        cold=cold,
        work=0.05,
        seconds=18.0,
    )


@when("cold servers take {limit:d} requests a second, and {loss:d} in 100 datagrams are lost")
def run_load(context, limit, loss):
    context.load.cold_rate = float(limit)
    context.load.loss = loss / 100
    context.load.run()


@then("no cold server got more than the bound in any second")
def check_bound(context):
    excess = find_excess(context.load.list_cold_starts(), context.load.cold_rate)
    assert not excess, excess


@then("the cold servers got at least {share:d} in 100 of their limit")
def check_use(context, share):
    load = context.load
    counts = {name: len(each) for name, each in load.list_cold_starts().items()}
    most = len(counts) * load.cold_rate * load.cold_seconds
    assert sum(counts.values()) >= share / 100 * most, (counts, most)


@then("they get at least {share:d} in 100 of the requests once they are warm")
def check_warm(context, share):
    load = context.load
    begin = load.cold_at + load.cold_seconds + 1.0
    counts = {name: sum(at >= begin for at in each) for name, each in load.starts.items()}
    got = sum(counts[name] for name in load.list_cold())
    assert got >= share / 100 * sum(counts.values()), counts


@given("a daemon with a server of a service that limits cold servers to 5 a second for 60 s")
def start_daemon(context):
    context.daemon = daemon = ColdDaemon()
    daemon.warm_up_rate = 5.0
    daemon.cold_seconds = 60.0
    daemon.configure()
    daemon.register("i-1", offset=1, address="10.0.0.1:1")
    daemon.receive_heartbeat("front-2")
    context.offset = 1


@when("it learns in this order about the cold: {statements}")
def learn(context, statements):
    for statement in statements.split(", "):
        *kind, value = statement.partition(" of ")[0].split()
        STATEMENTS[" ".join(kind)](context, value, statement)


def read_entry(context, value, _statement, born=1):
    context.offset += 1
    context.daemon.register(
        "i-1", offset=context.offset, address="10.0.0.1:1", born=born, cold=float(value)
    )


def end_probe(context, value, _statement):
    daemon = context.daemon
    cold = None if value == "none" else float(value)
    ended = ProbeEnded(
        now=daemon.now,
        wall=daemon.now,
        service="s",
        server="i-1",
        answered=True,
        draining=False,
        cold_seconds=cold,
    )
    daemon.run_control(ended)


def hear_peer(context, value, statement):
    age = statement.partition(" of ")[2].split()[0]
    statements = ServerStatements(
        born=2 if "another run" in statement else 1,
        cold_ms=int(float(value) * 1000),
        cold_age_ms=int(float(age) * 1000),
    )
    entry = LoadEntry(server="i-1", in_flight=0, statements=statements)
    update = LoadUpdate(sender="front-2", incarnation="a", loads=[entry])
    context.daemon.run_control(read_load_update(update, context.daemon.now))


def pass_seconds(context, value, _statement):
    context.daemon.now += float(value)


STATEMENTS = {
    "entry": read_entry,
    "entry again": read_entry,
    "new run": lambda context, value, statement: read_entry(context, value, statement, born=2),
    "probe": end_probe,
    "peer": hear_peer,
    "heartbeat": lambda context, value, _: context.daemon.receive_heartbeat(
        "front-2", cold={"i-1": float(value)}
    ),
    "pass": pass_seconds,
}


@then("the server is then {state}")
def check_state(context, state):
    left = context.daemon.state.servers.states["i-1"].cold_until - context.daemon.now
    expected = 0.0 if state == "warm" else float(state.split()[2])
    assert abs(max(0.0, left) - expected) < 0.01, left


@then("of the platform {what} {value} is read as {read}")
def check_read(context, what, value, read):
    expected = None if read == "none" else float(read)
    if what == "Cold-Remaining-Ms":
        headers = [] if value == "absent" else [(COLD_REMAINING, value.encode())]
        found = DIALECT.read_answer(headers).report.cold_seconds
    else:
        service = {"name": "s", **({} if value == "absent" else {what: float(value)})}
        document = {"config-version": 1, "routes": [], "services": [service]}
        services = make_configuration_decoder(0.2)(json.dumps(document).encode()).services
        found = services[0].warm_up_rate if services else None
    assert found == expected, found


@given("its service takes {limit:d} requests a second of cold servers")
def limit_service(context, limit):
    service = {"cold-per-s": limit, "cold-start": COLD_SECONDS}
    context.platform.publish(11, "/orders/", service=service)
    time.sleep(2.0)


@when("{name} is cold for {seconds:d} s, as its answers to probes say")
def make_cold(context, name, seconds):
    # The daemons use the servers for long enough to have settled.
    time.sleep(3.0)
    context.cold_at = time.monotonic()
    context.warm_at = context.cold_at + seconds
    context.platform.state(name, "cold_until", str(context.warm_at))
    time.sleep(seconds)


def list_arrivals(context, name, begin, end):
    return [at for _, at in context.platform.read_arrivals()[name] if begin <= at < end]


@then(
    "{name} got at most {most:d} requests in any 1 s from {grace:g} s after that until it is warm"
)
def check_cold(context, name, most, grace):
    arrivals = list_arrivals(context, name, context.cold_at + grace, context.warm_at)
    counts = [sum(begin <= at < begin + 1.0 for at in arrivals) for begin in arrivals]
    assert max(counts, default=0) <= most, max(counts)


@then("cold {name} got {least:d} requests or more in these {seconds:d} s")
def check_used(context, name, least, seconds):
    arrivals = list_arrivals(context, name, context.warm_at - seconds, context.warm_at)
    assert len(arrivals) >= least, len(arrivals)


@then(
    "{name} gets more than {most:d} requests in 1 s, and {share:d} in 100 of all, "
    "within {seconds:d} s after that"
)
def check_fully_used(context, name, most, share, seconds):
    def is_used():
        now = time.monotonic()
        begin = max(context.warm_at, now - 1.0)
        arrivals = context.platform.read_arrivals()
        counts = {each: sum(at >= begin for _, at in times) for each, times in arrivals.items()}
        return counts[name] > most and counts[name] >= share / 100 * sum(counts.values())

    wait_until(is_used, seconds=seconds, what=f"{name} is fully used")
    context.stop_callers()
