"""Steps on zones that read the registry for each other."""

from __future__ import annotations

import msgspec
from behave import given, then, when
from subjects.large_zone import build_record
from subjects.reading_zones import ReadingZones

from dotterelgate_border.datagrams import (
    RegistryEntry,
    RegistryUpdate,
    decode_datagram,
    encode_datagram,
)


@given("{zones:d} zones of {count:d} daemons, where reads, updates and heartbeats arrive at once")
def start(context, zones, count):
    context.zones = ReadingZones(zones=zones, daemons=count)


@given(
    "{zones:d} zones of {count:d} daemons, where {loss:d} in 100 updates are lost, seed {seed:d}"
)
def start_with_loss(context, zones, count, loss, seed):
    context.zones = ReadingZones(zones=zones, daemons=count, loss=loss / 100, seed=seed)


@when("{seconds:d} s go by in the zones")
def run(context, seconds):
    context.zones.run(seconds)


@when("the leading zone is lost")
def lose_zone(context):
    zones = context.zones
    zones.kill(zones.list_readers(zones.find_leading_zone()))


@when("the leading zone's readers are killed")
def kill_readers(context):
    zones = context.zones
    zones.kill(zones.list_readers(zones.find_leading_zone())[:2])


@when("the leading zone's readers have what they read only {seconds:g} s later")
def slow_down(context, seconds):
    zones = context.zones
    readers = zones.list_readers(zones.find_leading_zone())[:2]
    zones.slow = dict.fromkeys(readers, seconds)


@when("the zones are cut off from each other")
def cut(context):
    context.zones.is_cut = True


@when("updates no longer arrive")
def lose_updates(context):
    context.zones.loss = 1.0


@when("the store refuses the {count:d} daemons that rank first")
def refuse(context, count):
    zones = context.zones
    zones.refused = set(zones.list_readers(zones.find_leading_zone())[:count])


@then("at most {most:d} daemons sent updates in the last {seconds:d} s")
def check_senders(context, most, seconds):
    zones = context.zones
    senders = {name for at, name in zones.sent if at > zones.now - seconds}
    assert 1 <= len(senders) <= most, senders


@then("{least:d} to {most:d} reads were made in the last {seconds:d} s")
def check_reads(context, least, most, seconds):
    zones = context.zones
    reads = sum(at > zones.now - seconds for at, _ in zones.reads)
    assert least <= reads <= most, reads


@then("no daemon was without an update for more than {longest:g} s in the last {seconds:d} s")
def check_gaps(context, longest, seconds):
    zones = context.zones
    worst = max(gap for at, gap in zones.gaps if at > zones.now - seconds)
    assert worst <= longest + 1e-6, worst


@then("{count:d} daemon read the store in the last {seconds:d} s")
def check_readers(context, count, seconds):
    zones = context.zones
    readers = {name for at, name in zones.reads if at > zones.now - seconds}
    assert len(readers) == count, readers


@given("a configuration is written every {seconds:g} s")
def publish(context, seconds):
    context.zones.publish_seconds = seconds


@then(
    "no daemon was behind the configuration for more than {longest:g} s in the last {seconds:d} s"
)
def check_lags(context, longest, seconds):
    zones = context.zones
    worst = max(lag for at, lag in zones.lags if at > zones.now - seconds)
    assert worst <= longest + 1e-6, worst


@given("an update of {count:d} entries of 330 bytes")
def build_update(context, count):
    records = [build_record(f"i-{number}", number) for number in range(count)]
    entries = [RegistryEntry(name=e.key, offset=e.offset, value=e.value) for e in records]
    context.update = RegistryUpdate(
        sender="front-1", start=0, end=count, returned_ms=-1, entries=entries
    )


@then("it takes less than a third of its bytes, and a peer decodes the same")
def check_compressed(context):
    data = encode_datagram(context.update)
    assert len(data) < sum(len(each.value) for each in context.update.entries) / 3, len(data)
    assert decode_datagram(data) == context.update


@then("a datagram of it with any byte cut off or changed is refused or decodes as a message")
def check_corrupt(context):
    data = encode_datagram(context.update)
    broken = [data[:at] for at in range(len(data))]
    broken += [data[:at] + bytes([data[at] ^ 0x55]) + data[at + 1 :] for at in range(len(data))]
    for each in broken:
        try:
            message = decode_datagram(each)
        except msgspec.MsgspecError:
            continue
        assert message.sender, message
