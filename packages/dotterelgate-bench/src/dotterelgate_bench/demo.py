"""Demonstration: publication and requests through separate processes on loopback."""

from __future__ import annotations

import statistics
import subprocess
import sys
import time
import uuid
from dataclasses import dataclass, field
from pathlib import Path

import httpx

from dotterelgate_bench.fleet import Fleet

__all__ = ["main"]

DAEMONS = ("entry-1", "entry-2", "entry-3")
SERVERS = {"stock": ("stock-1", "stock-2", "stock-3"), "orders": ("orders-1", "orders-2")}
KEY_RANGES = 12
READS_PER_DAEMON = 40
WRITES_PER_DAEMON = 10
DECLARATIONS = '''\
"""Declarations of the demonstration's two services."""

from dotterelgate_operator import backend_server, declare, print_configuration, route, service

ADDRESSES = {addresses!r}


def list_servers(*names):
    return [backend_server(name, ADDRESSES[name], slots=3, connections=200) for name in names]


print_configuration(
    declare(
        service(
            "stock",
            servers=list_servers("stock-1", "stock-2", "stock-3"),
            routes=[route("/stock", idempotent=True, timeout=5)],
        ),
        service(
            "orders",
            servers=list_servers("orders-1", "orders-2"),
            routes=[route("/orders", idempotent=False, methods=["POST"], timeout=5)],
        ),
    )
)
'''


@dataclass(kw_only=True)
class Tally:
    """Count of the answers through one daemon."""

    right: int = 0
    wrong: int = 0
    latencies_ms: list[float] = field(default_factory=list)
    servers: dict[str, int] = field(default_factory=dict)

    def note(self, answer: httpx.Response, seconds: float, *, is_right: bool) -> None:
        """Count an answer."""
        self.right += is_right
        self.wrong += not is_right
        self.latencies_ms.append(seconds * 1000)
        server = answer.headers.get("dotterelgate-server", "none")
        self.servers[server] = self.servers.get(server, 0) + 1


def main() -> int:
    """Run the demonstration.

    :returns: 0 if every answer was right and every key ran once
    """
    fleet = Fleet()
    try:
        return _run(fleet)
    finally:
        fleet.stop()


def _run(fleet: Fleet) -> int:
    _start(fleet)
    _publish(fleet)
    fleet.wait_for_holders(ranges=KEY_RANGES, seconds=20)
    tallies = {name: Tally() for name in DAEMONS}
    for name in DAEMONS:
        _read_stock(fleet, name, tallies[name])
    keys = [key for name in DAEMONS for key in _write_orders(fleet, name, tallies[name])]
    repeat = _repeat_order(fleet, keys[0])
    runs = {key: fleet.count_runs(key) for key in keys}
    _print_table(fleet, tallies)
    doubled = [key for key, count in runs.items() if count > 1]
    lost = [key for key, count in runs.items() if count == 0]
    wrong = sum(tally.wrong for tally in tallies.values())
    print(f"\nrepeated order through another daemon: {repeat}")
    print(f"orders {len(keys)}, run twice {len(doubled)}, lost {len(lost)}, wrong answers {wrong}")
    passed = not (doubled or lost or wrong) and repeat == "same answer"
    print("demo passed" if passed else "demo FAILED")
    return 0 if passed else 1


def _start(fleet: Fleet) -> None:
    fleet.start_platform()
    seed = 0
    for names in SERVERS.values():
        for name in names:
            seed += 1
            fleet.start_server(name, slots=3, mean_ms=4, seed=seed)
    for name in DAEMONS:
        fleet.start_daemon(name, key_ranges=KEY_RANGES)
    fleet.wait_for_processes()


def _publish(fleet: Fleet) -> None:
    declarations = fleet.folder / "declarations.py"
    addresses = {name: process.address for name, process in fleet.servers.items()}
    declarations.write_text(DECLARATIONS.format(addresses=addresses), encoding="utf-8")
    command = Path(sys.executable).with_name("dotterelgate")
    printed = subprocess.run(
        [command, "print", declarations], check=True, capture_output=True, text=True
    )
    print(f"dotterelgate print: {len(printed.stdout.splitlines())} lines of JSON")
    document = fleet.folder / "configuration.json"
    document.write_text(printed.stdout, encoding="utf-8")
    assert fleet.log is not None
    args: list[str | Path] = [command, "publish", document, "--log", fleet.log.address, "--wait"]
    for name in DAEMONS:
        args += ["--daemon", fleet.daemons[name].endpoint]
    started = time.monotonic()
    published = subprocess.run(args, check=True, capture_output=True, text=True)
    print(f"dotterelgate publish: {published.stdout.strip()} ({time.monotonic() - started:.2f} s)")


def _read_stock(fleet: Fleet, name: str, tally: Tally) -> None:
    with httpx.Client(base_url=f"http://{fleet.daemons[name].address}", trust_env=False) as client:
        for number in range(READS_PER_DAEMON):
            request_id = f"{name}-{number}"
            started = time.monotonic()
            answer = client.get("/stock/bread", headers={"Request-Id": request_id})
            seconds = time.monotonic() - started
            is_right = answer.status_code == 200 and answer.json()["id"] == request_id
            tally.note(answer, seconds, is_right=is_right)


def _write_orders(fleet: Fleet, name: str, tally: Tally) -> list[str]:
    keys = []
    with httpx.Client(base_url=f"http://{fleet.daemons[name].address}", trust_env=False) as client:
        for number in range(WRITES_PER_DAEMON):
            key = str(uuid.uuid4())
            keys.append(key)
            started = time.monotonic()
            answer = _post_order(client, key)
            seconds = time.monotonic() - started
            is_right = answer.status_code == 200 and answer.json()["path"] == "/orders/standing"
            tally.note(answer, seconds, is_right=is_right)
            if not is_right:
                print(f"order {number} through {name}: {answer.status_code} {answer.text}")
    return keys


def _post_order(client: httpx.Client, key: str) -> httpx.Response:
    return client.post("/orders/standing", json={"loaves": 2}, headers={"Idempotency-Key": key})


def _repeat_order(fleet: Fleet, key: str) -> str:
    answers = []
    for name in DAEMONS[:2]:
        with httpx.Client(
            base_url=f"http://{fleet.daemons[name].address}", trust_env=False
        ) as client:
            answers.append(_post_order(client, key))
    first, second = answers
    if first.status_code == second.status_code == 200 and first.content == second.content:
        return "same answer"
    return f"{first.status_code} {first.text!r}, {second.status_code} {second.text!r}"


def _print_table(fleet: Fleet, tallies: dict[str, Tally]) -> None:
    print(
        f"\n{'daemon':<9}{'revision':>9}{'right':>7}{'wrong':>7}{'p50 ms':>8}{'p99 ms':>8}  sent to"
    )
    for name, tally in tallies.items():
        status = fleet.read_status(name) or {}
        quantiles = statistics.quantiles(tally.latencies_ms, n=100)
        sent = ", ".join(f"{server} {count}" for server, count in sorted(tally.servers.items()))
        print(
            f"{name:<9}{status.get('revision', 'none'):>9}{tally.right:>7}{tally.wrong:>7}"
            f"{quantiles[49]:>8.1f}{quantiles[98]:>8.1f}  {sent}"
        )
    print(f"\n{'backend server':<16}{'ran':>6}{'connections':>13}")
    for name in fleet.servers:
        ledger = fleet.read_ledger(name)
        print(f"{name:<16}{len(ledger['ran']):>6}{ledger['connections']:>13}")


if __name__ == "__main__":
    sys.exit(main())
