"""Starts the project's daemons as the deploy file does, and plays operator and clients."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

from rig_2.store import Store
from rig_2.wire import encode, read_message

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "orders.example"
ZONES = ("north", "south")
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


def find_free_address() -> str:
    """Find a free loopback address."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class CaseNotRunError(Exception):
    """The case could not run, so it shows nothing."""


class Fleet:
    """A store, daemons and the record of one case."""

    def __init__(self, folder: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.started_at = time.monotonic()
        self.store = Store(find_free_address())
        self.daemons: dict[str, subprocess.Popen] = {}
        self.settings: dict[str, dict] = {}
        self._record = (folder / "record.txt").open("w", encoding="utf-8")

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{time.monotonic() - self.started_at:9.3f} {text}\n")
        self._record.flush()

    def publish(self, version: int, *routes: tuple[str, str, str], timeout: float = 2.0) -> None:
        """Write a configuration.

        :param routes: path prefix, route type and service of each route
        """
        document = {
            "config-version": version,
            "routes": [
                {
                    "name": f"r-{service}",
                    "hostname": HOST,
                    "path-prefix": prefix,
                    "route-type": route_type,
                    "timeout": timeout,
                    "target-latency": 0.5,
                    "priority": 1,
                    "service": service,
                    "max-attempts": 2,
                }
                for prefix, route_type, service in routes
            ],
            "services": [
                {"name": service, "health-path": "/health", "max-conns": 220}
                for _, _, service in routes
            ],
        }
        self.store.write("keyed.op", "config", json.dumps(document).encode())

    def start_daemon(self, name: str, zone: str, *, store: str = "") -> None:
        """Start a daemon with the settings that the template of the deploy file makes."""
        settings = {
            "name": name,
            "zone": zone,
            "callers": find_free_address(),
            "endpoint": find_free_address(),
            "peers": find_free_address(),
            "metrics": find_free_address(),
            "store": store or self.store.address,
            "platform_timeout": 1.2,
            "stop_linger": 3.2,
            "stop_limit": 6.0,
            "retry_share": 0.2,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        given = {
            "zones": {each: "region" for each in ZONES},
            "memory_limit": 300_000_000,
            "descriptor_limit": 4100,
        }
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "DOTTERELGATE_NODE_FILE": str(path),
            "DOTTERELGATE_VM": json.dumps(given),
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self.daemons[name] = subprocess.Popen(
                ["python3", "platform/dotterelgated.py"],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.settings[name] = settings
        self.note(f"started {name} in {zone}")

    async def wait_ready(self) -> None:
        """Wait until all daemons answer their status check with 200."""
        deadline = time.monotonic() + 20
        for name in self.daemons:
            while await self.ask_status(name) != 200:
                if time.monotonic() > deadline or self.daemons[name].poll() is not None:
                    raise CaseNotRunError(f"{name} did not become ready; see {self.folder}")
                await asyncio.sleep(0.05)
        self.note("all daemons are ready")

    async def ask_status(self, name: str) -> int:
        """Send the status check of the platform's balancer."""
        try:
            host, port = self.settings[name]["endpoint"].rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode("GET /health HTTP/1.1", [("Host", "status")]))
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return 0
        return answer.status if answer is not None else 0

    async def connect(self, name: str, *, window: int = 0):
        """Connect to a daemon as a client.

        :param window: bytes that the client's side holds unread, 0 for the usual ones
        """
        host, port = self.settings[name]["callers"].rsplit(":", 1)
        if not window:
            return await asyncio.open_connection(host, int(port))
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        return await asyncio.open_connection(sock=sock, limit=window)

    async def request(self, name: str, request_id: str, *, method="GET", ms=2000, more=()):
        """Send one request on a new connection; returns the answer, ``None`` for none."""
        try:
            reader, writer = await self.connect(name)
        except OSError:
            return None
        headers = [
            ("Host", HOST),
            ("Request-Id", request_id),
            ("Request-Deadline-Ms", str(ms)),
            *more,
        ]
        writer.write(encode(f"{method} /orders/{request_id} HTTP/1.1", headers))
        try:
            return await asyncio.wait_for(read_message(reader), ms / 1000 + 1)
        except asyncio.TimeoutError:
            return None
        finally:
            writer.close()

    def stop(self, *, keep: bool = False) -> None:
        """End all daemons that were started."""
        for process in self.daemons.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.daemons.values():
            process.wait()
        self._record.close()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(main, folder: Path) -> int:
    """Run a case; returns its exit status.

    :param main: coroutine function that gets the fleet and whether there is trouble, and returns
        the lines that show the broken rule
    """
    fleet = Fleet(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(main(fleet, has_trouble), 110))
        for line in broken:
            fleet.note(f"BROKEN {line}")
        fleet.note(f"result: {'the rule was broken' if broken else 'the rule held'}")
        print("the rule was broken" if broken else "the rule held", *broken[:5], sep="\n")
        return EXIT_BROKEN if broken else EXIT_HELD
    except (CaseNotRunError, OSError, asyncio.TimeoutError) as error:
        fleet.note(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        return EXIT_NOT_RUN
    finally:
        fleet.stop(keep=bool(os.environ.get("KEEP")))
