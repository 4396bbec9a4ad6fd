"""Steps on which daemons of a zone read the store, and which peers count as alive."""

from __future__ import annotations

from behave import given, then, when
from subjects.store_daemon import StoreDaemon, find

from dotterelgate_core.sharing import select_alive
from dotterelgate_core.store_reading import (
    ConfigurationReadEnded,
    ConfigurationReadFailed,
    ReadConfiguration,
    ReadRegistry,
    RegistryReadEnded,
    RegistryReadFailed,
    RegistryUpdateReceived,
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
                    update = RegistryUpdateReceived(
                        now=daemons[other].now,
                        read_at=daemons[other].now,
                        recovered_at=float("-inf"),
                    )
                    daemons[other].run_control(update)


def answer_reads(daemon, orders):
    """Answer a daemon's reads; returns whether it read the registry."""
    answer_first_configuration_read(daemon, orders)
    if find(orders, ReadRegistry) is None:
        return False
    daemon.run_control(RegistryReadEnded(now=daemon.now))
    return True


def refuse_reads(daemon, orders):
    """Let all reads of this daemon fail, its waiting read included."""
    if find(orders, ReadRegistry) is not None:
        daemon.run_control(RegistryReadFailed(now=daemon.now, reason="the store refused the read"))
    if daemon.reading.configuration.is_reading:
        daemon.run_control(
            ConfigurationReadFailed(now=daemon.now, reason="the store refused the read")
        )


def answer_first_configuration_read(daemon, orders):
    """Answer the first read of the configuration; later ones wait for a new version."""
    reading = daemon.reading.configuration
    if find(orders, ReadConfiguration) is not None and not reading.has_read:
        daemon.run_control(ConfigurationReadEnded(now=daemon.now))


def list_waiting(context, silent=()):
    """List the daemons that wait for a new configuration at the store."""
    return [
        name
        for name, daemon in context.daemons.items()
        if daemon.reading.configuration.is_reading and name not in silent
    ]


@then("{count:d} of them wait for a new configuration")
def check_waiting(context, count):
    context.waiting = list_waiting(context)
    assert len(context.waiting) == count, context.waiting


@when("those that wait fall silent")
def silence_waiting(context):
    context.silent = tuple(context.waiting)


@then("{count:d} others wait for a new configuration within {seconds:g} s")
def check_others_wait(context, count, seconds):
    advance(context.daemons, context.reads, seconds, silent=context.silent)
    assert len(list_waiting(context, context.silent)) == count, list_waiting(context)


@when("the reads of all fail for {seconds:d} s")
def fail_reads(context, seconds):
    context.orders = 0
    for _ in range(round(seconds / TICK_SECONDS)):
        for daemon in context.daemons.values():
            daemon.now += TICK_SECONDS
            if find(daemon.tick(), ReadConfiguration) is not None:
                context.orders += 1
                daemon.run_control(
                    ConfigurationReadFailed(now=daemon.now, reason="the store is down")
                )


@then("each requested the configuration at most {count:d} times a second")
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
    context.silent = max(context.reads, key=context.reads.get)
    context.reads = dict.fromkeys(context.daemons, 0)


@then("another reads within {seconds:g} s")
def check_takeover(context, seconds):
    advance(context.daemons, context.reads, seconds, silent=(context.silent,))
    assert sum(context.reads.values()) > 0, context.reads


@when("the reads of those that wait fail for {seconds:d} s")
def fail_reads_of_waiting(context, seconds):
    advance(context.daemons, context.reads, seconds, refused=tuple(context.waiting))


@then("1 or more others wait for a new configuration")
def check_others(context):
    assert list_waiting(context, context.waiting), context.waiting


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


@when("all have just started and no heartbeat has arrived")
def start_all(context):
    for daemon in context.daemons.values():
        for _ in range(HEARTBEAT_STEPS):
            daemon.now += TICK_SECONDS
            answer_first_configuration_read(daemon, daemon.tick())


@then("none of them waits for a new configuration")
def check_none_waits(context):
    assert not list_waiting(context), list_waiting(context)
