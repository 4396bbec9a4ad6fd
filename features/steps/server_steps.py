"""Steps on leaving backend servers and on probes."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from steps.stop_steps import start_load
from steps.system_steps import start_system
from subjects.probing import ProbingSchedule, find_worst_second
from subjects.system import System

from dotterelgate_bench.fleet import wait_until
from dotterelgate_core.probing import find_measuring_resource

FIRST_SEED = 900
SLOTS = 3
# Time that a read holds its slot, so that the reads for all slots are at work together.
FILLING_MS = 300
ROUNDING = 1e-9
UNREACHABLE = "127.0.0.1:1"


def count_ran(system, name):
    return len(system.fleet.read_ledger(name)["ran"])


@given("a system of {daemons:d} daemons and {servers:d} backend servers under load")
def start_loaded(context, daemons, servers):
    start_system(context, daemons, servers)
    start_load(context, writes=False)


@given(
    "a system of {daemons:d} daemons and {servers:d} backend servers under load "
    "whose daemons are cut off"
)
def start_cut(context, daemons, servers):
    context.system = System()
    context.cleanups.append(context.system.stop)
    fleet = context.system.fleet
    list_vm = fleet.list_vm

    def list_unreachable(name, *, role, address="", state="live"):
        list_vm(name, role=role, address=UNREACHABLE if address else "", state=state)

    fleet.list_vm = list_unreachable
    context.system.start(daemons=daemons, servers=servers)
    start_load(context, writes=False)


@when("{server} is leaving according to {source}")
def report_leaving(context, server, source):
    system = context.system
    if source == "the operator":
        system.publish(draining=(server,))
    elif source == "the platform":
        system.fleet.set_vm_state(server, "leaving")
    else:
        system.fleet.set_faults(system.fleet.servers[server], draining=True)
        wait_for_report(context, server)


def wait_for_report(context, server):
    """Wait until a backend server has reported in an answer that it is leaving.

    Under little load it may get no request for some seconds. Reads for all slots leave it some.
    """
    system = context.system
    slots = SLOTS * len(system.fleet.servers)
    entry = next(iter(system.fleet.daemons))
    with ThreadPoolExecutor(slots) as callers:
        for _ in range(slots):
            callers.submit(system.request, entry, "GET", f"/stock/1?ms={FILLING_MS}")
    assert system.fleet.read_ledger(server)["draining_reports"], f"{server} answered no read"


@when("the list of VMs goes down")
def take_list_down(context):
    context.system.fleet.set_faults(context.system.fleet.vms, down=True)


@when("a configuration is published in which it is not draining")
def publish_working(context):
    context.system.publish(tag="working")


@when("{seconds:d} seconds pass")
def wait(context, seconds):
    time.sleep(seconds)


@then("{server} runs nothing more for {seconds:d} seconds while the others do")
def check_no_new_work(context, server, seconds):
    system = context.system
    others = [name for name in system.fleet.servers if name != server]
    before = {name: count_ran(system, name) for name in system.fleet.servers}
    time.sleep(seconds)
    after = {name: count_ran(system, name) for name in system.fleet.servers}
    context.load.stop()
    assert after[server] == before[server], (before, after)
    assert sum(after[name] - before[name] for name in others) > 20, (before, after)


@when("{server} reports that it works again")
def report_working(context, server):
    system = context.system
    system.fleet.set_faults(system.fleet.servers[server], draining=False)
    context.ran_before = count_ran(system, server)


@then("within {seconds:d} seconds {server} runs requests again")
def check_works_again(context, seconds, server):
    wait_until(
        lambda: count_ran(context.system, server) > context.ran_before,
        seconds=seconds,
        what=f"{server} runs requests",
    )


@given(
    "a system of {daemons:d} daemons and {servers:d} backend servers "
    "with a measuring share of {share:g}"
)
def start_measured(context, daemons, servers, share):
    context.system = System(options={"measuring_share": share})
    context.cleanups.append(context.system.stop)
    context.system.start(daemons=daemons, servers=servers, lease_length=6)
    context.budget = share * servers * SLOTS


@when("every backend server reports that it is leaving, so that all are probed")
def drain_all(context):
    system = context.system
    for process in system.fleet.servers.values():
        system.fleet.set_faults(process, draining=True)
    for name in system.fleet.daemons:
        for _ in range(6):
            system.request(name, "GET", "/stock/1?ms=1")
    time.sleep(3)


@when("the daemon that probes is frozen for {seconds:d} seconds")
def freeze_prober(context, seconds):
    system = context.system
    resource = find_measuring_resource("bakery")
    holder = next(
        name for name in system.fleet.daemons if resource in system.fleet.read_status(name)["held"]
    )
    system.fleet.daemons[holder].freeze()
    time.sleep(seconds)
    system.fleet.daemons[holder].thaw()


@when("one daemon is killed and listed as gone and a new one is started")
def replace_one(context):
    system = context.system
    resource = find_measuring_resource("bakery")
    holder = next(
        (
            name
            for name in system.fleet.daemons
            if resource in (system.fleet.read_status(name) or {"held": ()})["held"]
        ),
        "entry-2",
    )
    system.fleet.daemons[holder].kill()
    system.fleet.set_vm_state(holder, "gone")
    system.start_daemon(len(system.fleet.daemons) + 1, lease_length=6)
    system.fleet.wait_for_processes()


def list_probes(system):
    return [
        tuple(probe)
        for name in system.fleet.servers
        for probe in system.fleet.read_ledger(name)["probes"]
    ]


@then("no second had more probe work than the budget over all backend servers")
def check_budget(context):
    worst = find_worst_second(list_probes(context.system))
    print(f"worst second {worst:.4f} of {context.budget:.4f} slot seconds")
    assert worst <= context.budget + ROUNDING, (worst, context.budget)


@then("probing continued")
def check_probing(context):
    assert len(list_probes(context.system)) > 10


@then("no backend server was probed")
def check_not_probed(context):
    assert list_probes(context.system) == []


@given("{count:d} random schedules of probing by 3 daemons")
def make_schedules(context, count):
    context.schedules = [ProbingSchedule(seed=FIRST_SEED + each) for each in range(count)]


@given("{count:d} random schedules of probing by 3 daemons without the lease")
def make_schedules_without_lease(context, count):
    context.schedules = [
        ProbingSchedule(seed=FIRST_SEED + each, has_lease=False) for each in range(count)
    ]


@when("the schedules are run on the decision core")
def run_schedules(context):
    for schedule in context.schedules:
        schedule.run()


@then("no second of any schedule had more probe work than the budget")
def check_schedules(context):
    for schedule in context.schedules:
        assert schedule.starts, schedule.seed
        assert schedule.find_excess() <= ROUNDING, (schedule.seed, schedule.find_excess())


@then("some second had more probe work than the budget")
def check_excess(context):
    assert any(schedule.find_excess() > ROUNDING for schedule in context.schedules)
