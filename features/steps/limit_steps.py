"""Steps on backend servers that name a limit."""

from __future__ import annotations

import threading
import time

from behave import given, then, when
from subjects.limited_zones import LimitedZones, draw_limited_zones
from subjects.store_daemon import StoreDaemon, find

from dotterelgate_bench.fleet import wait_until
from dotterelgate_core import messages
from dotterelgate_core.control_messages import ProbeEnded
from dotterelgate_platform.headers import DIALECT, SERVER_LIMIT

DAEMONS = ("front-1", "front-2")
LIMITED = ("i-1", "i-2")


@when("{count:d} callers send requests without pause")
def start_callers(context, count):
    context.statuses = []
    stopping = threading.Event()

    def call(worker):
        number = 0
        while not stopping.is_set():
            number += 1
            daemon = DAEMONS[worker % len(DAEMONS)]
            answer = context.platform.request(daemon, "/orders/x", f"c{worker}-{number}")
            context.statuses.append(answer.status_code)

    workers = [threading.Thread(target=call, args=(n,)) for n in range(count)]

    def stop():
        stopping.set()
        for worker in workers:
            worker.join()

    context.stop_callers = stop
    context.cleanups.append(stop)
    for worker in workers:
        worker.start()


@when("i-1 and i-2 name a limit of {limit:d} requests a second for {seconds:d} s")
def limit_servers(context, limit, seconds):
    for name in LIMITED:
        context.platform.state(name, "limit", str(limit))
    context.limited_at = time.monotonic()
    time.sleep(seconds)
    context.limited_until = time.monotonic()


def list_arrivals(context, name):
    return [at for _, at in context.platform.read_arrivals()[name]]


@then("each of them got at most {most:d} requests in any {window:d} s from {grace:g} s after that")
def check_most(context, most, window, grace):
    for name in LIMITED:
        begun = context.limited_at + grace
        arrivals = [at for at in list_arrivals(context, name) if at >= begun]
        counts = [sum(begin <= at < begin + window for at in arrivals) for begin in arrivals]
        assert max(counts, default=0) <= most, (name, max(counts))


@then("each of them got {least:d} requests or more in these {seconds:d} s")
def check_least(context, least, seconds):
    for name in LIMITED:
        arrivals = list_arrivals(context, name)
        got = sum(context.limited_at <= at < context.limited_until for at in arrivals)
        assert got >= least, (name, got)


@when("they name none")
def lift_limit(context):
    for name in LIMITED:
        context.platform.state(name, "limit", "")


@then("each of them gets more than {most:d} requests in {window:d} s, within {seconds:d} s")
def check_lifted(context, most, window, seconds):
    def get_more():
        now = time.monotonic()
        arrivals = [list_arrivals(context, name) for name in LIMITED]
        return all(sum(at >= now - window for at in each) > most for each in arrivals)

    wait_until(get_more, seconds=seconds, what="they get more than their limit")


@then("every request was answered by a backend server")
def check_statuses(context):
    context.stop_callers()
    assert set(context.statuses) == {200}, set(context.statuses)


@given(
    "{zones:d} zones of {count:d} daemons under {rate:d} requests a second, with 6 backend servers"
)
def start_zones(context, zones, count, rate):
    context.granted = LimitedZones(
        policy="granted_queue",
        seed=1,
        rate=lambda second: rate,
        zones=zones,
        daemons=zones * count,
        work=0.05,
    )


@when(
    "{limited:d} of the servers name {rate:d} requests a second, and answers to probes {do} so too"
)
def name_limits(context, limited, rate, do):
    context.granted.limited = limited
    context.granted.limit_rate = float(rate)
    context.granted.probes_name = do == "do"


@when("nothing else happens")
def run(context):
    context.granted.run()


@when("{share:d} in 100 datagrams are lost")
def run_with_loss(context, share):
    context.granted.loss = share / 100
    context.granted.run()


@when("all owners are killed after {seconds:d} s")
def run_with_kill(context, seconds):
    context.granted.killed_at = seconds
    context.granted.run()


@then("no limited server got more than the platform allows")
def check_excess(context):
    assert not context.granted.list_excess(), context.granted.list_excess()


@then("each limited server got at least {share:d} in 100 of its limit")
def check_use(context, share):
    assert context.granted.compute_use() >= share / 100, context.granted.compute_use()


@given("a daemon that a backend server told to send it {rate:d} requests a second")
def start_told(context, rate):
    context.daemon = StoreDaemon()
    context.daemon.configure()
    context.daemon.register("i-1", offset=1)
    answer(context, [(SERVER_LIMIT, b"%d" % rate)])


def answer(context, headers):
    call_id, orders = context.daemon.arrive()
    assert find(orders, messages.Dispatch) is not None, orders
    limit = DIALECT.read_answer(headers).report.limit
    context.daemon.now += 0.05
    context.daemon.answer(call_id, "i-1", limit=limit)
    context.daemon.now += 2.0


@when("an answer has the limit headers {values}")
def name_limit(context, values):
    named = [] if values == "none" else values.split(" and ")
    answer(context, [(SERVER_LIMIT, each.encode("ascii")) for each in named])


@then("the limit is {limit}")
def check_limit(context, limit):
    named = context.daemon.state.servers.states["i-1"].limit
    expected = float("inf") if limit == "none" else float(limit)
    assert named.rate == expected, named


@when("the server registers again as a new run")
def register_again(context):
    context.daemon.register("i-1", offset=2, born=2)


def end_probe(context, limit):
    ended = ProbeEnded(
        now=context.daemon.now,
        wall=0.0,
        service="s",
        server="i-1",
        answered=True,
        draining=False,
        limit=limit,
    )
    context.daemon.run_control(ended)


@when("a probe's answer names no limit")
def probe_without(context):
    end_probe(context, float("inf"))


@when("a probe's answer names {rate:d} requests a second")
def probe_with(context, rate):
    end_probe(context, float(rate))


@when("a read is sent after the server got its last request")
def send_beyond(context):
    state = context.daemon.state.servers.states["i-1"]
    state.limit.allowance = 0.0
    _, context.orders = context.daemon.arrive()


@then("it is refused at once with a time to retry")
def check_refused(context):
    refused = find(context.orders, messages.RefuseCall)
    assert refused is not None and refused.refusal.retry_after, context.orders


@when("{count:d} random loads of limited servers are run, from seed {seed:d}")
def run_random(context, count, seed):
    context.excess = {}
    for each in range(seed, seed + count):
        load = draw_limited_zones(each)
        load.run()
        if load.list_excess():
            context.excess[each] = load.list_excess()


@then("no limited server got more than the platform allows in any of them")
def check_random(context):
    assert not context.excess, context.excess
