"""Steps on planned stops of the platform's daemons."""

from __future__ import annotations

import signal
import socket
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import httpx
from behave import then, when
from stand_ins.fleet import HOST

from dotterelgate_bench.fleet import wait_until

# A configuration is in force within 2 s.
CONFIGURATION_SECONDS = 2.0


@when("front-1 is told to stop while requests go through it")
def stop_under_load(context):
    context.statuses = []
    stopping = threading.Event()

    def call(worker):
        number = 0
        while not stopping.is_set():
            number += 1
            answer = context.platform.request("front-1", "/orders/x", f"p{worker}-{number}")
            context.statuses.append(answer.status_code)

    workers = [threading.Thread(target=call, args=(n,)) for n in range(4)]
    for worker in workers:
        worker.start()
    time.sleep(0.5)
    # The check wants more than ten answers, which a busy machine has later.
    wait_until(lambda: len(context.statuses) > 10, seconds=5, what="ten requests are answered")
    context.platform.daemons["front-1"].send(signal.SIGTERM)
    # The daemon accepts callers for its linger of 0.5 s.
    time.sleep(0.2)
    stopping.set()
    for worker in workers:
        worker.join()


@when(
    "{count:d} writes of {milliseconds:d} ms with {seconds:d} s of time arrive at front-1, "
    "which gets {signals}"
)
def stop_with_waiting(context, count, milliseconds, seconds, signals):
    platform = context.platform
    platform.publish(11, "/orders/", timeout=float(seconds))
    time.sleep(CONFIGURATION_SECONDS)
    more = {"request-deadline-ms": str(seconds * 1000)}
    path = f"/orders/x?ms={milliseconds}"

    def send(number):
        try:
            answer = platform.request("front-1", path, f"n{number}", more, timeout=seconds)
        except httpx.TransportError as error:
            return repr(error)
        return answer.status_code

    with ThreadPoolExecutor(count) as pool:
        sent = {f"n{number}": pool.submit(send, number) for number in range(count)}
        for name in signals.split(", "):
            time.sleep(0.3)
            platform.daemons["front-1"].send(signal.Signals[name])
        context.ended = {request_id: each.result() for request_id, each in sent.items()}


@then("each is answered 200, or 503 while front-1 still runs, and no refused one ran")
def check_waiting_answered(context):
    counts = Counter(context.ended.values())
    assert set(counts) == {200, 503}, counts
    ran = {each for ids in context.platform.read_ledgers().values() for each in ids}
    assert ran == {each for each, status in context.ended.items() if status == 200}, (ran, counts)


@then("every request was answered by a backend server and front-1 ended within its limit")
def check_stopped(context):
    assert len(context.statuses) > 10 and set(context.statuses) == {200}, context.statuses
    process = context.platform.daemons["front-1"]
    wait_until(process.has_ended, seconds=5, what="front-1 ends")


@when("a write of {milliseconds:d} ms begins to arrive at front-1, which is told to stop")
def begin_write(context, milliseconds):
    platform = context.platform
    host, port = platform.settings["front-1"]["callers"].split(":")
    context.caller = socket.create_connection((host, int(port)), timeout=10)
    context.cleanups.append(context.caller.close)
    head = (
        f"POST /orders/x?ms={milliseconds} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: slow1\r\n"
        "Request-Deadline-Ms: 2000\r\nContent-Length: 2\r\n\r\nx"
    )
    context.caller.sendall(head.encode("ascii"))
    time.sleep(0.2)
    platform.daemons["front-1"].send(signal.SIGTERM)


@when("the rest of the write arrives {seconds:g} s later")
def end_write(context, seconds):
    time.sleep(seconds)
    context.caller.sendall(b"x")
    context.answer = b""
    while part := context.caller.recv(65536):
        context.answer += part


@then("the write is answered {status:d}")
def check_write(context, status):
    assert context.answer.startswith(b"HTTP/1.1 %d " % status), context.answer


@then("the write is answered {status:d} and no backend server ran it")
def check_write_not_run(context, status):
    check_write(context, status)
    ran = [each for ids in context.platform.read_ledgers().values() for each in ids]
    assert "slow1" not in ran, ran
