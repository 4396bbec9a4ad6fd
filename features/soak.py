"""Runs the fault soak: ``soak.py --seeds 50`` or ``soak.py --seed 7``."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated

import typer

FEATURES = Path(__file__).resolve().parent
sys.path[:0] = [str(FEATURES), str(FEATURES.parent / "platform")]

from soaking.schedule import SoakRun  # noqa: E402

FAILED_SEEDS = FEATURES / "soaking" / "failed_seeds.json"


def main(
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    seeds: Annotated[int, typer.Option(help="How many seeds to run.")] = 1,
    seconds: Annotated[float, typer.Option(help="Seconds with faults for each.")] = 12.0,
    daemons: Annotated[int, typer.Option(help="Daemons in each run.")] = 3,
    patient: Annotated[int, typer.Option(help="Callers of slow writes that may wait.")] = 0,
    failed: Annotated[bool, typer.Option(help="Run the seeds that failed before.")] = False,
) -> None:
    """Run seeds one after the other; exits with 1 if a guarantee was violated."""
    numbers = range(seed, seed + seeds)
    if failed:
        numbers = [each["seed"] for each in json.loads(FAILED_SEEDS.read_text("utf-8"))]
    count = 0
    for number in numbers:
        run = SoakRun(seed=number, seconds=seconds, daemons=daemons, patient=patient)
        violations = run.run()
        count += bool(violations)
        results = run.evidence.results
        served = sum(each.status == 200 for each in results)
        print(f"seed {number}: {len(results)} requests, {served} served, {len(violations)} broken")
        for line in [*violations[:10], *(run.notes if violations else [])]:
            print(f"    {line}", flush=True)
    print(f"{len(numbers) - count} passed, {count} failed")
    raise typer.Exit(1 if count else 0)


if __name__ == "__main__":
    typer.run(main)
