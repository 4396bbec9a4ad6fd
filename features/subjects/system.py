"""Subject: the whole system as separate processes."""

from __future__ import annotations

import threading
import time
import uuid
from dataclasses import dataclass, field

import httpx

from dotterelgate_bench.fleet import Fleet, wait_until
from dotterelgate_core.keys import digest_key, find_range
from dotterelgate_operator import backend_server, declare, route, service
from dotterelgate_operator.publishing import Publisher

KEY_RANGES = 6
HANDOVER_SECONDS = 5.0
POLL_SECONDS = 0.05
LEASE_SECONDS = 900.0


@dataclass
class Answer:
    """What a caller received."""

    status: int
    outcome: str = ""
    code: int | None = None
    server: str = ""
    body: bytes = b""
    seconds: float = 0.0
    error: str = ""


@dataclass
class System:
    """A fleet of stand-ins and daemons, with methods to call it."""

    fleet: Fleet = field(default_factory=Fleet)
    revision: int = 0
    options: dict = field(default_factory=dict)
    answers: list[Answer] = field(default_factory=list)
    background: list[threading.Thread] = field(default_factory=list)

    def start(self, *, daemons: int, servers: int, **settings) -> None:
        """Start the platform, backend servers and daemons, and publish."""
        self.fleet.start_platform()
        for number in range(1, servers + 1):
            self.fleet.start_server(f"server-{number}", slots=3, mean_ms=4, seed=number)
        for number in range(1, daemons + 1):
            self.start_daemon(number, **settings)
        self.fleet.wait_for_processes()
        self.publish()
        self.wait_in_force()
        self.fleet.wait_for_holders(ranges=KEY_RANGES, seconds=20)

    def start_daemon(self, number: int, **settings) -> None:
        """Start one daemon."""
        chosen = {"key_ranges": KEY_RANGES, "lease_length": LEASE_SECONDS, **settings}
        self.fleet.start_daemon(f"entry-{number}", **chosen)

    def build_configuration(self, *, draining=(), tag="x", **options):
        """Build the configuration of the test's one service."""
        servers = [
            backend_server(
                name,
                process.address,
                slots=3,
                connections=200,
                draining=name in draining,
            )
            for name, process in self.fleet.servers.items()
        ]
        return declare(
            service(
                "bakery",
                servers=servers,
                **{**self.options, **options},
                routes=[
                    route("/stock", idempotent=True, timeout=5),
                    route("/orders", idempotent=False, timeout=5),
                    route(f"/{tag}", idempotent=True, timeout=5),
                ],
            )
        )

    def publish(self, **options):
        """Publish a configuration and return the result."""
        publisher = Publisher(
            log=self.fleet.log.address,
            daemons=[each.endpoint for each in self.fleet.daemons.values()],
            notify=lambda line: None,
        )
        published = publisher.publish(self.build_configuration(**options), operator="test", wait=10)
        self.revision = max(self.revision, published.revision)
        return published

    def wait_in_force(self, *, seconds=10.0, names=None) -> float:
        """Wait until the newest revision is in force."""
        chosen = names or list(self.fleet.daemons)
        return self.fleet.wait_for_revision(self.revision, seconds=seconds, names=chosen)

    def find_range(self, key: str) -> str:
        """Find the range that a key belongs to."""
        return find_range(digest_key("bakery", key), KEY_RANGES)

    def find_key_holder(self, key: str, names=None) -> str:
        """Find which daemon holds a key's range.

        A range may be on its way between two daemons when their statuses are read.
        """
        resource = self.find_range(key)
        until = time.monotonic() + HANDOVER_SECONDS
        while time.monotonic() < until:
            for name in names or self.fleet.daemons:
                status = self.fleet.read_status(name)
                if status is not None and resource in status["held"]:
                    return name
            time.sleep(POLL_SECONDS)
        raise AssertionError(f"nobody holds {resource}")

    def make_key(self, *, held_by: str | None = None, not_held_by: str | None = None) -> str:
        """Make a key whose range a certain daemon holds."""
        while True:
            key = str(uuid.uuid4())
            if held_by is None and not_held_by is None:
                return key
            holder = self.find_key_holder(key)
            if holder == held_by or (held_by is None and holder != not_held_by):
                return key

    def request(self, daemon: str, method: str, path: str, **options) -> Answer:
        """Send one request to a daemon and store the answer."""
        timeout = options.pop("timeout", 8.0)
        started = time.monotonic()
        url = f"http://{self.fleet.daemons[daemon].address}{path}"
        try:
            with httpx.Client(timeout=timeout, trust_env=False) as client:
                received = client.request(method, url, **options)
            answer = Answer(
                status=received.status_code,
                outcome=received.headers.get("dotterelgate-outcome", ""),
                code=int(received.headers.get("dotterelgate-code", "-1")),
                server=received.headers.get("dotterelgate-server", ""),
                body=received.content,
            )
        except httpx.HTTPError as error:
            answer = Answer(status=0, error=repr(error))
        answer.seconds = time.monotonic() - started
        self.answers.append(answer)
        return answer

    def write(self, daemon: str, key: str | None, *, path="/orders/1?ms=5", **options) -> Answer:
        """Send one non-idempotent request."""
        headers = {"Idempotency-Key": key} if key else {}
        return self.request(daemon, "POST", path, headers=headers, content=b"two loaves", **options)

    def write_in_background(self, daemon: str, key: str | None, **options) -> list[Answer]:
        """Send one non-idempotent request on a thread, which appends its answer to the list."""
        answers: list[Answer] = []
        thread = threading.Thread(target=lambda: answers.append(self.write(daemon, key, **options)))
        thread.start()
        self.background.append(thread)
        return answers

    def join_background(self) -> None:
        """Wait for requests sent in the background."""
        for thread in self.background:
            thread.join(timeout=30)
        self.background.clear()

    def list_ran(self) -> list[dict]:
        """List the requests that all live backend servers ran."""
        return [
            entry
            for name, process in self.fleet.servers.items()
            if not process.has_ended()
            for entry in self.fleet.read_ledger(name)["ran"]
        ]

    def wait_for_ran(self, count: int, *, seconds=5.0) -> None:
        """Wait until the backend servers ran a number of requests."""
        wait_until(
            lambda: len(self.list_ran()) >= count, seconds=seconds, what=f"{count} requests ran"
        )

    def stop(self) -> None:
        """End everything."""
        self.join_background()
        self.fleet.stop()
