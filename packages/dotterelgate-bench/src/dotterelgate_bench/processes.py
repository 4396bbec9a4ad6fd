"""Measures real processes on loopback: added latency, calls per core, control cost."""

from __future__ import annotations

import json
import multiprocessing
import os
import re
import socket
import statistics
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path

from dotterelgate_bench.fleet import Fleet
from dotterelgate_operator import backend_server, declare, route, service
from dotterelgate_operator.publishing import Publisher

__all__ = ["CallFigures", "main", "measure_idle", "read_cpu_seconds", "start_fleet"]

FOLDER = Path("docs/measurements")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
LATENCY_CALLS = 1500
LOAD_SECONDS = 4.0
CALLERS = 4
KEY_RANGES = 12
IDLE_SECONDS = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class CallFigures:
    """Figures of one path to a backend server; times in milliseconds.

    :param cpu_us: processor microseconds per call over all daemons
    """

    way: str
    p50: float
    p99: float
    calls_per_second: float
    cpu_us: float


def read_cpu_seconds(pid: int) -> float:
    """Read the processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def read_memory_mb(pid: int) -> float:
    """Read the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


def start_fleet(*, daemons: int, servers: int, log_level: str = "info") -> Fleet:
    """Start a fleet with one service and wait until it serves."""
    fleet = Fleet()
    fleet.start_platform()
    for number in range(servers):
        fleet.start_server(f"server-{number}", slots=64, mean_ms=1)
    for number in range(daemons):
        fleet.start_daemon(
            f"entry-{number}",
            key_ranges=KEY_RANGES,
            log_level=log_level,
            log_poll=0.25,
            vms_poll=1.0,
        )
    fleet.wait_for_processes()
    pool = [
        backend_server(name, process.address, slots=64, connections=2000)
        for name, process in fleet.servers.items()
    ]
    routes = [
        route("/r", idempotent=True, timeout=5),
        route("/w", idempotent=False, timeout=5),
    ]
    model = declare(service("s", servers=pool, routes=routes, queue_limit=5))
    assert fleet.log is not None
    publisher = Publisher(log=fleet.log.address, daemons=[], notify=print)
    publisher.publish(model, operator="bench", wait=10)
    fleet.wait_for_revision(1, seconds=20, names=list(fleet.daemons))
    fleet.wait_for_holders(ranges=KEY_RANGES, seconds=30)
    return fleet


def call_sequentially(address: str, request: bytes, *, calls: int, seconds: float) -> list[float]:
    """Make calls one after the other over one connection; returns milliseconds."""
    host, port = address.split(":")
    times: list[float] = []
    with socket.create_connection((host, int(port))) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        deadline = time.monotonic() + seconds
        while len(times) < calls and time.monotonic() < deadline:
            started = time.perf_counter()
            sock.sendall(request)
            _read_answer(sock)
            times.append((time.perf_counter() - started) * 1000)
    return times


def _read_answer(sock: socket.socket) -> None:
    received = b""
    while b"\r\n\r\n" not in received:
        chunk = sock.recv(65_536)
        if not chunk:
            raise ConnectionError("the connection ended")
        received += chunk
    head, _, body = received.partition(b"\r\n\r\n")
    match = re.search(rb"(?i)content-length: *(\d+)", head)
    remaining = int(match.group(1)) - len(body) if match else 0
    while remaining > 0:
        remaining -= len(sock.recv(65_536))


def _count_calls(address: str, request: bytes, seconds: float) -> int:
    return len(call_sequentially(address, request, calls=10**9, seconds=seconds))


def measure_path(fleet: Fleet, way: str, address: str, request: bytes) -> CallFigures:
    """Measure the latency of single calls, then calls per second with several callers."""
    times = call_sequentially(address, request, calls=LATENCY_CALLS, seconds=20)
    quantiles = statistics.quantiles(times, n=100)
    pids = [each.popen.pid for each in fleet.daemons.values() if each.popen is not None]
    before = sum(read_cpu_seconds(pid) for pid in pids)
    started = time.monotonic()
    with multiprocessing.Pool(CALLERS) as pool:
        jobs = [(address, request, LOAD_SECONDS)] * CALLERS
        counts = pool.starmap(_count_calls, jobs)
    elapsed = time.monotonic() - started
    used = sum(read_cpu_seconds(pid) for pid in pids) - before
    calls = sum(counts)
    return CallFigures(
        way=way,
        p50=quantiles[49],
        p99=quantiles[98],
        calls_per_second=calls / elapsed,
        cpu_us=used / calls * 1e6,
    )


def find_owner(fleet: Fleet) -> str:
    """Find the daemon that owns the service's queue."""
    endpoint = next(iter(fleet.daemons.values())).endpoint
    owner: str = fleet.client.get(f"http://{endpoint}/explain?path=/r").json()["owner"]
    return owner


def measure_calls(*, log_level: str) -> list[CallFigures]:
    """Measure direct calls, calls through the owner and through another daemon."""
    fleet = start_fleet(daemons=2, servers=2, log_level=log_level)
    request = b"GET /r/1?ms=0 HTTP/1.1\r\nHost: s\r\n\r\n"
    try:
        owner = find_owner(fleet)
        other = next(name for name in fleet.daemons if name != owner)
        server = next(iter(fleet.servers.values()))
        return [
            measure_path(fleet, "direct", server.address, request),
            measure_path(fleet, "owner", fleet.daemons[owner].address, request),
            measure_path(fleet, "handed over", fleet.daemons[other].address, request),
        ]
    finally:
        fleet.stop()


def read_control_bytes(fleet: Fleet, name: str) -> float:
    """Read the control bytes that a daemon has sent so far."""
    text = fleet.client.get(f"http://{fleet.daemons[name].endpoint}/metrics").text
    found = re.findall(r"dotterelgate_control_bytes_total\{[^}]*\} ([0-9.e+]+)", text)
    return sum(float(value) for value in found)


@dataclass(frozen=True, kw_only=True, slots=True)
class IdleFigures:
    """Control cost of one idle daemon.

    :param core_share: processor seconds per second
    :param bytes_per_second: control bytes sent, log and VM list included
    :param memory_mb: resident memory
    """

    daemons: int
    core_share: float
    bytes_per_second: float
    memory_mb: float


def measure_idle(daemons: int) -> IdleFigures:
    """Measure the cost of a daemon without calls."""
    fleet = start_fleet(daemons=daemons, servers=1)
    try:
        time.sleep(12)
        names = list(fleet.daemons)
        pids = [each.popen.pid for each in fleet.daemons.values() if each.popen is not None]
        cpu = sum(read_cpu_seconds(pid) for pid in pids)
        sent = sum(read_control_bytes(fleet, name) for name in names)
        time.sleep(IDLE_SECONDS)
        cpu = sum(read_cpu_seconds(pid) for pid in pids) - cpu
        sent = sum(read_control_bytes(fleet, name) for name in names) - sent
        return IdleFigures(
            daemons=daemons,
            core_share=cpu / IDLE_SECONDS / daemons,
            bytes_per_second=sent / IDLE_SECONDS / daemons,
            memory_mb=sum(read_memory_mb(pid) for pid in pids) / daemons,
        )
    finally:
        fleet.stop()


def main() -> int:
    """Measure, print and write the figures."""
    lines = ["# The real processes on loopback", ""]
    document: dict[str, list] = {}
    for log_level in ("info", "warning"):
        figures = measure_calls(log_level=log_level)
        document[f"calls_{log_level}"] = [asdict(each) for each in figures]
        lines += ["", f"## Calls, log level {log_level}", ""]
        lines += [
            "| way | p50 ms | p99 ms | calls/s | daemon CPU us/call |",
            "|---|---|---|---|---|",
        ]
        lines += [
            f"| {each.way} | {each.p50:.2f} | {each.p99:.2f} | {each.calls_per_second:.0f} "
            f"| {each.cpu_us:.0f} |"
            for each in figures
        ]
    lines += ["", "## A daemon that serves nobody", ""]
    lines += ["| daemons | core share | control B/s | memory MB |", "|---|---|---|---|"]
    idle = [measure_idle(count) for count in (2, 6, 12)]
    document["idle"] = [asdict(each) for each in idle]
    lines += [
        f"| {each.daemons} | {each.core_share:.4f} | {each.bytes_per_second:.0f} "
        f"| {each.memory_mb:.1f} |"
        for each in idle
    ]
    FOLDER.mkdir(parents=True, exist_ok=True)
    (FOLDER / "processes.json").write_text(json.dumps(document, indent=1), encoding="utf-8")
    (FOLDER / "processes.md").write_text("\n".join(lines) + "\n", encoding="utf-8")
    print("\n".join(lines))
    return 0


if __name__ == "__main__":
    sys.exit(main())
