"""Steps on competing records on the log."""

from __future__ import annotations

from behave import given, then, when
from subjects.chain import ChainHistory

FIRST_SEED = 7000
LONG_STEPS = 60


@given("{count:d} random histories of claims with short retention")
def make_histories(context, count):
    context.histories = [ChainHistory(seed=FIRST_SEED + each) for each in range(count)]


@given("the histories of seeds {listed}")
def make_listed(context, listed):
    seeds = [int(each) for each in listed.replace(" and", ",").split(",")]
    context.histories = [ChainHistory(seed=seed, steps=LONG_STEPS) for seed in seeds]


@given("{count:d} random histories with claims by readers that only guess")
def make_guessing(context, count):
    context.histories = [
        ChainHistory(seed=FIRST_SEED + each, claims_checked=False) for each in range(count)
    ]


@when("every reader has read what the log retains")
def run_histories(context):
    for history in context.histories:
        history.run()


@then("every reader that knows the accepted record has the right one")
def check_agreement(context):
    found = [each for history in context.histories for each in history.disagreements]
    assert not found, found[:5]


@then("most histories have an accepted record")
def check_progress(context):
    accepted = sum(history.accepted for history in context.histories)
    assert accepted > len(context.histories) * 0.9, accepted


@then("some reader has a wrong record")
def check_caught(context):
    assert any(history.disagreements for history in context.histories)
