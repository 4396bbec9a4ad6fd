"""Steps on connections that are reused."""

from __future__ import annotations

from behave import given, then, when
from subjects.exchange import PoolSubject


@given("a pool of two connections that have been idle for {idle:g} s")
def set_pool(context, idle):
    context.pool = PoolSubject(idle=idle)


@when("the backend server resets the reused connection at once")
def reset_at_once(context):
    assert not context.pool.send_request()
    context.pool.exchange.stream.reset()
    assert len(context.pool.ends) == 1


@when("the backend server resets the reused connection after 80 ms")
def reset_later(context):
    assert not context.pool.send_request()
    context.pool.exchange.started_at -= 0.08
    context.pool.exchange.stream.reset()


@then("the next request gets a new connection")
def check_new(context):
    assert context.pool.send_request()


@then("the next request uses the other connection")
def check_other(context):
    assert not context.pool.send_request()
