"""Stand-in of a backend server, with its entry in the store."""

from __future__ import annotations

import asyncio
import json
import time

from rig_2.wire import close_quietly, encode, read_message

TOPIC = "keyed.servers"
HEARTBEAT_SECONDS = 1.5
SLOTS = 8
# Entries are back within about two seconds of the store's return.
REWRITE_SECONDS = 1.2


class Backend:
    """Runs requests that name it, and says so when it leaves.

    :param arrivals: second, id and method of each request that reached it for it
    """

    def __init__(self, *, name, service, address, zone, store, work=0.02, slots=SLOTS) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.store = store
        self.work = work
        self.slots = slots
        self.state = "ready"
        self.is_leaving = False
        self.running = 0
        self.writes = 0
        self.born = int(time.time() * 1000)
        self.arrivals: list[tuple[float, str, str]] = []
        self.is_registered = False
        self.is_serving = False
        self._known_era = store.era
        self._wrote_removal = False
        self._owes_removal = False

    async def start(self, backlog: int = 100) -> None:
        """Listen, register and send liveness reports."""
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self._serve, host, int(port), backlog=backlog)
        self.is_serving = True
        self.is_registered = True
        self.register()
        self._reports = asyncio.ensure_future(self._report())

    def register(self) -> float:
        """Write its entry; returns the second of the store's ack."""
        self.writes += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "config-version": 1,
            "slots": self.slots,
            "state": self.state,
            "cold-left": 0.0,
            "seq": self.writes,
            "born": self.born,
        }
        return self.store.write(TOPIC, self.name, json.dumps(entry).encode())

    def drain(self) -> float:
        """Say that it leaves, in its entry and in all its answers."""
        self.state = "draining"
        self.is_leaving = True
        return self.register()

    def remove(self) -> float:
        """Leave without saying so first: its entry is removed, and it serves on for a time."""
        self.is_leaving = True
        self.is_registered = False
        self._wrote_removal = True
        return self.store.write(TOPIC, self.name, b"")

    async def _report(self) -> None:
        due = time.monotonic() + HEARTBEAT_SECONDS
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.store.is_away:
                continue
            if self.store.era != self._known_era:
                # What the backends wrote is written again after a restore.
                due = self.store.returned_at + REWRITE_SECONDS
                self._known_era = self.store.era
                self._owes_removal = self._wrote_removal
            if now < due:
                continue
            due = now + HEARTBEAT_SECONDS
            if self.is_registered:
                self.register()
            elif self._owes_removal:
                self._owes_removal = False
                self.store.write(TOPIC, self.name, b"")

    def end(self) -> None:
        """Stop listening and reporting."""
        self._reports.cancel()
        self.server.close()

    def build_headers(self, request_id: str | None) -> list[tuple[str, str]]:
        """Build the headers of an answer."""
        headers = [
            ("Instance-Id", self.name),
            ("Server-Load", f"{self.running},0,{self.slots},100"),
            ("Keep-Alive", "timeout=10"),
        ]
        if self.is_leaving:
            headers.append(("Server-Leaving", "1"))
        if request_id:
            headers += [("Request-Id", request_id), ("Server-Stamp", f"{self.name}.{request_id}")]
        return headers

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self.answer(request))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            # The client has left, or the case has ended.
            pass
        finally:
            close_quietly(writer)

    async def answer(self, request) -> bytes:
        """Answer one request."""
        method, target, _ = request.first.split(" ")
        request_id = request.find("request-id")
        if target == "/health":
            status = 503 if self.is_leaving else 200
            return encode(f"HTTP/1.1 {status} X", self.build_headers(None))
        if request.find("expect-instance") not in (None, self.name):
            headers = [*self.build_headers(request_id), ("Not-Executed", "1")]
            return encode("HTTP/1.1 421 X", headers)
        self.arrivals.append((time.monotonic(), request_id or "", method))
        self.running += 1
        try:
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
        return encode("HTTP/1.1 200 OK", self.build_headers(request_id), target.encode())
