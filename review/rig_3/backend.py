"""Stand-in for a backend: registers itself, answers requests and status checks."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from dataclasses import dataclass, field

from .store import SERVERS, Store
from .wire import Message, read_request, write_answer

BEAT_SECONDS = 1.5


@dataclass
class Backend:
    """One backend; it serves one request at a time on a connection.

    :param work: seconds that a request takes
    :param backlog: length of its queue of new connections
    :param turns_away: `Retry-After` with which it turns away requests and status checks, if any
    :param deadly: target of the requests that crash it
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
    checks_turned_away: list[float] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    state: str = "ready"
    deadly: str = ""
    down_seconds: float = 2.0
    crashes: list[tuple[str, float]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._is_down = False
        self._begin_life()

    def _begin_life(self) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((self.host, self._port))
        self.socket.listen(self.backlog)
        self.socket.setblocking(False)
        self._port = self.socket.getsockname()[1]
        self.address = f"{self.host}:{self._port}"
        self._seq = 0
        self._born = int(time.time() * 1000)
        self._running = 0

    def start(self) -> None:
        """Register, and serve."""
        self.register()
        self._add(self._beat())
        self.accept_again()

    def crash(self) -> None:
        """End at once, as a process does that is killed, and start again some seconds later."""
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()
        self._is_down = True
        for writer in list(self._writers):
            reset = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
            writer.transport.abort()
        self._add(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(self.down_seconds)
        self._begin_life()
        self._is_down = False
        self.register()
        self.accept_again()

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

    def fill_queue(self) -> list[socket.socket]:
        """Fill its queue of new connections, as other callers do; it accepts none meanwhile."""
        asyncio.get_running_loop().remove_reader(self.socket)
        host, port = self.address.rsplit(":", 1)
        fillers = []
        for _ in range(self.backlog + 1):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            fillers.append(filler)
        return fillers

    def accept_again(self) -> None:
        """Accept new connections."""
        asyncio.get_running_loop().add_reader(self.socket, self._accept)

    def _add(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            if not self._is_down:
                self.register()

    def _accept(self) -> None:
        try:
            accepted, _ = self.socket.accept()
        except BlockingIOError:
            return
        accepted.setblocking(False)
        self._add(self._serve_socket(accepted))

    async def _serve_socket(self, accepted: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=accepted)
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        finally:
            self._writers.discard(writer)

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
            headers = [("Instance-Id", self.name), self._load()]
            if self.turns_away:
                headers += [("Not-Executed", "1"), ("Retry-After", self.turns_away)]
                self.checks_turned_away.append(time.monotonic())
            status = 200 if self.state == "ready" and not self.turns_away else 503
            write_answer(writer, status, b"", headers)
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
        if self.deadly and request.target == self.deadly:
            self.crashes.append((request_id, time.monotonic()))
            self.crash()
            return
        self._running += 1
        await asyncio.sleep(self.work)
        self._running -= 1
        stamp = ("Server-Stamp", f"{self.name}.{request_id}")
        write_answer(writer, 200, f"done {request_id}".encode(), [echo, stamp, self._load()])
