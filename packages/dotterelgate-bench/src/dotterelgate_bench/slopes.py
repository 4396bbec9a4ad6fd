"""Measures how a daemon's costs grow with services, keys, leases, bodies and daemons."""

from __future__ import annotations

import json
import sys
import time
import tracemalloc
import uuid
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import numpy as np

from dotterelgate_bench.processes import measure_calls, measure_idle
from dotterelgate_border.declarations import ConfigurationModel, build_configuration
from dotterelgate_border.handover import HandedCall, encode_message
from dotterelgate_border.records import GrantModel, Grants
from dotterelgate_core.configuration import ConfigurationState
from dotterelgate_core.keys import KeyEntry, KeyState, digest_key
from dotterelgate_core.messages import Call
from dotterelgate_core.routes import find_route
from dotterelgate_core.servers import ServerTable
from dotterelgate_operator import backend_server, declare, route, service

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Slope", "main"]

FOLDER = Path("docs/measurements")
SERVERS_PER_SERVICE = 6
ROUTED_CALLS = 2000


@dataclass(frozen=True, kw_only=True, slots=True)
class Slope:
    """A line fitted to measured points.

    :param driver: quantity that is varied
    :param per_unit: growth of the cost per unit of the driver
    :param base: cost where the driver is zero
    :param fit: coefficient of determination, 1 for a straight line
    """

    cost: str
    driver: str
    points: list[tuple[float, float]]
    per_unit: float
    base: float
    fit: float


def fit_line(cost: str, driver: str, points: list[tuple[float, float]]) -> Slope:
    """Fit a line to points of driver and cost."""
    drivers = np.array([point[0] for point in points], dtype=float)
    costs = np.array([point[1] for point in points], dtype=float)
    slope, base = np.polyfit(drivers, costs, 1)
    residuals = costs - (slope * drivers + base)
    total_squares = float(((costs - costs.mean()) ** 2).sum())
    fit = 1 - float((residuals**2).sum()) / total_squares if total_squares else 1.0
    return Slope(
        cost=cost,
        driver=driver,
        points=points,
        per_unit=float(slope),
        base=float(base),
        fit=fit,
    )


def build_model(services: int) -> ConfigurationModel:
    """Build a configuration with a number of services."""
    return declare(
        *(
            service(
                f"service-{number}",
                hosts=[f"host-{number}"],
                servers=[
                    backend_server(f"s-{number}-{each}", "10.0.0.1:80", slots=6, connections=250)
                    for each in range(SERVERS_PER_SERVICE)
                ],
                routes=[route("/", idempotent=True), route("/w", idempotent=False)],
            )
            for number in range(services)
        )
    )


def measure_build(build: Callable[[], object]) -> tuple[float, float]:
    """Measure the bytes that a built object occupies and the seconds to build it."""
    tracemalloc.start()
    started = time.perf_counter()
    built = build()
    seconds = time.perf_counter() - started
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return float(size), seconds


def measure_configuration() -> list[Slope]:
    """Measure the cost of a configuration change over the number of services."""
    sizes: list[tuple[float, float]] = []
    times: list[tuple[float, float]] = []
    memory: list[tuple[float, float]] = []
    routing: list[tuple[float, float]] = []
    for services in (30, 100, 290):
        model = build_model(services)
        document = model.model_dump_json()
        sizes.append((services, float(len(document))))

        def apply(document: str = document) -> object:
            checked = ConfigurationModel.model_validate_json(document)
            configuration = build_configuration(checked, id="c", revision=1)
            state = ConfigurationState()
            state.adopt(configuration)
            table = ServerTable()
            table.follow_configuration(configuration.services, warm=True)
            return checked, state, table

        size, _ = measure_build(apply)
        started = time.perf_counter()
        apply()
        times.append((services, (time.perf_counter() - started) * 1000))
        memory.append((services, size / 1e6))
        routing.append((services, measure_routing(model)))
    return [
        fit_line("bytes of one change on the log", "services", sizes),
        fit_line("ms to put one change in force", "services", times),
        fit_line("MB of the configuration and its state", "services", memory),
        fit_line("us to match a route", "services", routing),
    ]


def measure_routing(model: ConfigurationModel) -> float:
    """Measure the microseconds to match a request with its route."""
    configuration = ConfigurationState()
    configuration.adopt(build_configuration(model, id="c", revision=1))
    last = len(model.services) - 1
    call = Call(id=1, method="GET", host=f"host-{last}", path="/x")
    started = time.perf_counter()
    for _ in range(ROUTED_CALLS):
        find_route(configuration, call)
    return (time.perf_counter() - started) / ROUTED_CALLS * 1e6


def measure_keys() -> Slope:
    """Measure the memory of the table of keys over their number."""
    points = []
    for count in (10_000, 30_000, 100_000):

        def build_keys(count: int = count) -> object:
            return {
                digest_key("s", str(uuid.uuid4())): KeyEntry(
                    state=KeyState.RAN, fingerprint=number, seen_at=0.0, call_id=number
                )
                for number in range(count)
            }

        size, _ = measure_build(build_keys)
        points.append((float(count), size / 1e6))
    return fit_line("MB without kept answers", "keys held", points)


def measure_grants() -> Slope:
    """Measure the bytes of a renewal record over the number of its leases."""
    points = []
    for count in (1, 10, 40):
        grants = [
            GrantModel(
                id=f"0123456789ab/{number}",
                previous=f"0123456789ab/{number - 1}",
                resource=f"keys/{number}",
                holder="entry-0001",
                incarnation="0123456789ab",
                address="10.0.0.1:7000",
                length=900,
            )
            for number in range(count)
        ]
        record = Grants(read_to=100_000, oldest=50_000, grants=grants)
        points.append((float(count), float(len(record.model_dump_json()))))
    return fit_line("bytes of a renewal record", "leases renewed", points)


def measure_forwarding() -> Slope:
    """Measure the bytes of a forwarded call over the size of its body."""
    points = []
    for size in (0, 1000, 10_000):
        message = HandedCall(
            sender="entry-0001",
            incarnation="0123456789ab",
            target="entry-0002",
            call_id=1 << 50,
            purpose="own",
            timeout=5.0,
            expires=1.8e9,
            fence=None,
            retried=False,
            method="GET",
            path="/stock/bread",
            headers=[(b"host", b"bakery"), (b"accept", b"*/*")],
            body=b"x" * size,
            key=None,
            fingerprint=0,
        )
        points.append((float(size), float(len(encode_message(message)))))
    return fit_line("bytes of a handed call", "body bytes", points)


def measure_daemons() -> list[Slope]:
    """Measure the idle cost of a daemon over the number of daemons."""
    figures = [measure_idle(count) for count in (2, 6, 12)]
    return [
        fit_line("core share", "daemons", [(each.daemons, each.core_share) for each in figures]),
        fit_line(
            "control bytes per second",
            "daemons",
            [(each.daemons, each.bytes_per_second) for each in figures],
        ),
        fit_line("MB resident", "daemons", [(each.daemons, each.memory_mb) for each in figures]),
    ]


def main() -> int:
    """Measure, print and write every slope with its fit."""
    slopes = [*measure_configuration(), measure_keys(), measure_grants(), measure_forwarding()]
    slopes += measure_daemons()
    calls = measure_calls(log_level="warning")
    lines = ["# Slopes", "", "| cost | driver | points | per unit | base | fit |"]
    lines.append("|---|---|---|---|---|---|")
    for each in slopes:
        points = ", ".join(f"({x:g}, {y:.4g})" for x, y in each.points)
        lines.append(
            f"| {each.cost} | {each.driver} | {points} | {each.per_unit:.4g} "
            f"| {each.base:.4g} | {each.fit:.3f} |"
        )
    lines += ["", "| way of a call | p50 ms | p99 ms | calls/s | daemon CPU us/call |"]
    lines.append("|---|---|---|---|---|")
    for call in calls:
        lines.append(
            f"| {call.way} | {call.p50:.2f} | {call.p99:.2f} | {call.calls_per_second:.0f} "
            f"| {call.cpu_us:.0f} |"
        )
    FOLDER.mkdir(parents=True, exist_ok=True)
    document = {
        "slopes": [asdict(each) for each in slopes],
        "calls": [asdict(each) for each in calls],
    }
    (FOLDER / "slopes.json").write_text(json.dumps(document, indent=1), encoding="utf-8")
    (FOLDER / "slopes.md").write_text("\n".join(lines) + "\n", encoding="utf-8")
    print("\n".join(lines))
    return 0


if __name__ == "__main__":
    sys.exit(main())
