"""Steps on the whole system."""

from __future__ import annotations

import json
import random
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from subjects.system import System

from dotterelgate_core import codes

SEED = 20261204


def start_system(context, daemons, servers, **settings):
    """Start a system that ends with the scenario."""
    context.system = System()
    context.cleanups.append(context.system.stop)
    context.system.start(daemons=daemons, servers=servers, **settings)


def check_refusal(answer, name, outcome):
    """Check the result code, the status and the outcome that a caller received."""
    code = getattr(codes, name.upper())
    assert answer.code == code.number, answer
    assert answer.status == code.status, answer
    assert answer.outcome == outcome, answer


@given("a system of {daemons:d} daemons and {servers:d} backend servers")
def start_plain(context, daemons, servers):
    start_system(context, daemons, servers)


@when("{count:d} reads with bodies of up to {size:d} bytes go through all daemons at once")
def read_at_once(context, count, size):
    rng = random.Random(SEED)
    system = context.system
    names = list(system.fleet.daemons)

    def read(number):
        path = f"/stock/{number}?ms={rng.randint(1, 20)}&bytes={rng.randint(0, size)}"
        headers = {"Request-Id": f"id-{number}"}
        return number, system.request(names[number % len(names)], "GET", path, headers=headers)

    with ThreadPoolExecutor(12) as pool:
        context.reads = list(pool.map(read, range(count)))


@then("every answer is complete and belongs to its own request")
def check_reads(context):
    for number, answer in context.reads:
        assert answer.status == 200, answer
        document = json.loads(answer.body.rstrip(b"."))
        assert document["id"] == f"id-{number}", (number, document)


@when("a keyed write goes through {first} and is repeated through {second}")
def write_twice(context, first, second):
    system = context.system
    context.key = system.make_key()
    context.first = system.write(first, context.key)
    context.second = system.write(second, context.key)


@then("both answers are the same and the key ran once")
def check_same(context):
    assert context.first.status == context.second.status == 200, (context.first, context.second)
    assert context.first.body == context.second.body
    assert context.system.fleet.count_runs(context.key) == 1


@when('a read of "{path}" goes through {name}')
def read_once(context, path, name):
    context.answer = context.system.request(name, "GET", path)


@then("it is refused with {name} and outcome {outcome}")
def check_refused(context, name, outcome):
    check_refusal(context.answer, name, outcome)
