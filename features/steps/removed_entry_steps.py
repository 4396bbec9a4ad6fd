"""Steps on entries that were removed and come back with a copy of the store."""

from __future__ import annotations

from behave import given, then, when
from subjects.large_zone import Follower, build_record
from subjects.store_daemon import find

from dotterelgate_border.datagrams import RegistryUpdate
from dotterelgate_core import messages
from dotterelgate_core.registry import StoreEraNamed
from dotterelgate_core.statements import PeerStatements, apply_peer_statements
from dotterelgate_daemon.store import StoreRecord


@when("i-1 says in {source} that it leaves")
def state_leaving(context, source):
    daemon = context.daemon
    server = daemon.state.servers.states["i-1"]
    if source == "an answer":
        sent_to = ""
        while sent_to != "i-1":
            call_id, orders = daemon.arrive()
            sent_to = find(orders, messages.Dispatch).server.name
        daemon.answer(call_id, "i-1", draining=True)
    elif "peer" in source:
        stated = PeerStatements(born=server.server.born, is_leaving=True)
        apply_peer_statements(server, stated, daemon.now, "front-2")
    assert ("i-1" in daemon.list_eligible()) == (source == "no word")


@given("two daemons that list i-1 by its write 1 up to position 9 of era 1")
def list_both(context):
    context.followers = [Follower("front-1"), Follower("front-2")]
    for each in context.followers:
        each.daemon.run_control(StoreEraNamed(now=each.daemon.now, era=1))
        each.reader._on_records([build_record("i-2", 2, 1)])
        each.read([build_record("i-1", 1, 1, host=1, write=1)], end=9, era=1)
        each.reader._on_listed(frozenset(("i-1", "i-2")), each.reader.position)
        each.mesh.sent.clear()


@when("the first reads writes {first:d} to {last:d} of i-1, and then its removal by {removal}")
def read_removal(context, first, last, removal):
    follower = context.followers[0]
    offset = 10
    for write in range(first, last + 1):
        record = build_record("i-1", offset, 1, host=1, write=write)
        offset += 1
        follower.read([record], end=offset, era=1)
    if removal == "a record":
        removed = StoreRecord(key="i-1", offset=offset, value=None, era=1)
        follower.read([removed], end=offset + 1, era=1)
    else:
        follower.list_all(["i-2"], end=offset + 1, era=1)


@when("the other gets its updates")
def deliver_updates(context):
    first, other = context.followers
    for update in first.mesh.sent:
        if isinstance(update, RegistryUpdate):
            other.receive(update)
    assert "i-1" not in other.daemon.state.servers.states
    assert "i-1" not in first.daemon.state.servers.states


@when("both read write {write:d} of i-1 in a copy of era 2")
@when("both read write {write:d} of i-1 in era 2")
def read_copy(context, write):
    for each in context.followers:
        each.daemon.run_control(StoreEraNamed(now=each.daemon.now, era=2))
        each.read([build_record("i-1", write, 2, host=1, write=write)], end=write + 1, era=2)


@then("neither uses i-1")
def check_unused(context):
    assert not any("i-1" in each.daemon.list_eligible() for each in context.followers)


@then("both use i-1")
def check_used(context):
    assert all("i-1" in each.daemon.list_eligible() for each in context.followers)
