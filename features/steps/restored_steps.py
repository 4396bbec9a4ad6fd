"""Steps on a store that comes back from a copy."""

from __future__ import annotations

import re
import threading
import time

from behave import given, then, when
from subjects.large_zone import Follower, build_record
from subjects.restored_store import RestoredStore
from subjects.store_daemon import StoreDaemon

from dotterelgate_border.datagrams import RegistryUpdate
from dotterelgate_core.eras import Position
from dotterelgate_core.messages import Decision
from dotterelgate_core.registry import RegistryListed, StoreEraNamed
from dotterelgate_daemon.store import StoreRecord

# Until all daemons have read what was written.
READ_SECONDS = 1.5
DRAIN_SECONDS = 2.0
ADDRESS = "10.0.0.1:1001"


def write_entries(context, name, times):
    for _ in range(times // 2):
        # Daemons send each other only entries that changed.
        context.platform.drain(name)
        context.platform.mark_ready(name)


@when("i-1 writes its entry {times:d} times more")
def write_often(context, times):
    time.sleep(0.1)
    context.copied_at = time.monotonic()
    time.sleep(0.1)
    write_entries(context, "i-1", times)
    time.sleep(READ_SECONDS)


@when("the store is restored to the time before that")
def restore(context):
    seconds = time.monotonic() - context.copied_at
    context.platform.ask_store("/restore", {"seconds": seconds})


@when("the store is restored to the time before the daemons started")
def restore_to_start(context):
    context.platform.ask_store("/restore", {"seconds": 3600})
    context.platform.publish(10, "/orders/")
    for name in ("i-1", "i-2"):
        context.platform.mark_ready(name)


@when("i-1 leaves")
def leave(context, name="i-1"):
    context.platform.drain(name)
    context.left_at = time.monotonic()


@when("i-2 leaves and i-1 writes its entry {times:d} times more")
def leave_and_write(context, times):
    # The daemons do not read before all is written.
    context.platform.ask_store("/faults", {"down": True})
    leave(context, "i-2")
    write_entries(context, "i-1", times)
    context.platform.ask_store("/faults", {"down": False})
    context.left_at = time.monotonic()


@then("{name} gets no request later than 2 s after that, and the others do")
def check_left(context, name):
    platform = context.platform

    def call(daemon):
        for number in range(60):
            platform.request(daemon, "/orders/x", f"{daemon}-{number}")
            time.sleep(0.05)

    workers = [threading.Thread(target=call, args=(each,)) for each in platform.daemons]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    last_at = context.left_at + DRAIN_SECONDS
    late = {
        server: sum(at > last_at for _, at in arrivals)
        for server, arrivals in platform.read_arrivals().items()
    }
    assert late.pop(name) == 0, late
    assert all(late.values()), late


@when("version {version:d} with the prefix {prefix} is written and served")
def publish_and_serve(context, version, prefix):
    context.copied_at = time.monotonic()
    time.sleep(0.1)
    context.platform.publish(version, prefix)
    for name in list(context.platform.daemons):
        context.platform.wait_for_status(name, f"{prefix}x", 200, 5)


@then("front-3 serves {path} within {seconds:g} s")
def check_served(context, path, seconds):
    context.platform.wait_for_status("front-3", path, 200, seconds)


@given("a daemon that knows i-1 by its write 9 at offset 60 of era 1, and i-2")
def start_with_known(context):
    context.daemon = StoreDaemon()
    context.daemon.configure()
    context.daemon.run_control(StoreEraNamed(now=context.daemon.now, era=1))
    context.daemon.register("i-1", offset=60, era=1, write=9, address=ADDRESS)
    context.daemon.register("i-2", offset=10, era=1, write=9)
    context.daemon.now += 10.0


@when("i-1 leaves by write 10 at offset 61 of era 1")
def read_leaving(context):
    context.daemon.register("i-1", offset=61, era=1, write=10, draining=True, address=ADDRESS)


@when("the entry of i-1 goes at offset 61 of era 1")
def read_removed(context):
    context.daemon.remove("i-1", offset=61, era=1)


@when("i-1 writes 10 again at offset 61 of era 1")
def read_again(context):
    context.daemon.register("i-1", offset=61, era=1, write=10, address=ADDRESS)


@when("the store's era is {era:d} and i-1 is read as written {what} at offset {offset:d} of era 2")
def read_in_era(context, era, what, offset):
    context.daemon.run_control(StoreEraNamed(now=context.daemon.now, era=era))
    read_entry(context, what, offset, era)


@when("i-1 is then read as written {what} at offset {offset:d} of era {era:d}")
def read_entry(context, what, offset, era):
    number = re.search(r"write (\d+)", what)
    is_later_run = "later run" in what
    context.daemon.register(
        "i-1",
        offset=offset,
        era=era,
        write=int(number.group(1)) if number else int(is_later_run),
        born=2 if is_later_run else 1,
        draining=what.startswith("leaving"),
        address=ADDRESS,
    )


@when("the store's era is 2 and only i-2 is listed up to offset 40")
def list_without(context):
    daemon = context.daemon
    daemon.run_control(StoreEraNamed(now=daemon.now, era=2))
    daemon.register("i-2", offset=10, era=2, write=9)
    listed = RegistryListed(
        now=daemon.now, names=frozenset(["i-2"]), end=Position(era=2, offset=40)
    )
    daemon.run_control(listed)


@then("after the restore work may go to {names}")
def check_usable(context, names):
    assert context.daemon.list_eligible() == names.split(" and "), context.daemon.list_eligible()


@when("a peer and the store name era 4")
def name_era(context):
    daemon = context.daemon
    named = [StoreEraNamed(now=daemon.now, era=4, source=each) for each in ("front-2", "the store")]
    context.orders = [order for each in named for order in daemon.run_control(each)]


@then("the log says once that the store was restored, learned from the peer")
def check_logged(context):
    lines = [each.sentence for each in context.orders if isinstance(each, Decision)]
    assert lines == ["it was restored; era 4 begins, learned from front-2"], lines


@given("a reader that has read 5 records of a store in era {era:d}")
def start_reader(context, era):
    context.store = RestoredStore(keys=[f"k-{n}" for n in range(5)], era=era)
    context.store.complete_read()
    context.store.listings = 0


@given("a reader of a store in era 3 with 5 records that has received the first page")
def start_listing(context):
    context.store = RestoredStore(keys=[f"k-{n}" for n in range(5)], era=3)
    context.store.begin_read()
    context.store.answer()


@when("the store is restored to its first 3 records and {written} written")
def restore_and_write(context, written):
    context.store.restore(kept=3)
    names = re.sub(r" (is|are)$", "", written)
    context.store.write(*(() if names == "nothing" else names.split(", ")))
    # A page that was asked for before the restore is served by the restored store.
    for at, (deliver, _) in enumerate(context.store.in_transit):
        context.store.in_transit[at] = (deliver, rebuild_page(context.store))


def rebuild_page(store):
    """Serve the second page of the listing again."""
    pending, store.in_transit = store.in_transit, []
    path = "/?topic=t&part=0&after=k-1"
    store._fetch(method="GET", path=path, body=b"", on_answer=None, on_failure=None)
    (_, answer), store.in_transit = store.in_transit[0], pending
    return answer


@when("the reader reads to the end")
def complete(context):
    context.store.complete_read()


@when("the rest of the answers arrive")
def deliver_rest(context):
    while context.store.in_transit:
        context.store.answer()


@when("a read is served, the store is restored twice, and a refusal of the new era comes first")
def refuse_between(context):
    store = context.store
    store.begin_read()
    late = store.in_transit.pop()
    store.restore(kept=3, rises=2)
    store.begin_read()
    store.answer(status=503)
    store.in_transit.append(late)


@then('the late answer ended with "{reason}"')
def check_late(context, reason):
    assert context.store.ends[-1].startswith(reason), context.store.ends


@then("it listed all keys and has read {keys}")
def check_listed(context, keys):
    assert context.store.listings >= 1
    assert sorted(set(context.store.read)) == sorted(keys.split(", ")), context.store.read


@then("the reader listed twice and ends behind the 4 records of era 4")
def check_listed_twice(context):
    assert context.store.listings == 2, context.store.listings
    assert context.store.reader.position == Position(era=4, offset=4)
    assert context.store.ends == ["read"], context.store.ends


@when("x is written to the store")
def write_x(context):
    context.store.write("x")


@then("it read only x")
def check_tail(context):
    assert context.store.read == ["x"] and context.store.listings == 0, context.store.read


@given("two daemons that list i-1 and i-2 up to position 9 of era 1")
def list_both(context):
    context.followers = [Follower("front-1"), Follower("front-2")]
    for each in context.followers:
        each.daemon.run_control(StoreEraNamed(now=each.daemon.now, era=1))
        each.list_all(["i-1", "i-2"], end=9, era=1)
        each.mesh.sent.clear()


@when("the first reads i-3 at position 4 of a listing in era 2")
def list_restored(context):
    first = context.followers[0]
    first.daemon.run_control(StoreEraNamed(now=first.daemon.now, era=2))
    first.list_all(["i-1", "i-2", "i-4", "i-5", "i-3"], end=5, era=2)


@then("its update brings the other to the end of era 2 with i-3, and without a gap")
def check_update(context):
    first, other = context.followers
    update = next(each for each in first.mesh.sent if isinstance(each, RegistryUpdate))
    assert other.receive(update)
    assert other.reader.position == Position(era=2, offset=5), other.reader.position
    assert "i-3" in other.daemon.state.servers.states
    context.update = update


@when("an update of era 1 arrives at the other, and one of an earlier build that names no era")
def receive_old(context):
    other = context.followers[1]
    value = build_record("i-1", 50).value
    record = StoreRecord(key="i-1", offset=50, value=value, era=1)
    first = Follower("front-1")
    first.daemon.run_control(StoreEraNamed(now=first.daemon.now, era=1))
    first.list_all(["i-1"], end=9, era=1)
    first.read([record], end=60, era=1)
    updates = [each for each in first.mesh.sent if isinstance(each, RegistryUpdate)]
    unnamed = RegistryUpdate(sender="front-7", start=0, end=99, returned_ms=-1, entries=[])
    context.counted = [other.receive(each) for each in (*updates, unnamed)]


@then("neither counts as a read of the store")
def check_not_counted(context):
    assert context.counted and not any(context.counted), context.counted
    assert context.followers[1].reader.position == Position(era=2, offset=5)


@given("a store of {count:d} keys in pages of two")
def start_listing_store(context, count):
    context.keys = [f"k-{number}" for number in range(count)]
    context.store = RestoredStore(keys=context.keys, era=1)


@when(
    "a listing begins and gets {pages:d} pages before another one, and their pages arrive {order}"
)
def overlap_listings(context, pages, order):
    store = context.store
    store.begin_read()
    for _ in range(pages):
        store.answer()
    store.begin_read()
    while store.in_transit:
        if order != "in turn":
            store.in_transit.reverse()
        store.answer()


@then("each listing names all {count:d} keys, and the position is {position:d}")
def check_listings(context, count, position):
    store = context.store
    assert store.listed == [(context.keys, position)] * 2, store.listed
    assert store.reader.position.offset == position
    assert store.ends == ["read", "read"]
