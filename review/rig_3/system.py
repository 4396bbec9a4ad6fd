"""The project's daemons as separate processes, and clients of them."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from .wire import Message, read_answer

ROOT = Path(__file__).resolve().parents[2]
START_SECONDS = 20.0
TEXT = re.compile(r"\{\{([a-z.0-9-]+)(\|json)?\}\}")


def find_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    """Find a free port of an address."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def render(text: str, fields: dict) -> str:
    """Fill in the placeholders of a template, as the platform does."""

    def find(match: re.Match) -> str:
        value: object = fields
        for part in match[1].split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        if match[2] or isinstance(value, dict):
            return json.dumps(value)
        return str(value)

    return TEXT.sub(find, text)


@dataclass
class Daemon:
    """One entry daemon on a loopback address of its own."""

    name: str
    host: str
    zone: str
    fields: dict
    folder: Path
    process: subprocess.Popen | None = None
    log: list[Path] = field(default_factory=list)

    @property
    def front(self) -> tuple[str, int]:
        host, port = self.fields["listen"]["front"].rsplit(":", 1)
        return host, int(port)

    def start(self) -> None:
        """Start the process as the deploy file says."""
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        run = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE)[1].split(" ")
        template = re.search(r'^template = "(.*)"$', deploy, re.MULTILINE)[1]
        variables = re.search(r"^env = \{ ([A-Z_]+) = '(.*)' \}$", deploy, re.MULTILINE)
        path = self.folder / f"{self.name}.json"
        path.write_text(render((ROOT / template).read_text(), self.fields))
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "DOTTERELGATE_NODE_FILE": str(path),
            variables[1]: render(variables[2], self.fields),
        }
        log = self.folder / f"{self.name}-{len(self.log)}.log"
        self.log.append(log)
        with log.open("wb") as output:
            self.process = subprocess.Popen(
                run, cwd=ROOT, env=environment, stdout=output, stderr=subprocess.STDOUT
            )

    async def wait_ready(self) -> None:
        """Wait until its ready address answers 200, as the platform asks it."""
        until = time.monotonic() + START_SECONDS
        host, port = self.fields["listen"]["ready-addr"].rsplit(":", 1)
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise RuntimeError(f"{self.name} ended: {self.log[-1].read_text()[-2000:]}")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /health HTTP/1.1\r\nHost: ready\r\n\r\n")
                answer = await read_answer(reader)
                writer.close()
                if answer is not None and answer.status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} isn't ready")

    def end(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class System:
    """The daemons of a small deployment, and a folder for their files.

    :param zones: availability zones; each gets one daemon for each name in it
    """

    def __init__(self, *, zones: dict[str, list[str]], store: str, grace: int = 6) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-3-"))
        self.daemons: dict[str, Daemon] = {}
        number = 10
        for zone, names in zones.items():
            for name in names:
                number += 1
                host = f"127.0.0.{number}"
                fields = {
                    "node": name,
                    "zone": zone,
                    "ip": host,
                    "listen": {
                        "front": f"{host}:{find_port(host)}",
                        "ready-addr": f"{host}:{find_port(host)}",
                    },
                    "internal-ports": [find_port(host, socket.SOCK_DGRAM), find_port(host)],
                    "provider": {"address": store},
                    "bounds": {"grace": grace, "retry-budget-ratio": 0.2},
                    "limits": {"memory-mb": 300, "max-fds": 4100},
                    "zones": dict.fromkeys(zones, "region"),
                }
                self.daemons[name] = Daemon(name, host, zone, fields, self.folder)

    async def start(self) -> None:
        """Start all daemons, and wait until they are ready."""
        for daemon in self.daemons.values():
            daemon.start()
        for daemon in self.daemons.values():
            await daemon.wait_ready()

    def end(self) -> None:
        """End all processes."""
        for daemon in self.daemons.values():
            daemon.end()


@dataclass
class Outcome:
    """What a client has seen of one request."""

    request_id: str
    sent_at: float
    ended_at: float = 0.0
    answer: Message | None = None
    error: str = ""

    @property
    def seconds(self) -> float:
        return self.ended_at - self.sent_at

    def __str__(self) -> str:
        status = self.answer.status if self.answer is not None else f"no answer {self.error}"
        return f"{self.request_id}: {status} after {self.ended_at - self.sent_at:.3f} s"


async def send(
    daemon: Daemon,
    request_id: str,
    *,
    method: str = "GET",
    path: str,
    host: str = "shop.example",
    deadline_ms: int = 3000,
    body: bytes = b"",
    more: str = "",
) -> Outcome:
    """Send one request on a new connection, and wait until half a second after its deadline."""
    outcome = Outcome(request_id, time.monotonic())
    writer = None
    try:
        reader, writer = await asyncio.open_connection(*daemon.front)
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {request_id}\r\n"
            f"Request-Deadline-Ms: {deadline_ms}\r\n{length}{more}\r\n"
        )
        outcome.sent_at = time.monotonic()
        writer.write(head.encode("latin-1") + body)
        async with asyncio.timeout(deadline_ms / 1000 + 0.5):
            outcome.answer = await read_answer(reader)
    except (OSError, TimeoutError) as error:
        outcome.error = type(error).__name__
    finally:
        outcome.ended_at = time.monotonic()
        if writer is not None:
            writer.close()
    return outcome


def configure(version: int, routes: list[dict], services: list[str], **more: object) -> dict:
    """Build a configuration as the operator writes it."""
    return {
        "config-version": version,
        "routes": [
            {"hostname": "shop.example", "priority": 1, "max-attempts": 3, **route}
            for route in routes
        ],
        "services": [{"name": each, "health-path": "/health", "max-conns": 240} for each in services],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1048576,
            "header-timeout": 5.0,
            "idle-timeout": 30.0,
        },
        **more,
    }
