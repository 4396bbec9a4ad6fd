"""Stand-ins for the platform, and processes of the project, for the scripts of the review.

Store, backends and clients run in the script's own process, on loopback addresses. The entry
daemons are separate processes, started with the command of ``deploy/system.toml`` and with
settings made from the template that it names.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT = 1.5
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
STARTED = time.monotonic()


class CouldNotRunError(Exception):
    """The case could not be played as intended, so it shows nothing."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        line = f"{time.monotonic() - STARTED:8.3f} {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


def find_free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Find a free port on 127.0.0.1."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


@dataclass
class Request:
    """A request as a stand-in read it; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None

    @property
    def id(self) -> str:
        return self.headers.get("request-id", "")


async def read_head(reader: asyncio.StreamReader) -> Request | None:
    """Read a request's head; ``None`` when the connection ended before one."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    pairs = (line.split(":", 1) for line in lines if line)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    return Request(method=method, target=target, headers=headers, reader=reader)


async def read_body(request: Request) -> bytes:
    """Read a request's whole body, whichever its framing."""
    reader = request.reader
    assert reader is not None
    if request.headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(request.headers.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        part = await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body
        body += part


def encode_answer(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Encode an answer with its length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def _serve(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    answer: Callable[[Request], Awaitable[bool]],
) -> None:
    try:
        while (request := await read_head(reader)) is not None:
            request.writer = writer
            if not await answer(request):
                break
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        writer.close()


class Store:
    """The platform's store: the newest record of each key, one partition a topic."""

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.era = 1
        self.address = ""

    async def start(self) -> None:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await _serve(reader, writer, self._answer)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def write(self, topic: str, key: str, value: bytes) -> int:
        """Append a record; one without a value drops the key."""
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        return len(records) - 1

    async def _answer(self, request: Request) -> bool:
        request.body = await read_body(request)
        path, _, query = request.target.partition("?")
        terms = dict(urllib.parse.parse_qsl(query))
        records = self.topics.setdefault(terms.get("topic", ""), [])
        status, body = 404, b"{}"
        if path.endswith("/log-append"):
            content = request.body[4:]
            key_end = 1 + content[0]
            offset = self.write(terms["topic"], content[1:key_end].decode(), content[key_end:])
            status, body = 200, json.dumps({"offset": offset, "end": offset + 1}).encode()
        elif path.endswith("/log-newest"):
            newest = {key: (at, value) for at, (key, value) in enumerate(records)}
            items = [
                {"key": key, "offset": at, "value": base64.b64encode(value).decode()}
                for key, (at, value) in sorted(newest.items())
                if value and key > terms.get("after", "")
            ]
            page, more = items[:500], len(items) > 500
            status = 200
            body = json.dumps({"items": page, "more": more, "end": len(records)}).encode()
        elif path.endswith("/log-read"):
            start = int(terms["from"])
            status, body = 200, len(records).to_bytes(8, "big") + bytes(8)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + value
                body += len(content).to_bytes(4, "big") + content
        assert request.writer is not None
        await asyncio.sleep(0.004)
        request.writer.write(encode_answer(status, body, {"Store-Era": str(self.era)}))
        await request.writer.drain()
        return True


Handler = Callable[["Backend", Request], Awaitable[bool]]


async def answer_plainly(backend: Backend, request: Request) -> bool:
    """Run the request and answer it."""
    request.body = await read_body(request)
    backend.note_run(request)
    backend.write(request, 200, b"done by " + backend.name.encode())
    return True


@dataclass
class Backend:
    """A backend of one service, which registers itself and answers with its proof.

    :param handler: answers a request that is meant for this backend; returns whether the
        connection stays open
    """

    name: str
    service: str
    store: Store
    record: Record
    handler: Handler = answer_plainly
    slots: int = 8
    zone: str = "z1"
    address: str = ""
    state: str = "ready"
    seq: int = 0
    born: int = 0
    is_registered: bool = True
    extra_headers: dict[str, str] = field(default_factory=dict)
    ran: list[tuple[float, Request]] = field(default_factory=list)
    _server: asyncio.Server | None = None
    _listener: socket.socket | None = None
    _fillers: list[socket.socket] = field(default_factory=list)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen, and register."""
        await self.listen()
        self.born = int(time.time() * 1000)
        asyncio.get_running_loop().create_task(self._beat())

    async def listen(self) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(("127.0.0.1", int(self.address.rpartition(":")[2] or 0)))
        self._server = await asyncio.start_server(self._accept, sock=self._listener)
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]

    def crash(self) -> None:
        """End at once: nothing listens any more, and all connections are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def go_dark(self) -> None:
        """Stop like a machine without power: no answers, and no answer to a new connection.

        Nothing is accepted any more; connections of its own fill the listener's queue, so
        that the next one hangs.
        """
        assert self._listener is not None
        self.is_registered = False
        asyncio.get_running_loop().remove_reader(self._listener.fileno())
        for writer in self._writers:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
        self._listener.listen(0)
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", int(self.address.rpartition(":")[2])))
            self._fillers.append(sock)
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT, self.store.write, "keyed.servers", self.name, b""
        )

    def build_entry(self, **changes: object) -> bytes:
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "config-version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-left": 0,
            "seq": self.seq,
            "born": self.born,
        }
        return json.dumps({**entry, **changes}).encode()

    def register(self) -> None:
        """Write the entry once more."""
        self.seq += 1
        self.store.write("keyed.servers", self.name, self.build_entry())

    async def _beat(self) -> None:
        while True:
            if self.is_registered and self._server is not None:
                self.register()
            await asyncio.sleep(HEARTBEAT)

    def note_run(self, request: Request) -> None:
        """Note that work on a request began."""
        self.ran.append((time.monotonic(), request))
        self.record(f"{self.name} runs {request.id} {request.method} {request.target}")

    def write(
        self, request: Request, status: int, body: bytes = b"", stamp: bool = True, **more: str
    ) -> None:
        """Answer a request."""
        headers = {"Request-Id": request.id, "Instance-Id": self.name}
        if stamp:
            headers["Server-Stamp"] = f"{self.name}.{request.id}"
        headers["Server-Load"] = f"0,0,{self.slots},100"
        headers["Keep-Alive"] = "timeout=10"
        headers |= self.extra_headers | {k.replace("_", "-"): v for k, v in more.items()}
        assert request.writer is not None
        request.writer.write(encode_answer(status, body, headers))

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await _serve(reader, writer, self._answer)
        finally:
            self._writers.discard(writer)

    async def _answer(self, request: Request) -> bool:
        if request.target == "/health":
            request.body = await read_body(request)
            headers = {"Instance-Id": self.name, "Server-Load": f"0,0,{self.slots},100"}
            headers |= {"Keep-Alive": "timeout=10"} | self.extra_headers
            status = 200 if self.state == "ready" else 503
            assert request.writer is not None
            request.writer.write(encode_answer(status, b"", headers))
            return True
        if request.headers.get("expect-instance", self.name) != self.name:
            request.body = await read_body(request)
            self.write(request, 421, stamp=False, Not_Executed="1")
            return True
        return await self.handler(self, request)


def render_settings(fields: dict[str, object]) -> str:
    """Fill in the settings template of the deploy file, as the platform does."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
    template = (ROOT / deploy["roles"]["front"]["template"]).read_text(encoding="utf-8")

    def fill(match: re.Match[str]) -> str:
        path, _, form = match[1].partition("|")
        value: object = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]  # type: ignore
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", fill, template)


class Daemon:
    """One entry daemon, started as ``deploy/system.toml`` says."""

    def __init__(self, name: str, store: Store, folder: Path, *, zone: str) -> None:
        self.name = name
        self.folder = folder
        self.callers = find_free_port()
        self.ready_port = find_free_port()
        fields = {
            "node": name,
            "zone": zone,
            "ip": "127.0.0.1",
            "listen": {
                "front": f"127.0.0.1:{self.callers}",
                "ready-addr": f"127.0.0.1:{self.ready_port}",
            },
            "internal-ports": [find_free_port(socket.SOCK_DGRAM), find_free_port()],
            "provider": {"address": store.address},
            "bounds": {"grace": 6, "retry-budget-ratio": 0.2},
        }
        self.settings = folder / f"{name}.settings"
        self.settings.write_text(render_settings(fields), encoding="utf-8")
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        command, *arguments = deploy["roles"]["front"]["run"].split()
        self.process = subprocess.Popen(
            [shutil.which(command) or command, *arguments],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "DOTTERELGATE_NODE_FILE": str(self.settings),
            },
            stdin=subprocess.DEVNULL,
            stdout=(self.folder / f"{self.name}.log").open("ab"),
            stderr=subprocess.STDOUT,
        )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def has_ended(self) -> bool:
        return self.process is None or self.process.poll() is not None

    def end(self) -> None:
        """Kill the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Ask the status check, as the platform's balancer does."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
            writer.write(b"GET /health HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return b" 200 " in line

    async def wait_ready(self, seconds: float = 20.0) -> None:
        until = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > until or self.has_ended():
                raise CouldNotRunError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)

    def read_log(self) -> str:
        return (self.folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")


@dataclass
class Answer:
    """What a client got; ``status`` 0 stands for a connection that ended without an answer."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    seconds: float = 0.0
    error: str = ""


async def read_answer(reader: asyncio.StreamReader, answer: Answer, *, rate: float = 0.0) -> None:
    """Read an answer; with a rate, its body at so many bytes a second."""
    line = await reader.readline()
    if not line:
        answer.error = "closed"
        return
    answer.status = int(line.split()[1])
    while (line := await reader.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while (line := await reader.readline()).endswith(b"\n") and int(line, 16):
            answer.body += await reader.readexactly(int(line, 16))
            await reader.readexactly(2)
        answer.is_complete = line.endswith(b"\n") and await reader.readline() == b"\r\n"
        if not answer.is_complete:
            answer.error = "closed within the body"
        return
    length = int(answer.headers.get("content-length", 0))
    while len(answer.body) < length:
        part = await reader.read(min(4096, length - len(answer.body)))
        if not part:
            answer.error = "closed within the body"
            return
        answer.body += part
        if rate:
            await asyncio.sleep(len(part) / rate)
    answer.is_complete = True


class Rig:
    """One small deployment: a store, backends and daemons."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.backends: dict[str, Backend] = {}
        self.daemons: dict[str, Daemon] = {}

    async def start(
        self, configuration: dict, backends: list[Backend], *, zones: tuple[str, ...]
    ) -> None:
        """Start everything, and wait until all daemons are ready and know each other.

        :param zones: the zone of each daemon
        """
        await self.store.start()
        self.publish(configuration)
        for each in backends:
            self.backends[each.name] = each
            await each.start()
        for number, zone in enumerate(zones, 1):
            daemon = Daemon(f"front-{number}", self.store, self.folder, zone=zone)
            self.daemons[daemon.name] = daemon
            daemon.start()
        for daemon in self.daemons.values():
            await daemon.wait_ready()
        await asyncio.sleep(4.0)
        self.record(f"ready: {', '.join(self.daemons)} and {', '.join(self.backends)}")

    def publish(self, configuration: dict) -> None:
        """Write a configuration, as the operator does."""
        self.store.write("keyed.op", "config", json.dumps(configuration).encode())

    def stop(self) -> None:
        """End all processes that were started."""
        for daemon in self.daemons.values():
            daemon.end()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def build_configuration(version: int, routes: list[dict], services: list[str]) -> dict:
    """Build a configuration; each route is given by what differs from the usual."""
    usual = {
        "hostname": "orders.example",
        "route-type": "unsafe",
        "timeout": 2.0,
        "target-latency": 0.5,
        "priority": 1,
        "max-attempts": 2,
    }
    return {
        "config-version": version,
        "routes": [{**usual, "name": f"r{at}", **route} for at, route in enumerate(routes)],
        "services": [
            {"name": name, "health-path": "/health", "max-conns": 220} for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 67108864,
            "header-timeout": 3,
            "idle-timeout": 15,
        },
    }


def encode_request(
    request_id: str,
    target: str,
    *,
    method: str = "POST",
    body: bytes = b"",
    deadline_ms: int = 2000,
    headers: dict[str, str] | None = None,
) -> bytes:
    """Encode a client's request."""
    lines = [f"{method} {target} HTTP/1.1", "Host: orders.example", f"Request-Id: {request_id}"]
    lines.append(f"Request-Deadline-Ms: {deadline_ms}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    record: Record, daemon: Daemon, data: bytes, request_id: str, *, wait: float = 5.0
) -> Answer:
    """Send one request on a new connection and read its answer."""
    answer = Answer()
    began = time.monotonic()
    record(f"client sends {request_id} to {daemon.name}")
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", daemon.callers)
        writer.write(data)
        await asyncio.wait_for(read_answer(reader, answer), wait)
        writer.close()
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
        answer.error = repr(error)
    answer.seconds = time.monotonic() - began
    record(
        f"client got {request_id}: {answer.status} {answer.body[:60]!r} {answer.error}"
        f" after {answer.seconds:.3f} s"
    )
    return answer


def main(case: Callable[[Rig], Awaitable[bool]], folder: Path) -> None:
    """Play a case; it returns whether the rule held."""
    rig = Rig(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    rig.record(f"disruption: {'on' if TROUBLE else 'off'}")
    try:
        held = asyncio.run(asyncio.wait_for(case(rig), 110.0))
        rig.record("the rule held" if held else "the rule was broken")
        status = HELD if held else BROKEN
    except (CouldNotRunError, asyncio.TimeoutError) as error:
        rig.record(f"the case could not run: {error!r}")
        status = COULD_NOT_RUN
    except Exception:
        traceback.print_exc()
        status = COULD_NOT_RUN
    finally:
        rig.stop()
    sys.exit(status)
