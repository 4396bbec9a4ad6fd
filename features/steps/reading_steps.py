"""Steps on which daemons of a zone read the store, and which peers count as alive."""

from __future__ import annotations

from behave import given, then, when
from subjects.front import Front, find

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
BEAT_STEPS = 12


@given("{count:d} fronts of a zone that hear each other")
def start_fronts(context, count):
    context.fronts = {f"front-{n}": Front(name=f"front-{n}") for n in range(1, count + 1)}
    context.reads = dict.fromkeys(context.fronts, 0)


def advance(fronts, reads, seconds, silent=(), refused=()):
    """Let time pass; reads succeed at once and their updates reach all that are not silent.

    :param refused: daemons whose reads fail
    """
    for step in range(round(seconds / TICK_SECONDS)):
        for name, front in fronts.items():
            if name in silent:
                continue
            front.now += TICK_SECONDS
            others = [other for other in fronts if other not in (name, *silent)]
            if step % BEAT_STEPS == 0:
                for other in others:
                    front.hear_peer(other)
            orders = front.tick()
            if name in refused:
                refuse_reads(front, orders)
            elif answer_reads(front, orders):
                reads[name] += 1
                for other in others:
                    news = RegistryUpdateReceived(now=fronts[other].now, recovered_at=float("-inf"))
                    fronts[other].tell(news)


def answer_reads(front, orders):
    """Answer a daemon's reads; returns whether it read the registry."""
    take_configuration_order(front, orders)
    if find(orders, ReadRegistry) is None:
        return False
    front.tell(RegistryReadEnded(now=front.now))
    return True


def refuse_reads(front, orders):
    """Let all reads of this daemon fail, its waiting read included."""
    if find(orders, ReadRegistry) is not None:
        front.tell(RegistryReadFailed(now=front.now, reason="the store refused the read"))
    if front.reading.configuration.is_reading:
        front.tell(ConfigurationReadFailed(now=front.now, reason="the store refused the read"))


def take_configuration_order(front, orders):
    """Answer the first read of the configuration; later ones wait for a new version."""
    reading = front.reading.configuration
    if find(orders, ReadConfiguration) is not None and not reading.has_read:
        front.tell(ConfigurationReadEnded(now=front.now))


def list_waiting(context, silent=()):
    """List the daemons that wait for a new configuration at the store."""
    return [
        name
        for name, front in context.fronts.items()
        if front.reading.configuration.is_reading and name not in silent
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
    advance(context.fronts, context.reads, seconds, silent=context.silent)
    assert len(list_waiting(context, context.silent)) == count, list_waiting(context)


@when("the reads of all fail for {seconds:d} s")
def fail_reads(context, seconds):
    context.orders = 0
    for _ in range(round(seconds / TICK_SECONDS)):
        for front in context.fronts.values():
            front.now += TICK_SECONDS
            if find(front.tick(), ReadConfiguration) is not None:
                context.orders += 1
                front.tell(ConfigurationReadFailed(now=front.now, reason="the store is down"))


@then("the configuration was asked for at most {count:d} times a second by each")
def check_asked(context, count):
    assert 0 < context.orders <= count * len(context.fronts) * 10, context.orders


@when("{seconds:d} s pass with news reaching all")
def pass_with_news(context, seconds):
    advance(context.fronts, context.reads, 1.0)
    context.reads = dict.fromkeys(context.fronts, 0)
    advance(context.fronts, context.reads, seconds)


@then("one of them read the registry, between {low:d} and {high:d} times")
def check_reader(context, low, high):
    readers = [name for name, count in context.reads.items() if count]
    assert len(readers) == 1, context.reads
    assert low <= context.reads[readers[0]] <= high, context.reads


@when("the reader falls silent")
def silence(context):
    context.silent = max(context.reads, key=context.reads.get)
    context.reads = dict.fromkeys(context.fronts, 0)


@then("another reads within {seconds:g} s")
def check_takeover(context, seconds):
    advance(context.fronts, context.reads, seconds, silent=(context.silent,))
    assert sum(context.reads.values()) > 0, context.reads


@when("the store turns those away for {seconds:d} s")
def turn_away(context, seconds):
    advance(context.fronts, context.reads, seconds, refused=tuple(context.waiting))


@then("1 or more others wait for a new configuration")
def check_others(context):
    assert list_waiting(context, context.waiting), context.waiting


@given("a front that hears {peers:d} daemons of other zones")
def hear_far(context, peers):
    context.front = Front()
    for number in range(peers):
        context.front.hear_peer(f"far-{number}", zone="south")
    context.far = peers


@when("{seconds:d} s pass without a word of them")
def pass_without_word(context, seconds):
    context.front.now += seconds


@then("it {still} takes them for alive")
def check_alive(context, still):
    alive = select_alive(context.front.state, context.front.now, "south")
    assert len(alive) == (context.far if still == "still" else 0), len(alive)


@when("all have just started and no heartbeat has come")
def start_all(context):
    for front in context.fronts.values():
        for _ in range(BEAT_STEPS):
            front.now += TICK_SECONDS
            take_configuration_order(front, front.tick())


@then("none of them waits for a new configuration")
def check_none_waits(context):
    assert not list_waiting(context), list_waiting(context)
