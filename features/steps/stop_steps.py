"""Steps on planned stops."""

from __future__ import annotations

import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from steps.system_steps import start_system
from subjects.load import Load

from dotterelgate_bench.fleet import wait_until

LINGER_SECONDS = 1.0
SLOW_WINDOW_BYTES = 8192
LEAST_ANSWERS = 20
# The stopping daemon accepts callers for 2 s.
LONGEST_LOAD_SECONDS = 1.8


def start_load(context, **options):
    context.load = Load(system=context.system, names=list(context.system.fleet.daemons), **options)
    context.cleanups.append(context.load.stop)
    context.load.start()
    time.sleep(0.5)


def wait_for_end(process, seconds):
    return wait_until(process.has_ended, seconds=seconds, what=f"{process.name} ends")


@given(
    "a system of {daemons:d} daemons and {servers:d} backend servers "
    "whose daemons stop within {limit:d} seconds"
)
def start_limited(context, daemons, servers, limit):
    start_system(context, daemons, servers, stop_linger=0.5, stop_limit=limit)


@given("an order that was confirmed through {caller} for a key that {holder} holds")
def confirm_order(context, caller, holder):
    context.key = context.system.make_key(held_by=holder)
    context.order = context.system.write(caller, context.key)
    assert context.order.status == 200, context.order


@when("{name} is told to stop while callers read and write through all daemons")
def stop_under_load(context, name):
    start_load(context)
    process = context.system.fleet.daemons[name]
    process.send(signal.SIGTERM)
    context.ended_after = wait_for_end(process, 15)
    time.sleep(0.5)
    context.load.stop()


@when("all daemons are stopped and started again one by one while callers read and write")
def replace_all(context):
    system = context.system
    start_load(context)
    for name in list(system.fleet.daemons):
        system.fleet.daemons[name].send(signal.SIGTERM)
        wait_for_end(system.fleet.daemons[name], 20)
        system.start_daemon(int(name.split("-")[1]))
        system.fleet.wait_for_processes()
        system.wait_in_force(seconds=15)
        time.sleep(1.0)
    context.load.stop()


@when("{name} is told to stop while a write of {milliseconds:d} ms is in progress")
def stop_in_write(context, name, milliseconds):
    system = context.system
    key = system.make_key(held_by=name)
    answers = system.write_in_background(name, key, path=f"/orders/1?ms={milliseconds}")
    system.wait_for_ran(1)
    process = system.fleet.daemons[name]
    process.send(signal.SIGTERM)
    wait_for_end(process, 20)
    system.join_background()
    context.answer = answers[0]


def read_slowly(address, size, seconds):
    """Read a response through a small window; returns the bytes of its body."""
    host, port = address.split(":")
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_WINDOW_BYTES)
        # Segments as on Ethernet; those of loopback are larger than the window.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        sock.connect((host, int(port)))
        sock.sendall(f"GET /stock/1?ms=1&bytes={size} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        received = bytearray()
        began = time.monotonic()
        try:
            while part := sock.recv(SLOW_WINDOW_BYTES):
                received += part
                ahead = len(received) / size * seconds - (time.monotonic() - began)
                time.sleep(max(0.0, ahead))
        except ConnectionResetError:
            pass
    return len(received.partition(b"\r\n\r\n")[2])


@when("{name} is told to stop while {count:d} callers read {size:d} bytes in {seconds:d} seconds")
def stop_in_slow_reads(context, name, count, size, seconds):
    process = context.system.fleet.daemons[name]
    context.size = size
    with ThreadPoolExecutor(count) as pool:
        reads = [pool.submit(read_slowly, process.address, size, seconds) for _ in range(count)]
        time.sleep(0.5)
        process.send(signal.SIGTERM)
        context.ended_after = wait_for_end(process, 15)
        context.received = [each.result() for each in reads]


@then("each of them got every byte")
def check_every_byte(context):
    assert context.received == [context.size] * len(context.received), context.received


@then("the write gets a complete answer and {name} ended after it")
def check_write(context, name):
    assert context.answer.status == 200, context.answer
    assert len(context.system.list_ran()) == 1


@then("the write got no answer of its server, only that its outcome is unknown")
def check_cut_off(context):
    assert (context.answer.status, context.answer.code) == (502, 407), context.answer
    assert context.answer.outcome == "unknown" and not context.answer.server, context.answer


@when("{name} is told to stop and callers still connect to it for {seconds:d} second")
def stop_lingering(context, name, seconds):
    context.load = Load(system=context.system, names=[name], writes=True)
    context.cleanups.append(context.load.stop)
    context.load.start()
    context.system.fleet.daemons[name].send(signal.SIGTERM)
    began = time.monotonic()
    # A slow machine needs longer for the answers that the check requires; the
    # daemon accepts callers for its linger of 2 s.
    while time.monotonic() - began < seconds or (
        len(context.load.answers) <= LEAST_ANSWERS
        and time.monotonic() - began < LONGEST_LOAD_SECONDS
    ):
        time.sleep(0.02)
    context.load.stop()


@then("no caller was refused")
def check_none_refused(context):
    statuses = {answer.status for _, answer in context.load.answers}
    assert statuses == {200}, statuses


@when("{name} is told to stop while a configuration drains {server} under load")
def stop_and_drain(context, name, server):
    start_load(context)
    process = context.system.fleet.daemons[name]
    process.send(signal.SIGTERM)
    context.system.publish(draining=(server,))
    context.ended_after = wait_for_end(process, 15)
    context.load.stop()


@when("the log goes down and {name} is told to stop while callers read")
def stop_without_log(context, name):
    system = context.system
    system.fleet.set_faults(system.fleet.log, down=True)
    start_load(context, writes=False)
    process = system.fleet.daemons[name]
    process.send(signal.SIGTERM)
    context.ended_after = wait_for_end(process, 15)
    context.load.stop()


@then("every caller got a complete answer or a refusal as not run")
def check_load(context):
    assert len(context.load.answers) > LEAST_ANSWERS, len(context.load.answers)
    assert not context.load.wrong, (len(context.load.wrong), context.load.wrong[:5])


@then("{name} ended by itself within {seconds:d} seconds")
def check_ended(context, name, seconds):
    assert context.ended_after < seconds, context.ended_after


@then("the order's key gets the same answer through {name} and ran once")
def check_order(context, name):
    answer = context.system.write(name, context.key)
    assert answer.status == 200, answer
    assert answer.body == context.order.body
    assert context.system.fleet.count_runs(context.key) == 1


@then("the revision in force on every daemon is still the newest")
def check_revision(context):
    for name in context.system.fleet.daemons:
        status = context.system.fleet.read_status(name)
        assert status["revision"] == context.system.revision, status
