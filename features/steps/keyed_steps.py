"""Steps on keyed requests with real processes."""

from __future__ import annotations

import time
import uuid
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from steps.system_steps import check_refusal, start_system
from subjects.system import KEY_RANGES, System

SHORT_LEASES = {"holder_wait": 1.0, "key_retention": 600}


def make_timed_key() -> str:
    """Make a time-ordered UUID (RFC 9562, version 7) of the current time."""
    random_bits = uuid.uuid4().int & ((1 << 62) - 1)
    value = int(time.time() * 1000) << 80 | 7 << 76 | 2 << 62 | random_bits
    return str(uuid.UUID(int=value))


def write_keys(system, names, count):
    """Send keyed writes through daemons in turn."""
    keys = [str(uuid.uuid4()) for _ in range(count)]
    with ThreadPoolExecutor(6) as pool:
        answers = pool.map(
            lambda each: system.write(names[each[0] % len(names)], each[1]), enumerate(keys)
        )
        return dict(zip(keys, answers, strict=True))


@given(
    "a system of {daemons:d} daemons with leases of {lease:d} seconds "
    "and {servers:d} backend servers"
)
def start_short(context, daemons, lease, servers):
    start_system(context, daemons, servers, lease_length=lease, **SHORT_LEASES)


@when(
    "a write of {milliseconds:d} ms through {caller} has its holder {holder} killed in the middle"
)
def kill_holder(context, milliseconds, caller, holder):
    system = context.system
    context.key = system.make_key(held_by=holder)
    answers = system.write_in_background(caller, context.key, path=f"/orders/1?ms={milliseconds}")
    system.wait_for_ran(1)
    system.fleet.daemons[holder].kill()
    system.join_background()
    context.answer = answers[0]


@then("the caller received {name} with outcome unknown")
def check_unknown(context, name):
    check_refusal(context.answer, name, "unknown")


@then("retries through every live daemon do not run the key again")
def retry_key(context):
    system = context.system
    for name, process in system.fleet.daemons.items():
        if not process.has_ended():
            system.write(name, context.key)
    time.sleep(0.3)
    assert system.fleet.count_runs(context.key) == 1


@when("{name} is killed and listed as gone")
def kill_and_list_as_gone(context, name):
    system = context.system
    context.random_key = system.make_key(held_by=name)
    context.lost_ranges = set(system.fleet.read_status(name)["held"])
    system.fleet.daemons[name].kill()
    system.fleet.set_vm_state(name, "gone")


@then("within {seconds:d} seconds every range has a holder again")
def check_held_again(context, seconds):
    context.held_after = context.system.fleet.wait_for_holders(ranges=KEY_RANGES, seconds=seconds)


@then("a time-ordered key made now for a range of {name} is run once")
def check_timed(context, name):
    system = context.system
    time.sleep(1.0)
    while True:
        key = make_timed_key()
        if system.find_range(key) in context.lost_ranges:
            break
    answer = system.write("entry-2", key)
    assert answer.status == 200, answer
    assert system.fleet.count_runs(key) == 1


@then("a random key for a range of {name} is refused with {code}")
def check_random(context, name, code):
    answer = context.system.write("entry-2", context.random_key)
    check_refusal(answer, code, "unknown")


@when(
    "{holder} is frozen as a write for its key arrives through {caller} "
    "and thawed after {seconds:d} seconds"
)
def freeze_holder(context, holder, caller, seconds):
    system = context.system
    context.key = system.make_key(held_by=holder)
    system.fleet.daemons[holder].freeze()
    context.cleanups.append(system.fleet.daemons[holder].thaw)
    context.answer = system.write(caller, context.key)
    time.sleep(seconds)
    system.fleet.daemons[holder].thaw()
    time.sleep(0.5)


@then("the key ran at most once and retries do not run it again")
def check_at_most_once(context):
    system = context.system
    before = system.fleet.count_runs(context.key)
    for name in system.fleet.daemons:
        system.write(name, context.key)
    assert before <= 1
    assert system.fleet.count_runs(context.key) <= 1
    assert context.answer.status != 200, context.answer


@when("{name} is frozen, a write is sent to it, and it is thawed after {seconds:d} seconds")
def freeze_during_write(context, name, seconds):
    system = context.system
    system.fleet.daemons[name].freeze()
    answers = system.write_in_background(name, None)
    time.sleep(seconds)
    system.fleet.daemons[name].thaw()
    system.join_background()
    context.answer = answers[0]


@then("the write is refused with {name} and nothing ran")
def check_stale(context, name):
    check_refusal(context.answer, name, "not-run")
    assert context.system.list_ran() == []


@when("one key is sent {times:d} times through every daemon at the same moment")
def send_at_once(context, times):
    system = context.system
    context.key = str(uuid.uuid4())
    names = list(system.fleet.daemons) * times
    with ThreadPoolExecutor(len(names)) as pool:
        context.answers = list(
            pool.map(lambda name: system.write(name, context.key, path="/orders/1?ms=200"), names)
        )


@then("all answers are the same and the key ran once")
def check_all_same(context):
    assert {answer.status for answer in context.answers} == {200}, context.answers
    assert len({answer.body for answer in context.answers}) == 1
    assert context.system.fleet.count_runs(context.key) == 1


@when("the log is down and {count:d} keyed writes go through all daemons")
def write_without_log(context, count):
    system = context.system
    system.fleet.set_faults(system.fleet.log, down=True)
    time.sleep(1.0)
    context.written = write_keys(system, list(system.fleet.daemons), count)


@then("{count:d} of them ran once and were answered")
def check_count(context, count):
    served = [key for key, answer in context.written.items() if answer.status == 200]
    assert len(served) == count, list(context.written.values())
    assert all(context.system.fleet.count_runs(key) == 1 for key in served)


@when("the log is down, {name} is killed and {count:d} keyed writes go through the others")
def write_with_dead(context, name, count):
    system = context.system
    held = set(system.fleet.read_status(name)["held"])
    system.fleet.set_faults(system.fleet.log, down=True)
    system.fleet.daemons[name].kill()
    time.sleep(0.5)
    others = [each for each in system.fleet.daemons if each != name]
    context.written = write_keys(system, others, count)
    context.dead = {key for key in context.written if system.find_range(key) in held}
    print(f"{len(context.dead)} of {count} writes were for ranges of the dead daemon")


@then("no key ran twice and every write whose holder lives was answered")
def check_living(context):
    for key, answer in context.written.items():
        assert context.system.fleet.count_runs(key) <= 1
        if key not in context.dead:
            assert answer.status == 200, answer


@then("the writes whose holder is dead were refused as not run in this attempt")
def check_dead(context):
    for key in context.dead:
        answer = context.written[key]
        # The first few are forwarded before the holder is found to be silent.
        assert answer.outcome in ("attempt-not-run", "unknown"), answer
        assert context.system.fleet.count_runs(key) == 0
    outcomes = [context.written[key].outcome for key in context.dead]
    assert "attempt-not-run" in outcomes, outcomes


@given("a platform whose log loses the next {count:d} answers")
def start_losing(context, count):
    context.system = System()
    context.cleanups.append(context.system.stop)
    context.system.fleet.start_platform()
    context.system.fleet.set_faults(context.system.fleet.log, lose_answers=count)


@when("{daemons:d} daemons and {servers:d} backend servers are started on it")
def start_on_it(context, daemons, servers):
    system = context.system
    for number in range(1, servers + 1):
        system.fleet.start_server(f"server-{number}", slots=3)
    for number in range(1, daemons + 1):
        system.start_daemon(number)
    system.fleet.wait_for_processes()
    system.publish()
    system.wait_in_force()


@then("within {seconds:d} seconds every range has one holder")
def check_one_holder(context, seconds):
    context.system.fleet.wait_for_holders(ranges=KEY_RANGES, seconds=seconds)


@then("{count:d} keyed writes through all daemons run once each")
def check_writes(context, count):
    system = context.system
    written = write_keys(system, list(system.fleet.daemons), count)
    assert {answer.status for answer in written.values()} == {200}, written
    assert all(system.fleet.count_runs(key) == 1 for key in written)


@when("a key is used for one body and then for another")
def reuse_key(context):
    system = context.system
    key = str(uuid.uuid4())
    assert system.write("entry-1", key).status == 200
    headers = {"Idempotency-Key": key}
    path = "/orders/1?ms=5"
    context.answer = system.request("entry-2", "POST", path, headers=headers, content=b"three")


@then("the second is refused with {name} and outcome {outcome}")
def check_conflict(context, name, outcome):
    check_refusal(context.answer, name, outcome)
    assert len(context.system.list_ran()) == 1


@when("a keyed write with a limit of {limit:d} ms goes to a backend server that takes a minute")
def write_hanging(context, limit):
    context.key = str(uuid.uuid4())
    headers = {"Idempotency-Key": context.key, "Request-Timeout-Ms": str(limit)}
    context.answer = context.system.request(
        "entry-1", "POST", "/orders/1?ms=60000", headers=headers, content=b"two loaves"
    )


@then("after {seconds:d} seconds nothing is in progress and a repeat gets unknown at once")
def check_settled(context, seconds):
    time.sleep(seconds)
    assert context.system.fleet.read_status("entry-1")["in_flight"] == 0
    answer = context.system.write("entry-1", context.key, path="/orders/1?ms=60000")
    assert answer.outcome == "unknown", answer
    assert answer.seconds < 1, answer
