"""Steps on zones of many daemons."""

from __future__ import annotations

from behave import given, then, when
from subjects.large_zone import Follower, LargeZone, build_record
from subjects.store_daemon import StoreDaemon, find

from dotterelgate_border.datagrams import (
    ConfigurationPart,
    ConfigurationRequest,
    RegistryUpdate,
)
from dotterelgate_core.peers import rank_by_rendezvous
from dotterelgate_core.readers import READER_SUBJECT
from dotterelgate_core.store_reading import (
    REPEAT_SECONDS,
    ReadStore,
    StoreReadEnded,
    StoreUpdateReceived,
)
from dotterelgate_daemon.store import StoreRecord

TICK_SECONDS = 0.1
NAMES = [f"i-{number}" for number in range(10)]


@given("a zone of {count:d} daemons in which {loss:d} in 100 heartbeats are lost, seed {seed:d}")
def start_zone(context, count, loss, seed):
    context.zone = LargeZone(daemons=count, loss=loss / 100, seed=seed)


@given("a zone of {count:d} daemons that know no backend server")
def start_empty_zone(context, count):
    context.zone = LargeZone(daemons=count, loss=0.0, seed=1, has_servers=False)
    context.zone.run(5.0)


@when("all learn of the first ones {seconds:g} s before the next heartbeat")
def learn(context, seconds):
    context.zone.register_servers()
    for daemon in context.zone.daemons.values():
        daemon.now += seconds


@then("at most {most:d} daemons probe")
def check_samplers(context, most):
    samplers = context.zone.count_samplers()
    assert 1 <= samplers <= most, samplers


@when("{seconds:g} s go by")
def run(context, seconds):
    context.zone.run(seconds)


@when("{seconds:g} s go by, in which first heartbeats may be lost")
def run_start(context, seconds):
    context.zone.run(seconds)
    context.zone.view_changes = 0


@when("the owners and successors of all services are killed")
def kill(context):
    context.zone.kill_owners()


@then("at most {share:d} in 10 of the heartbeats of all pairs were sent")
def check_share(context, share):
    assert context.zone.sent <= context.zone.pairs * share / 10, (
        context.zone.sent,
        context.zone.pairs,
    )


@then("all of the heartbeats of all pairs were sent")
def check_all(context):
    assert context.zone.sent == context.zone.pairs


@then("every living daemon names the same living owners, all the while")
def check_stable(context):
    check_same(context)
    assert context.zone.view_changes == 0, context.zone.view_changes


@then("every living daemon names the same living owners")
def check_same(context):
    views = {context.zone.read_view(name) for name in context.zone.alive}
    assert len(views) == 1, views
    assert set(views.pop()) <= context.zone.alive


@given("two daemons that follow a reader of the registry up to position 10")
def follow(context):
    reader, *context.followers = list_registry("front-1", "front-2", "front-3")
    pass_time(context, REPEAT_SECONDS)
    reader.read([build_record("i-new", 9)], end=10)
    for each in context.followers:
        assert each.receive(reader.mesh.sent[-1])


@given("two daemons that list the registry up to position 9")
def list_both(context):
    context.followers = list_registry("front-1", "front-2")


def list_registry(*names):
    followers = [Follower(name) for name in names]
    for each in followers:
        each.list_all(NAMES, end=9)
        each.mesh.sent.clear()
    return followers


@when("no update comes for {seconds:g} s, because the store is down")
def pass_time(context, seconds):
    for each in context.followers:
        each.pass_time(seconds)


@when("the first of them reads a server at position 9 itself")
def read_server(context):
    context.followers[0].read([build_record("i-new", 9)], end=10)


@then("its update brings the other to position 10 without a gap")
def check_no_gap(context):
    first, other = context.followers
    assert other.receive(first.mesh.sent[-1]), first.mesh.sent[-1]
    assert other.reader.position.offset == 10, other.reader.position
    assert set(other.daemon.state.servers.states) == {*NAMES, "i-new"}


@when("the first of them reads a removal at position 11 itself")
def read_removal(context):
    context.followers[0].read([StoreRecord(key="i-3", offset=11, value=None)], end=12)


@when("the first of them lists the registry again and a server is missing")
def list_again(context):
    left = [each for each in (*NAMES, "i-new") if each != "i-3"]
    context.followers[0].reader.position = None
    context.followers[0].list_all(left, end=12)


@then("its update brings the other to position 12 without a gap, and without the server")
def check_update(context):
    first, other = context.followers
    assert other.receive(first.mesh.sent[-1]), first.mesh.sent[-1]
    assert other.reader.position.offset == 12, other.reader.position
    assert "i-3" not in other.daemon.state.servers.states
    assert set(other.daemon.state.servers.states) == {*NAMES, "i-new"} - {"i-3"}


@given("a daemon that lists {count:d} entries")
def list_entries(context, count):
    context.follower = Follower("front-1")
    context.follower.list_all([f"i-{number}" for number in range(count)], end=count)


@then("its update holds no entries and claims no history")
def check_no_news(context):
    (update,) = context.follower.mesh.sent
    assert update.entries == [] and update.start == update.end, update


@given("a daemon that ranks last of {count:d} in its zone")
def start_last(context, count):
    names = [f"front-{number}" for number in range(count)]
    *others, last = rank_by_rendezvous(READER_SUBJECT, names)
    context.daemon = StoreDaemon(name=last)
    context.daemon.configure()
    context.daemon.tick()
    context.daemon.now += REPEAT_SECONDS
    context.others = others
    receive_update(context)


@when("no update comes for {seconds:g} s, though all others are alive")
def stay_silent(context, seconds):
    until = context.daemon.now + seconds
    context.is_ordered = False
    while context.daemon.now < until:
        for name in context.others:
            context.daemon.receive_heartbeat(name)
        context.is_ordered |= orders_read(context, TICK_SECONDS)


@then("it orders a read of the registry")
def check_ordered(context):
    assert context.is_ordered


@given("a daemon that ranks first of a zone and has just started")
def start_first(context):
    context.daemon = StoreDaemon(name="front-1")
    context.daemon.configure()
    context.daemon.tick()
    receive_update(context)


def receive_update(context):
    daemon = context.daemon
    daemon.run_control(StoreReadEnded(now=daemon.now))
    daemon.run_control(
        StoreUpdateReceived(now=daemon.now, read_at=daemon.now, recovered_at=float("-inf"))
    )


def orders_read(context, after):
    context.daemon.now += after
    return find(context.daemon.tick(), ReadStore) is not None


@then("it does not order a read of the registry within {seconds:g} s of an update")
def check_waits(context, seconds):
    assert not orders_read(context, seconds)


@then("it does so within 0.62 s after {seconds:g} s")
def check_reads(context, seconds):
    context.daemon.now += seconds
    receive_update(context)
    assert orders_read(context, 0.62)


@when("the first of them reads configuration {revision:d} itself")
def read_configuration(context, revision):
    first, _ = context.followers
    first.daemon.receive_heartbeat("front-3")
    first.mesh.sent.clear()
    first.read_configuration(revision)


@then("it sends the configuration before its update")
def check_sent(context):
    first, _ = context.followers
    kinds = [type(each) for each in first.mesh.sent]
    assert kinds == [ConfigurationPart, RegistryUpdate], kinds


@then("the update alone leaves the other behind, which requests the configuration once")
def check_behind(context):
    first, other = context.followers
    other.mesh.sent.clear()
    other.daemon.receive_heartbeat(first.daemon.state.name)
    current_at = other.daemon.reading.current_at
    for _ in range(2):
        assert not other.receive(first.mesh.sent[-1])
    assert other.daemon.reading.current_at == current_at
    assert [type(each) for each in other.mesh.sent] == [ConfigurationRequest], other.mesh.sent


@then("the configuration and the update bring the other up to date")
def check_up_to_date(context):
    first, other = context.followers
    part, update = first.mesh.sent
    other.receive(part)
    assert other.receive(update)
    assert other.daemon.state.configuration.revision == update.revision > 0


@then("the next update is sent without the configuration")
def check_sent_once(context):
    first, _ = context.followers
    first.mesh.sent.clear()
    first.read([], end=9)
    assert [type(each) for each in first.mesh.sent] == [RegistryUpdate], first.mesh.sent
