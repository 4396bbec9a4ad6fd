"""Steps on many daemons with few calls each."""

from __future__ import annotations

from behave import given, then, when
from subjects.sparse_callers import run_sparse


@given("60 daemons of {rate:g} calls a second each, seed {seed:d}")
def choose_load(context, rate, seed):
    context.load = {"rate": rate, "seed": seed}


@when("the owner grants their slots for 30 s")
def run(context):
    context.now = run_sparse(**context.load)
    context.before = run_sparse(ignores_connections=True, **context.load)


@then("at least a quarter fewer connections are opened than where connections weigh little")
def check_connections(context):
    opened, before = context.now.connections, context.before.connections
    assert opened <= 0.75 * before, (opened, before)


@then("no fewer calls are answered within the target")
def check_target(context):
    assert context.now.in_target >= context.before.in_target
