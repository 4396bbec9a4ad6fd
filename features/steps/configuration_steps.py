"""Steps on configurations."""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from subjects.publications import PublicationHistory

from dotterelgate_operator.publishing import Verdict

FIRST_SEED = 300


@when("{count:d} operators publish at the same moment")
def race(context, count):
    system = context.system
    context.before = system.revision
    with ThreadPoolExecutor(count) as pool:
        context.published = list(
            pool.map(lambda number: system.publish(tag=f"race-{number}"), range(count))
        )


@then("exactly one was accepted for each revision and the others lost the race")
def check_race(context):
    verdicts = [each.verdict for each in context.published]
    assert set(verdicts) <= {Verdict.ACCEPTED, Verdict.LOST_RACE}, context.published
    revisions = [each.revision for each in context.published if each.verdict is Verdict.ACCEPTED]
    assert revisions, context.published
    expected = list(range(context.before + 1, context.before + 1 + len(revisions)))
    assert sorted(revisions) == expected, revisions


@then("every daemon has the last accepted configuration in force within {seconds:d} seconds")
def check_everywhere(context, seconds):
    system = context.system
    system.wait_in_force(seconds=seconds)
    statuses = [system.fleet.read_status(name) for name in system.fleet.daemons]
    ids = {each["configuration"] for each in statuses}
    assert len(ids) == 1, statuses
    assert {each["revision"] for each in statuses} == {system.revision}


@when("the log loses the next answer and an operator publishes")
def publish_losing(context):
    system = context.system
    context.before = system.revision
    system.fleet.set_faults(system.fleet.log, lose_answers=1)
    context.published = [system.publish(tag="lost")]


@then("it is reported as accepted and the revision rose by one")
def check_accepted(context):
    published = context.published[0]
    assert published.verdict is Verdict.ACCEPTED, published
    assert published.revision == context.before + 1, published


@when("the log goes down for {seconds:d} seconds as an operator publishes")
def publish_in_outage(context, seconds):
    system = context.system
    context.before = system.revision
    system.fleet.set_faults(system.fleet.log, down=True)
    up_again = threading.Timer(
        seconds, lambda: system.fleet.set_faults(system.fleet.log, down=False)
    )
    up_again.start()
    context.cleanups.append(up_again.join)
    context.published = [system.publish(tag="outage")]


@when("the log keeps records for {kept:d} seconds, {passed:d} seconds pass and {name} starts")
def start_after_retention(context, kept, passed, name):
    system = context.system
    system.fleet.set_faults(system.fleet.log, retention=kept)
    time.sleep(passed)
    system.start_daemon(int(name.split("-")[1]))
    system.fleet.wait_for_processes()


@then("{name} has the newest configuration in force within {seconds:d} seconds")
def check_newest(context, name, seconds):
    context.system.wait_in_force(seconds=seconds, names=[name])


@then("a further publication is accepted and in force everywhere within {seconds:d} seconds")
def publish_further(context, seconds):
    published = context.system.publish(tag="further")
    assert published.verdict is Verdict.ACCEPTED, published
    context.system.wait_in_force(seconds=seconds)


@when("the log goes down and {name} starts")
def start_in_outage(context, name):
    system = context.system
    system.fleet.set_faults(system.fleet.log, down=True)
    system.start_daemon(int(name.split("-")[1]))
    system.fleet.wait_for_processes()


@then("a read through {name} is answered")
def check_read(context, name):
    answer = context.system.request(name, "GET", "/stock/1?ms=5")
    assert answer.status == 200, answer


@when("two more configurations are published and the first record is appended again")
def append_again(context):
    system = context.system
    log = f"http://{system.fleet.log.address}/records"
    entries = system.fleet.client.get(f"{log}?from=0&limit=500").json()["entries"]
    first = next(each["record"] for each in entries if each["record"]["kind"] == "publication")
    system.publish(tag="second")
    system.publish(tag="third")
    system.wait_in_force()
    system.fleet.client.post(log, json=first)


@then("every daemon keeps the newest configuration for {seconds:d} seconds")
def check_stays(context, seconds):
    system = context.system
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for name in system.fleet.daemons:
            assert system.fleet.read_status(name)["revision"] == system.revision
        time.sleep(0.05)


@when("{name} is frozen, two more configurations are published and it is thawed")
def freeze_across(context, name):
    system = context.system
    system.fleet.daemons[name].freeze()
    system.publish(tag="second")
    system.publish(tag="third")
    time.sleep(1)
    system.fleet.daemons[name].thaw()


@when(
    "the log keeps records for {kept:d} seconds, {name} is frozen for two changes "
    "and {seconds:d} seconds"
)
def freeze_past_retention(context, kept, name, seconds):
    system = context.system
    system.fleet.set_faults(system.fleet.log, retention=kept)
    system.fleet.daemons[name].freeze()
    system.publish(tag="second")
    system.publish(tag="third")
    time.sleep(seconds)
    system.fleet.daemons[name].thaw()


@given("{count:d} random histories of publications, republications and retention")
def make_histories(context, count):
    context.histories = [PublicationHistory(seed=FIRST_SEED + each) for each in range(count)]


@given("{count:d} random histories read by readers that accept the last record")
def make_naive(context, count):
    context.histories = [
        PublicationHistory(seed=FIRST_SEED + each, is_naive=True) for each in range(count)
    ]


@when("readers follow them with gaps, restarts and peers")
def follow(context):
    for history in context.histories:
        history.run()


@then("no reader ever had an older or a losing configuration after a newer one")
def check_histories(context):
    faults = [fault for history in context.histories for fault in history.faults]
    assert not faults, faults[:5]


@then("some reader had an older or a losing configuration")
def check_naive(context):
    assert any(history.faults for history in context.histories)
