"""Compares all policies side by side on the decision core, with a table and plots."""

from __future__ import annotations

import json
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING

import matplotlib

from dotterelgate_bench.experiment import POLICIES, SIZES, Plan, run_experiment

if TYPE_CHECKING:
    from dotterelgate_bench.experiment import Figures

matplotlib.use("Agg")

__all__ = ["main"]

LOADS = (0.5, 0.7, 0.85)
SEEDS = (1, 2)
WORKERS = 5
CREST_LOAD = 0.5
SELECTED_POLICIES = ("least_in_flight", "least_reported", "local_queue", "owner_queue", "oracle")
FOLDER = Path("docs/measurements")


def list_plans() -> list[Plan]:
    """List every experiment of the comparison."""
    plans = []
    for user in SIZES:
        for seed in SEEDS:
            for policy in POLICIES:
                plans += [Plan(user=user, policy=policy, load=load, seed=seed) for load in LOADS]
            for policy in SELECTED_POLICIES:
                plans.append(Plan(user=user, policy=policy, load=CREST_LOAD, seed=seed, crest=True))
                plans += [
                    Plan(
                        user=user,
                        policy=policy,
                        load=0.7,
                        seed=seed,
                        stragglers=0.0,
                        long_share=share,
                    )
                    for share in (0.0, 0.02)
                ]
    return plans


def find_mean(figures: list[Figures], name: str, **plan: object) -> float | None:
    """Compute the mean of one figure over the experiments with the chosen plan."""
    values = [
        getattr(each, name)
        for each in figures
        if all(each.plan[key] == value for key, value in plan.items())
    ]
    present = [value for value in values if value is not None]
    return sum(present) / len(present) if present else None


def format_table(figures: list[Figures]) -> list[str]:
    """Format the comparison as lines of Markdown."""
    lines = ["# Policies compared on the decision core", ""]
    lines.append(f"Seeds {SEEDS}; p99 of short requests in ms; mean over the seeds.")
    for user in SIZES:
        lines += _format_loads(figures, user)
        lines += _format_stragglers(figures, user)
        lines += _format_crest(figures, user)
    return lines


def _format_loads(figures: list[Figures], user: str) -> list[str]:
    lines = ["", f"## {user}: load", "", "| policy | 0.5 | 0.7 | 0.85 | of the oracle at 0.7 |"]
    lines.append("|---|---|---|---|---|")
    plan = {"user": user, "crest": False, "long_share": 0.0, "stragglers": 0.01}
    oracle_mean = find_mean(figures, "p99", policy="oracle", load=0.7, **plan) or 1.0
    for policy in POLICIES:
        means = [find_mean(figures, "p99", policy=policy, load=load, **plan) for load in LOADS]
        cells = " | ".join(f"{mean:.1f}" for mean in means if mean is not None)
        lines.append(f"| {policy} | {cells} | {(means[1] or 0) / oracle_mean:.2f} |")
    return lines


def _format_stragglers(figures: list[Figures], user: str) -> list[str]:
    lines = ["", f"## {user}: known long work beside short work, load 0.7", ""]
    lines += ["| policy | none | 2% long | ratio |", "|---|---|---|---|"]
    plan = {"user": user, "crest": False, "stragglers": 0.0, "load": 0.7}
    for policy in SELECTED_POLICIES:
        alone = find_mean(figures, "p99", policy=policy, long_share=0.0, **plan) or 1.0
        mixed = find_mean(figures, "p99", policy=policy, long_share=0.02, **plan) or 0.0
        lines.append(f"| {policy} | {alone:.1f} | {mixed:.1f} | {mixed / alone:.2f} |")
    return lines


def _format_crest(figures: list[Figures], user: str) -> list[str]:
    lines = ["", f"## {user}: crest of 2.5 times the capacity for 2 s", ""]
    lines.append("| policy | useful share | p99 ms | refused after ms (p99) | recovered after s |")
    lines.append("|---|---|---|---|---|")
    for policy in SELECTED_POLICIES:
        cells = []
        for name, number_format in (
            ("useful_share", ".2f"),
            ("p99", ".0f"),
            ("refusal_ms", ".1f"),
            ("recovery_s", ".2f"),
        ):
            mean = find_mean(figures, name, user=user, policy=policy, crest=True)
            cells.append("none" if mean is None else f"{mean:{number_format}}")
        lines.append(f"| {policy} | {' | '.join(cells)} |")
    return lines


def draw_plot(figures: list[Figures], path: Path) -> None:
    """Plot the tail latency of each policy over the load."""
    from matplotlib import pyplot

    chart, axes = pyplot.subplots(1, len(SIZES), figsize=(11, 4.5), sharey=True)
    for axis, user in zip(axes, SIZES, strict=True):
        plan = {"user": user, "crest": False, "long_share": 0.0, "stragglers": 0.01}
        for policy in POLICIES:
            tail = [find_mean(figures, "p99", policy=policy, load=load, **plan) for load in LOADS]
            axis.plot(LOADS, tail, marker="o", label=policy)
        axis.set_title(user)
        axis.set_xlabel("load")
        axis.set_yscale("log")
    axes[0].set_ylabel("p99 of short requests in ms")
    axes[1].legend(fontsize=7)
    chart.tight_layout()
    chart.savefig(path, dpi=100)


def main() -> int:
    """Run the comparison, then print and write its figures."""
    started = time.monotonic()
    plans = list_plans()
    print(f"{len(plans)} experiments, seeds {SEEDS}", flush=True)
    with ProcessPoolExecutor(WORKERS) as pool:
        figures = list(pool.map(run_experiment, plans))
    FOLDER.mkdir(parents=True, exist_ok=True)
    document = [asdict(each) for each in figures]
    (FOLDER / "policies.json").write_text(json.dumps(document, indent=1), encoding="utf-8")
    lines = format_table(figures)
    (FOLDER / "policies.md").write_text("\n".join(lines) + "\n", encoding="utf-8")
    draw_plot(figures, FOLDER / "policies.png")
    print("\n".join(lines))
    print(f"took {time.monotonic() - started:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
