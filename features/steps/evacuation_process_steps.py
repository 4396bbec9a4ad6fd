"""Steps on evacuated zones with real daemons."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from soaking.proxy import FaultProxy, LinkFault

from dotterelgate_bench.fleet import wait_until

STORE_TOPIC = "keyed.op"
# A request that waits is refused after a quarter of its time limit, 500 ms here.
REFUSAL_MS = 300
# The slots of all three servers, of which those of the own zone have six.
SLOTS_OF_ALL = 9


@given(
    "the platform with {servers:d} backend servers and 2 daemons, "
    "and a link of front-2 to the store"
)
def start_platform(context, servers):
    context.execute_steps(f"Given the platform with {servers} backend servers and no configuration")
    context.proxy = FaultProxy()
    context.cleanups.append(context.proxy.stop)
    context.platform.publish(10, "/orders/")
    context.platform.start_daemon("front-1")
    store = context.proxy.add("store", context.platform.store)
    context.platform.start_daemon("front-2", store=store)
    for name in ("front-1", "front-2"):
        context.platform.wait_ready(name)


@given("{name} is of the zone {zone}")
def move_server(context, name, zone):
    context.platform.state(name, "zone", zone)
    context.platform.register(name)
    time.sleep(1.5)


def write_zone(context, zone, value):
    context.platform.write_entry(STORE_TOPIC, f"evacuate/{zone}", value)
    context.changed_at = time.monotonic()


@when("north is evacuated while the store refuses front-2")
def evacuate_north(context):
    context.proxy.set_fault("store", LinkFault.RESET)
    write_zone(context, "north", b"{}")


def send_requests(context, daemons, seconds):
    statuses = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for name in daemons:
            request_id = f"{name}-{time.monotonic_ns()}"
            answer = context.platform.request(name, "/orders/x", request_id)
            statuses.append(answer.status_code)
        time.sleep(0.02)
    return statuses


def list_servers_used(context, since):
    arrivals = context.platform.read_arrivals()
    return {name for name, each in arrivals.items() if any(at >= since for _, at in each)}


@then("only i-3 gets requests from {grace:g} s after that on, all of which are served")
def check_evacuated(context, grace):
    statuses = send_requests(context, ("front-1", "front-2"), grace + 2.0)
    assert set(statuses) == {200}, set(statuses)
    assert list_servers_used(context, context.changed_at + grace) == {"i-3"}


@when("a daemon front-3 starts meanwhile")
def start_third(context):
    context.started_at = time.monotonic()
    context.platform.start_daemon("front-3")
    context.platform.wait_ready("front-3")


@then("only i-3 gets requests of front-3")
def check_third(context):
    assert set(send_requests(context, ("front-3",), 1.0)) == {200}
    assert list_servers_used(context, context.started_at) == {"i-3"}


@when("south is evacuated as well")
def evacuate_south(context):
    write_zone(context, "south", b"{}")


def find_elapsed(context, daemon, request_id):
    """Find the milliseconds that a daemon took for a request, by its log."""

    def list_elapsed():
        lines = context.platform.read_log(daemon)
        return [
            each["elapsed_ms"]
            for each in lines
            if each.get("request") == request_id and "elapsed_ms" in each
        ]

    wait_until(list_elapsed, seconds=5, what=f"{daemon} logs the end of {request_id}")
    return list_elapsed()[0]


@then("requests are refused within {grace:g} s with the code {code} and a time to retry")
def check_all_refused(context, grace, code):
    send_requests(context, ("front-1", "front-2", "front-3"), grace)
    for name in ("front-1", "front-2", "front-3"):
        answer = context.platform.request(name, "/orders/x", f"refused-{name}")
        assert answer.status_code == 503, answer
        assert float(answer.headers["retry-after"]) > 0, answer.headers
        assert find_elapsed(context, name, f"refused-{name}") < REFUSAL_MS
    assert not list_servers_used(context, context.changed_at + grace)


@when("both zones are taken back")
def take_back(context):
    for zone in ("north", "south"):
        write_zone(context, zone, b"")


@then("i-1, i-2 and i-3 get requests within {seconds:d} s of a load that needs all three")
def check_returned(context, seconds):
    daemons = ("front-1", "front-2", "front-3")

    def send(number):
        request_id = f"returned-{number}-{time.monotonic_ns()}"
        context.platform.request(daemons[number % 3], "/orders/x?ms=200", request_id)

    def are_used():
        with ThreadPoolExecutor(SLOTS_OF_ALL) as pool:
            list(pool.map(send, range(SLOTS_OF_ALL)))
        return len(list_servers_used(context, context.changed_at)) == 3

    wait_until(are_used, seconds=seconds, what="all servers get requests")
