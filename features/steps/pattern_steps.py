"""Steps on load patterns."""

from __future__ import annotations

from behave import given, then, when
from subjects.light_load import LightLoad
from subjects.zone import ZoneLoad

SLOW_SECONDS = 0.3
PEAK_FROM_SECOND, PEAK_TO_SECOND = 3.0, 5.0
# One daemon, requests without a slow tail, and callers that do not retry.
ONE_DAEMON = {
    "daemons": 1,
    "work": 0.05,
    "target": 0.2,
    "limit": 0.5,
    "seconds": 8.0,
    "caller_retries": 0,
    "tail_share": 0.0,
    "tick_steps": 2,
}


@given("{servers:d} backend servers that neighbours slow down five times in a quarter of the time")
def set_servers(context, servers):
    context.servers = servers


def run_both(context, seed, rate):
    """Run a load with the shared queue and with least in flight, its baseline."""
    context.shared, context.least = (
        ZoneLoad(policy=policy, seed=seed, rate=rate, servers=context.servers, **ONE_DAEMON).run()
        for policy in ("shared_queue", "least_in_flight")
    )


@when("{rate:d} requests a second arrive for 8 seconds, seed {seed:d}")
def arrive_evenly(context, rate, seed):
    run_both(context, seed, lambda second: rate)


@when("requests rise from {low:d} to {high:d} a second and fall again, seed {seed:d}")
def arrive_in_peak(context, low, high, seed):
    run_both(
        context, seed, lambda second: high if PEAK_FROM_SECOND <= second < PEAK_TO_SECOND else low
    )


@then("the shared queue answers at least {share:d} in 100 within the target")
def check_share(context, share):
    reached = 100 * context.shared.in_target / context.shared.requests
    assert reached >= share, reached


@then("least in flight answers at least {margin:d} in 100 fewer")
def check_margin(context, margin):
    shared = 100 * context.shared.in_target / context.shared.requests
    least = 100 * context.least.in_target / context.least.requests
    assert shared - least >= margin, (shared, least)


@then("more requests are answered within the target than with least in flight")
def check_more(context):
    assert context.shared.in_target > context.least.in_target, (context.shared, context.least)


@then("nothing that was refused has run")
def check_true(context):
    assert context.shared.refused > 0
    assert not context.shared.refused_not_run & context.shared.ran


@then("no caller waits longer than {limit:d} ms for a refusal")
def check_refused_early(context, limit):
    slowest = 1000 * max(context.shared.refusal_seconds)
    assert slowest <= limit, slowest


@then("fewer requests end without an answer than with least in flight")
def check_lost(context):
    assert context.shared.lost < context.least.lost, (context.shared.lost, context.least.lost)


@given("{count:d} backend servers under the policy {policy}, of which one was slow once")
def start_slow_once(context, count, policy):
    context.choice = LightLoad(policy=policy, servers=count)
    context.choice.answer("i-0", SLOW_SECONDS)


@when("{rate:d} reads a second come one after another")
def read_in_turn(context, rate):
    context.chosen_after = context.choice.find_first_choice("i-0", rate=rate)


@then("within {seconds:g} seconds it is chosen")
def check_chosen(context, seconds):
    assert context.chosen_after <= seconds, context.chosen_after
