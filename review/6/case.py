"""Requests that wait for a slot when a daemon stops are dropped without an answer."""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_2.backends import Backend  # noqa: E402
from rig_2.fleet import HOST, CaseNotRunError, Fleet, find_free_address, run_case  # noqa: E402
from rig_2.wire import encode, read_message  # noqa: E402

DAEMON = "front-1"
# Eight run at a time, for a second each.
BACKENDS = 4
SLOTS = 2
WORK_SECONDS = 1.0
# The load is the same all the time, and more than the backends can serve.
REQUESTS_A_SECOND = 12
CONNECTIONS = 240
# The time budget of master-download, and the timeout of its route.
BUDGET_MS = 14_592
TIMEOUT_SECONDS = 14.592
ROUTE_TYPE = os.environ.get("ROUTE_TYPE", "download")
METHOD = "GET" if ROUTE_TYPE == "download" else "POST"
# From the first request of the load to SIGTERM, and from there to the last one.
STOP_AFTER_SECONDS = 8.0
LOAD_AFTER_STOP_SECONDS = 3.0
GRACE_SECONDS = 6.0
LOSS_SLACK_SECONDS = 0.2


class SlowBackend(Backend):
    """Works a second on each request but the first one of each client."""

    async def answer(self, request) -> bytes:
        """Answer one request."""
        self.work = 0.02 if "/first-" in request.first else WORK_SECONDS
        return await super().answer(request)


async def ask(reader, writer, request_id: str):
    """Send one request on an open connection; returns the answer, ``None`` for none."""
    headers = [
        ("Host", HOST),
        ("Request-Id", request_id),
        ("Request-Deadline-Ms", str(BUDGET_MS)),
    ]
    writer.write(encode(f"{METHOD} /orders/{request_id} HTTP/1.1", headers))
    try:
        return await asyncio.wait_for(read_message(reader), BUDGET_MS / 1000 + 1)
    except asyncio.TimeoutError:
        return None


async def open_connection(fleet: Fleet, number: int):
    """Open a connection and use it for a first request."""
    reader, writer = await fleet.connect(DAEMON)
    first = await ask(reader, writer, f"first-{number}")
    if first is None or first.status != 200 or first.find("connection") == "close":
        raise CaseNotRunError(f"first-{number} was not answered as expected")
    return reader, writer


async def send_order(fleet: Fleet, connection, request_id: str, ended: dict) -> None:
    """Send one request on a kept connection, and note how it ended."""
    sent_at = time.monotonic()
    answer = await ask(*connection, request_id)
    connection[1].close()
    after = time.monotonic() - sent_at
    status = answer.status if answer is not None else 0
    ended[request_id] = (sent_at, after, status)
    outcome = f"answered {status}" if status else "the connection ended without an answer"
    fleet.note(f"{request_id}: {outcome} after {after:.3f} s")


async def load(fleet: Fleet, connections: list, until: float, ended: dict) -> None:
    """Send requests at a fixed rate, each on a kept connection of its own."""
    orders = []
    for number in itertools.count():
        if time.monotonic() >= until or not connections:
            break
        connection = connections.pop()
        order = send_order(fleet, connection, f"order-{number}", ended)
        orders.append(asyncio.ensure_future(order))
        await asyncio.sleep(1 / REQUESTS_A_SECOND)
    await asyncio.gather(*orders)


async def play(fleet: Fleet, has_trouble: bool) -> list[str]:
    """Play the case."""
    await fleet.store.start()
    fleet.publish(1, ("/orders/", ROUTE_TYPE, "stock"), timeout=TIMEOUT_SECONDS)
    backends = []
    for number in range(1, BACKENDS + 1):
        backend = SlowBackend(
            name=f"i-{number}",
            service="stock",
            address=find_free_address(),
            zone="north",
            store=fleet.store,
            slots=SLOTS,
        )
        await backend.start()
        backends.append(backend)
    fleet.start_daemon(DAEMON, "north")
    await fleet.wait_ready()
    connections = [await open_connection(fleet, number) for number in range(CONNECTIONS)]
    ended: dict[str, tuple[float, float, int]] = {}
    begun_at = time.monotonic()
    until = begun_at + STOP_AFTER_SECONDS + LOAD_AFTER_STOP_SECONDS
    loading = asyncio.ensure_future(load(fleet, connections, until, ended))
    await asyncio.sleep(STOP_AFTER_SECONDS)
    stopped_at = time.monotonic()
    if has_trouble:
        fleet.daemons[DAEMON].send_signal(signal.SIGTERM)
        fleet.note(f"{DAEMON} gets SIGTERM")
        while fleet.daemons[DAEMON].poll() is None:
            await asyncio.sleep(0.01)
            if time.monotonic() - stopped_at > GRACE_SECONDS:
                fleet.daemons[DAEMON].kill()
        fleet.note(f"{DAEMON} ended {time.monotonic() - stopped_at:.3f} s after SIGTERM")
    await loading
    for _, writer in connections:
        writer.close()
    arrived = {each[1] for backend in backends for each in backend.arrivals}
    return [
        f"LOST: {request_id}, sent {sent_at - stopped_at:+.3f} s from SIGTERM, was passed on to no "
        f"backend, and its connection ended without an answer {after:.3f} s later"
        for request_id, (sent_at, after, status) in ended.items()
        if not status and request_id not in arrived and after > LOSS_SLACK_SECONDS
    ]


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
