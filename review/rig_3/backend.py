"""Stand-in for a backend: registers itself, answers requests and status checks."""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import dataclass, field

from .store import SERVERS, Store
from .wire import Message, read_request, write_answer

BEAT_SECONDS = 1.5
ACCEPT_SECONDS = 0.02


@dataclass
class Backend:
    """One backend; it serves one request at a time on a connection.

    :param work: seconds that a request takes
    :param backlog: length of its queue of new connections
    :param arrived: id and monotonic second of each request that it has read
    :param ran: ids of the requests that it has begun to work on
    """

    name: str
    service: str
    zone: str
    store: Store
    host: str
    slots: int = 6
    work: float = 0.1
    backlog: int = 128
    turns_away: str = ""
    arrived: list[tuple[str, float]] = field(default_factory=list)
    turned_away: list[tuple[str, float]] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    state: str = "ready"

    def __post_init__(self) -> None:
        self.socket = socket.socket()
        self.socket.bind((self.host, 0))
        self.socket.listen(self.backlog)
        self.socket.setblocking(False)
        self.address = "{}:{}".format(*self.socket.getsockname())
        self.accepts = asyncio.Event()
        self.accepts.set()
        self._seq = 0
        self._born = int(time.time() * 1000)
        self._running = 0
        self._tasks: set[asyncio.Task] = set()

    def start(self) -> None:
        """Register, and serve."""
        self.register()
        self._add(self._beat())
        self._add(self._accept())

    def register(self) -> float:
        """Write its entry; returns the monotonic second of the store's ack."""
        self._seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "config-version": 1,
            "slots": self.slots,
            "state": self.state,
            "cold-left": 0.0,
            "seq": self._seq,
            "born": self._born,
        }
        return self.store.write(SERVERS, self.name, entry)

    async def fill_queue(self) -> list[socket.socket]:
        """Fill its queue of new connections, as other callers do; it accepts none meanwhile."""
        self.accepts.clear()
        await asyncio.sleep(2 * ACCEPT_SECONDS)
        host, port = self.address.rsplit(":", 1)
        fillers = []
        for _ in range(self.backlog + 1):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            fillers.append(filler)
        return fillers

    def _add(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            self.register()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self.accepts.wait()
            try:
                accepted, _ = await asyncio.wait_for(loop.sock_accept(self.socket), ACCEPT_SECONDS)
            except TimeoutError:
                continue
            reader, writer = await asyncio.open_connection(sock=accepted)
            self._add(self._serve(reader, writer))

    def _load(self) -> tuple[str, str]:
        return "Server-Load", f"{self._running},0,{self.slots},100"

    async def _serve(self, reader, writer) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                await self._answer(request, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message, writer) -> None:
        if request.target == "/health":
            status = 200 if self.state == "ready" else 503
            write_answer(writer, status, b"", [("Instance-Id", self.name), self._load()])
            return
        request_id = request.headers.get("request-id", "")
        self.arrived.append((request_id, time.monotonic()))
        echo = ("Request-Id", request_id)
        if request.headers.get("expect-instance", self.name) != self.name:
            write_answer(writer, 421, b"", [echo, ("Not-Executed", "1")])
            return
        if self.turns_away:
            headers = [echo, ("Not-Executed", "1"), ("Retry-After", self.turns_away), self._load()]
            write_answer(writer, 503, b"", headers)
            self.turned_away.append((request_id, time.monotonic()))
            return
        self.ran.append(request_id)
        self._running += 1
        await asyncio.sleep(self.work)
        self._running -= 1
        stamp = ("Server-Stamp", f"{self.name}.{request_id}")
        write_answer(writer, 200, f"done {request_id}".encode(), [echo, stamp, self._load()])
