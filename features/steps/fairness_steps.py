"""Steps on organisations that share slots."""

from __future__ import annotations

import random

from behave import given, then, when
from subjects.fairness import OrganisationsLoad, QueuePair, build_call
from subjects.store_daemon import StoreDaemon, find

from dotterelgate_core import slots

PEAK_SECONDS = 12.0
KILLED_AT_SECOND = 4.0
# Requests of an organisation from which on its answered share says something.
LEAST_SENT = 60
QUEUE_STEPS = 80


@given("{count:d} organisations that send {rate:d} requests a second usually, seed {seed:d}")
def set_load(context, count, rate, seed):
    context.load = {"policy": "granted_queue", "count": count, "seed": seed}
    context.rate = rate


def run_load(context, *, rate_factor=1.0, **more):
    """Run the load with what differs."""
    rate = context.rate * rate_factor
    return OrganisationsLoad(rate=lambda second: rate, **context.load, **more).run()


@when("the largest sends {factor:d} times as much and {event}")
def send_peak(context, factor, event):
    if "killed" in event:
        context.load["killed_at"] = KILLED_AT_SECOND
    usual = context.usual = run_load(context)
    largest = usual.sent[0] / usual.requests
    peak = {"rate_factor": 1.0 + (factor - 1) * largest, "peak_factor": factor}
    context.granted = run_load(context, **peak)
    context.plain = run_load(context, is_fair=False, **peak)
    context.others = range(1, context.load["count"])


@then("the others are answered within {margin:d} in 100 as often as without that")
def check_unharmed(context, margin):
    usual, now = (each.compute_share(context.others) for each in (context.usual, context.granted))
    assert now >= usual - margin / 100, (usual, now)


@then("none of the others is refused because too much goes ahead")
def check_not_behind(context):
    refused = context.granted.refused_early
    assert refused[0] and sum(refused.values()) == refused[0], refused


@then("at least {margin:d} in 100 more often than first in, first out")
def check_better(context, margin):
    plain, now = (each.compute_share(context.others) for each in (context.plain, context.granted))
    assert now >= plain + margin / 100, (plain, now)


@when("they send for {seconds:d} seconds")
def send(context, seconds):
    context.granted = run_load(context, seconds=float(seconds))


@when("they send for {seconds:d} seconds and every third has a lower rank than the one before")
def send_in_ranks(context, seconds):
    context.granted = run_load(context, seconds=float(seconds), ranks=3)


@then("no organisation is answered less than a quarter as often as all")
def check_least(context):
    least = context.granted.list_least(LEAST_SENT)[:3]
    assert least[0][0] >= context.granted.compute_share() / 4, (
        context.granted.compute_share(),
        least,
    )


@then("no lower rank is answered more often than a higher one")
def check_ranks(context):
    count = context.load["count"]
    shares = [context.granted.compute_share(range(rank, count, 3)) for rank in range(3)]
    assert shares == sorted(shares, reverse=True) and shares[0] > shares[2], shares


@given("an owner whose slots are taken")
def start_owner(context):
    context.daemon = StoreDaemon(policy="granted_queue")
    context.daemon.configure()
    context.daemon.register("i-1", offset=1, slots=3)
    context.daemon.receive_heartbeat("front-2")
    context.daemon.state.owners.suspect("front-2", context.daemon.now + 10.0)
    context.taken = [context.daemon.arrive()[0] for _ in range(3)]
    context.next_id = 1000


def request_slot(context, organisation, priority=0, route="/read/"):
    """Request a slot for a call of another daemon; returns the owner's reply and the call's id."""
    context.next_id += 1
    request = slots.SlotRequest(
        call_id=context.next_id,
        request_id="",
        service="s",
        route=route,
        work=0.04,
        waited=0.0,
        remaining=0.5,
        organisation=organisation,
        organisation_priority=priority,
    )
    now = context.daemon.now
    orders = context.daemon.run(
        slots.SlotRequested(now=now, wall=now, requester="front-2", request=request)
    )
    return find(orders, slots.DenySlot), context.next_id


def free_slot(context):
    """Let a request end; returns the id of the call that gets its slot."""
    context.daemon.now += 0.04
    orders = context.daemon.answer(context.taken.pop(), "i-1")
    granted = [order.call_id for order in orders if isinstance(order, slots.GrantSlot)]
    assert len(granted) == 1, orders
    return granted[0]


@when("another daemon requests slots for one until it is denied")
def fill_queue(context):
    context.daemon.state.waiting.find("s").update_slot_time(0.04, long=False)
    denied = None
    while denied is None:
        denied, _ = request_slot(context, "one")
    assert context.daemon.state.waiting.find("s").count_waiting() > 1


@then("a slot request for two is queued and gets the next slot")
def check_queued(context):
    denied, call_id = request_slot(context, "two")
    assert denied is None
    denied, context.second_id = request_slot(context, "two")
    assert denied is None
    served = [free_slot(context), free_slot(context)]
    assert call_id in served, (call_id, served)


@then("a slot request for one is denied while two waits")
def check_denied(context):
    for _ in range(3):
        request_slot(context, "one")
    denied, _ = request_slot(context, "one")
    assert denied is not None


@when(
    "slot requests for one with priority {first:d} and for two with priority {second:d} are queued"
)
def queue_both(context, first, second):
    # The route of the first is no more urgent; of two equal ranks it would be served first.
    context.ids = {
        request_slot(context, "one", first)[1]: "one",
        request_slot(context, "two", second, "/write/")[1]: "two",
    }


@then("the next slot goes to {served}")
def check_served(context, served):
    assert context.ids[free_slot(context)] == served


@then("{count:d} random queues without organisations serve as a plain list does")
def check_plain_order(context, count):
    for seed in range(count):
        pair = QueuePair(random=random.Random(seed))
        for step in range(QUEUE_STEPS):
            fair, plain = pair.step()
            assert fair is plain, (seed, step)


@when("{count:d} organisations are served one after the other while another one waits")
def serve_many(context, count):
    context.pair = QueuePair(random=random.Random(1))
    queue, states = context.pair.fair, context.pair.states
    for number in range(2 * count):
        is_waiting = number % 2 == 0
        name = "waiting" if is_waiting else f"organisation-{number}"
        states[number] = call = build_call(number, 0.0, organisation=name)
        queue.arrivals.note(name)
        queue.add(call)
        if not is_waiting:
            assert context.pair.serve() is not None


@then("the queue knows fewer than {count:d} organisations")
def check_bounded(context, count):
    queue = context.pair.fair
    known = {*queue.flows, *queue.arrivals.counts, *(name for _, name in queue.served)}
    assert len(queue) > 1 and len(known) < count, len(known)
