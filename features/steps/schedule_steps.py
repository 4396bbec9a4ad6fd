"""Steps on random schedules of the decision core."""

from __future__ import annotations

from behave import given, then, when
from subjects.core import CoreDaemon
from subjects.schedules import KeyedSchedule, Mechanisms

MECHANISMS = {
    "the single holder": Mechanisms(holder=False),
    "the earlier holders' history": Mechanisms(history=False),
    "the latest time to start": Mechanisms(fence=False),
}


@given("{count:d} random schedules from seed {seed:d}")
def make_schedules(context, count, seed):
    context.schedules = [KeyedSchedule(seed=seed + each) for each in range(count)]
    context.until_fault = False


@given("{count:d} random schedules from seed {seed:d} without {mechanism}")
def make_schedules_without(context, count, seed, mechanism):
    mechanisms = MECHANISMS[mechanism]
    context.schedules = [
        KeyedSchedule(seed=seed + each, mechanisms=mechanisms) for each in range(count)
    ]
    context.until_fault = True


@when("they are run on the decision core")
def run_schedules(context):
    for schedule in context.schedules:
        schedule.run()
        if schedule.faults and context.until_fault:
            print(f"found: {schedule.faults[0]}")
            return


@then("no key ran twice, no reported outcome was false and nothing started late")
def check_faults(context):
    faults = [fault for schedule in context.schedules for fault in schedule.faults]
    assert not faults, faults[:5]


@then("more than half of the keys ran")
def check_progress(context):
    ran = sum(schedule.count_run_keys() for schedule in context.schedules)
    keys = sum(len(schedule.keys) for schedule in context.schedules)
    assert ran > keys / 2, f"{ran} of {keys}"


@then("a fault is found")
def check_found(context):
    assert any(schedule.faults for schedule in context.schedules)


@given("a daemon with one slot in use and a second request that waits for it")
def fill_slot(context):
    context.core = CoreDaemon(slots=1)
    context.first = context.core.arrive()
    context.second = context.core.arrive()
    assert context.core.list_dispatched() == [context.first]


@when("both time limits pass in the same tick")
def pass_limits(context):
    context.core.tick(after=60.0)


@then("the second request is refused with {name} and is not dispatched")
def check_not_dispatched(context, name):
    assert context.core.find_refusal(context.second).code.name == name
    assert context.core.list_dispatched() == [context.first]
