"""Steps on messages that peers relay."""

from __future__ import annotations

import random
import socket
import time
from types import SimpleNamespace

from behave import given, then, when
from subjects.store_daemon import StoreDaemon

from dotterelgate_border.datagrams import (
    RegistryEntry,
    RegistryUpdate,
    RelayRequest,
    encode_datagram,
)
from dotterelgate_core.relaying import plan_relays
from dotterelgate_daemon.mesh import Mesh
from dotterelgate_daemon.metrics import Metrics

SEED = 3
ARRIVAL_SECONDS = 2.0


@given("{count:d} peers and a message of {size:d} bytes")
def start(context, count, size):
    context.addresses = [f"10.0.0.{number}:1" for number in range(count)]
    context.size = size


@when("its relays are planned {times:d} times")
def plan(context, times):
    source = random.Random(SEED)
    context.plans = [plan_relays(context.addresses, context.size, source) for _ in range(times)]


@then("each peer is named once each time, and no link carries more than {most:d} bytes")
def check_plans(context, most):
    for groups in context.plans:
        named = [each for group in groups for each in (group.relay, *group.receivers)]
        assert sorted(named) == sorted(context.addresses)
        copies = max(len(groups), *(len(group.receivers) for group in groups))
        assert copies * context.size <= most, copies


@then("the relays differ from time to time")
def check_differ(context):
    relays = {frozenset(group.relay for group in groups) for groups in context.plans}
    assert len(relays) == len(context.plans)


@then("no peer relays it")
def check_direct(context):
    for groups in context.plans:
        assert [group.relay for group in groups] == context.addresses
        assert not any(group.receivers for group in groups)


@given("the datagram sockets of {count:d} daemons")
def open_sockets(context, count):
    context.meshes = [TestMesh(f"front-{number}") for number in range(count)]
    context.add_cleanup(lambda: [each.close() for each in context.meshes])


class TestMesh:
    """A daemon's datagram socket; its loop is the test."""

    __test__ = False

    def __init__(self, name):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = f"127.0.0.1:{probe.getsockname()[1]}"
        self.received = []
        metrics = Metrics()
        self.mesh = Mesh(
            address=self.address,
            incarnation="a",
            state=StoreDaemon(name=name).state,
            poller=SimpleNamespace(watch=self._watch),
            timers=None,
            metrics=metrics,
            emit=lambda message: None,
        )
        self.mesh.on_message = self.received.append

    def _watch(self, _owner, sock, watch):
        self._socket = sock
        self.read = watch.read

    def close(self):
        """Close the socket."""
        self._socket.close()


def receive_all(context, expected):
    """Let all daemons read until each has what is expected, or the time is over."""
    until = time.monotonic() + ARRIVAL_SECONDS
    while time.monotonic() < until:
        for each in context.meshes:
            each.read()
        if all(each.received for each in expected):
            break
        time.sleep(0.005)
    for each in context.meshes:
        each.read()


@when("the first sends all others an update of {size:d} bytes that cannot be compressed")
def send_update(context, size):
    value = random.Random(SEED).randbytes(size)
    context.update = RegistryUpdate(
        sender="front-0",
        start=0,
        end=1,
        returned_ms=-1,
        entries=[RegistryEntry(name="i-1", offset=0, value=value)],
    )
    first, *others = context.meshes
    first.mesh.send_to_all([each.address for each in others], encode_datagram(context.update))
    receive_all(context, others)


@then("each of the others receives it once")
def check_received(context):
    first, *others = context.meshes
    assert not first.received
    for each in others:
        assert each.received == [context.update], len(each.received)


@when("the first asks the second to relay a message to relay")
def send_nested(context):
    first, second = context.meshes
    inner = RelayRequest(sender="front-0", receivers=[first.address], body=b"x")
    outer = RelayRequest(sender="front-0", receivers=[], body=encode_datagram(inner))
    first.mesh.send(second.address, encode_datagram(outer))
    receive_all(context, [])


@then("the second receives nothing and sends nothing")
def check_refused(context):
    assert not any(each.received for each in context.meshes)
