"""Measures second attempts on the model of a zone: ``hedging_figures.py > FILE``."""

from __future__ import annotations

import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from pathlib import Path
from typing import Annotated

import typer

FEATURES = Path(__file__).resolve().parent
sys.path[:0] = [str(FEATURES), str(FEATURES.parent / "platform")]

from subjects.hedged_zone import HedgedZone  # noqa: E402

SHARES = (0.0, 0.02, 0.05, 0.1, 0.2)
RATES = (40, 80, 110)
COLUMNS = ("slow", "rate", "share", "p50 ms", "p95 ms", "p99 ms", "p99.9 ms", "in target %")
MORE_COLUMNS = ("refused %", "second %", "won %", "denied %", "slot s a request", "more work %")


def measure(case: tuple[bool, int, float, int]) -> dict[str, float]:
    """Run one seed of one case."""
    slow_requests, rate, share, seed = case
    zone = HedgedZone(
        seed=seed, rate=lambda _: rate, share=share, slow_requests=slow_requests, seconds=40.0
    )
    zone.run()
    started = zone.counts.get("started", 0)
    return {
        "p50 ms": zone.find_percentile(0.5),
        "p95 ms": zone.find_percentile(0.95),
        "p99 ms": zone.find_percentile(0.99),
        "p99.9 ms": zone.find_percentile(0.999),
        "in target %": 100 * zone.in_target / zone.requests,
        "refused %": 100 * (zone.refused + zone.lost) / zone.requests,
        "second %": 100 * started / zone.first_attempts,
        "won %": 100 * zone.counts.get("won", 0) / max(1, started),
        "denied %": 100 * zone.counts.get("denied", 0) / zone.first_attempts,
        "slot s a request": zone.slot_seconds / zone.first_attempts,
    }


def main(
    seeds: Annotated[int, typer.Option(help="Seeds of each case.")] = 5,
    processes: Annotated[int, typer.Option(help="Processes at once.")] = 2,
) -> None:
    """Print a table; each figure is the mean over the seeds."""
    groups = list(product((False, True), RATES, SHARES))
    cases = [(*group, seed) for group in groups for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor(processes) as pool:
        results = list(pool.map(measure, cases))
    columns = (*COLUMNS, *MORE_COLUMNS)
    print("| " + " | ".join(columns) + " |")
    print("|" + "---|" * len(columns))
    work = 0.0
    for number, (slow_requests, rate, share) in enumerate(groups):
        runs = results[number * seeds : (number + 1) * seeds]
        means = {key: statistics.mean(run[key] for run in runs) for key in runs[0]}
        if not share:
            work = means["slot s a request"]
        means["more work %"] = 100 * (means["slot s a request"] / work - 1)
        slow = "request" if slow_requests else "attempt"
        figures = [f"{means[key]:.1f}" for key in columns[3:-2]]
        figures += [f"{means['slot s a request']:.4f}", f"{means['more work %']:+.1f}"]
        print(f"| {slow} | {rate} | {share} | " + " | ".join(figures) + " |", flush=True)


if __name__ == "__main__":
    typer.run(main)
