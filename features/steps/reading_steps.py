"""Steps on which daemons of a zone read the store, and which peers count as alive."""

from __future__ import annotations

from behave import given, then, when
from subjects.store_daemon import StoreDaemon, find

from dotterelgate_core.sharing import select_alive
from dotterelgate_core.store_reading import (
    ReadStore,
    StoreReadEnded,
    StoreReadFailed,
    StoreUpdateReceived,
)

TICK_SECONDS = 0.02
HEARTBEAT_STEPS = 12


@given("{count:d} daemons of a zone that exchange heartbeats")
def start_fronts(context, count):
    context.daemons = {f"front-{n}": StoreDaemon(name=f"front-{n}") for n in range(1, count + 1)}
    context.reads = dict.fromkeys(context.daemons, 0)


def advance(daemons, reads, seconds, silent=(), refused=()):
    """Let time pass; reads succeed at once and their updates reach all that are not silent.

    :param refused: daemons whose reads fail
    """
    for step in range(round(seconds / TICK_SECONDS)):
        for name, daemon in daemons.items():
            if name in silent:
                continue
            daemon.now += TICK_SECONDS
            others = [other for other in daemons if other not in (name, *silent)]
            if step % HEARTBEAT_STEPS == 0:
                for other in others:
                    daemon.receive_heartbeat(other)
            orders = daemon.tick()
            if name in refused:
                refuse_reads(daemon, orders)
            elif answer_reads(daemon, orders):
                reads[name] += 1
                for other in others:
                    update = StoreUpdateReceived(
                        now=daemons[other].now,
                        read_at=daemons[other].now,
                        recovered_at=float("-inf"),
                    )
                    daemons[other].run_control(update)


def answer_reads(daemon, orders):
    """Answer a daemon's read; returns whether it read the store."""
    if find(orders, ReadStore) is None:
        return False
    daemon.run_control(StoreReadEnded(now=daemon.now))
    return True


def refuse_reads(daemon, orders):
    """Let a daemon's read fail."""
    if find(orders, ReadStore) is not None:
        daemon.run_control(StoreReadFailed(now=daemon.now, reason="the store refused the read"))


def list_first(context, count):
    """List the daemons that rank first as readers."""
    daemons = context.daemons
    return sorted(daemons, key=lambda name: daemons[name].reading.rank)[:count]


@when("the reads of all fail for {seconds:d} s")
def fail_reads(context, seconds):
    context.orders = 0
    for _ in range(round(seconds / TICK_SECONDS)):
        for daemon in context.daemons.values():
            daemon.now += TICK_SECONDS
            if find(daemon.tick(), ReadStore) is not None:
                context.orders += 1
                daemon.run_control(StoreReadFailed(now=daemon.now, reason="the store is down"))


@then("each read the store at most {count:d} times a second")
def check_request_rate(context, count):
    assert 0 < context.orders <= count * len(context.daemons) * 10, context.orders


@when("{seconds:d} s pass with updates reaching all")
def pass_with_updates(context, seconds):
    advance(context.daemons, context.reads, 1.0)
    context.reads = dict.fromkeys(context.daemons, 0)
    advance(context.daemons, context.reads, seconds)


@then("one of them read the registry, between {low:d} and {high:d} times")
def check_reader(context, low, high):
    readers = [name for name, count in context.reads.items() if count]
    assert len(readers) == 1, context.reads
    assert low <= context.reads[readers[0]] <= high, context.reads


@when("the reader falls silent")
def silence(context):
    context.silent = (max(context.reads, key=context.reads.get),)
    context.reads = dict.fromkeys(context.daemons, 0)


@when("the {count:d} that rank first fall silent")
def silence_first(context, count):
    context.silent = tuple(list_first(context, count))
    context.reads = dict.fromkeys(context.daemons, 0)


@then("another reads within {seconds:g} s")
def check_takeover(context, seconds):
    advance(context.daemons, context.reads, seconds, silent=context.silent)
    assert sum(context.reads.values()) > 0, context.reads


@when("the reads of the {count:d} that rank first fail for {seconds:d} s")
def fail_reads_of_first(context, count, seconds):
    context.refused = tuple(list_first(context, count))
    context.refused_seconds = seconds
    context.reads = dict.fromkeys(context.daemons, 0)
    advance(context.daemons, context.reads, seconds, refused=context.refused)


@then("the others read the store at least every {seconds:g} s")
def check_others(context, seconds):
    assert sum(context.reads.values()) >= context.refused_seconds / seconds, context.reads
    assert not any(context.reads[name] for name in context.refused), context.reads


@given("a daemon that receives heartbeats of {peers:d} daemons of other zones")
def start_with_remote_daemons(context, peers):
    context.daemon = StoreDaemon()
    for number in range(peers):
        context.daemon.receive_heartbeat(f"far-{number}", zone="south")
    context.remote_daemons = peers


@when("{seconds:d} s pass without a heartbeat of them")
def pass_without_heartbeats(context, seconds):
    context.daemon.now += seconds


@then("it {still} counts them as alive")
def check_alive(context, still):
    alive = select_alive(context.daemon.state, context.daemon.now, "south")
    assert len(alive) == (context.remote_daemons if still == "still" else 0), len(alive)


@when("all have started and no heartbeat arrives for {seconds:g} s")
def start_all(context, seconds):
    for name, daemon in context.daemons.items():
        for _ in range(round(seconds / TICK_SECONDS)):
            daemon.now += TICK_SECONDS
            context.reads[name] += answer_reads(daemon, daemon.tick())


@then("each read the store once")
def check_read_once(context):
    assert set(context.reads.values()) == {1}, context.reads
