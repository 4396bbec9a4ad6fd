"""Runs the linters and all features, and prints how many passed and failed."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BIN = Path(sys.executable).parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
CHECKS = {
    "ruff format": ("ruff", "format", "--check", "packages", "features", "platform"),
    "ruff check": ("ruff", "check", "packages", "features", "platform"),
    "mypy": ("mypy",),
}


@dataclass
class Counts:
    """Names of what passed, failed, and failed as listed in KNOWN-RED.txt."""

    passed: list[str] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)
    known_failures: list[str] = field(default_factory=list)

    def count(self, name: str, *, passed: bool, known_red: set[str]) -> None:
        """Count one check or scenario."""
        if passed:
            self.passed.append(name)
        elif name in known_red:
            self.known_failures.append(name)
        else:
            self.failed.append(name)


def read_known_red() -> set[str]:
    """Read the names of the scenarios listed in KNOWN-RED.txt."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split("|")[0].strip() for line in lines if line and not line.startswith("#")}


def run_checks(counts: Counts, known_red: set[str]) -> None:
    """Run the formatter, the linter and the type checker."""
    for name, (program, *arguments) in CHECKS.items():
        finished = subprocess.run([BIN / program, *arguments], cwd=ROOT, check=False)
        counts.count(name, passed=finished.returncode == 0, known_red=known_red)


def run_features(counts: Counts, known_red: set[str], selected: list[str]) -> None:
    """Run the features with behave and count their scenarios."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        arguments = ["-f", "json", "-o", str(report), "-f", "progress2", "--logging-level=WARNING"]
        finished = subprocess.run(
            [sys.executable, "-m", "behave", *arguments, *(selected or ["features"])],
            cwd=ROOT,
            check=False,
        )
        features = json.loads(report.read_text(encoding="utf-8") or "[]")
    scenarios = list_scenarios(features)
    for name, passed in scenarios:
        counts.count(name, passed=passed, known_red=known_red)
    if not scenarios or (finished.returncode and all(passed for _, passed in scenarios)):
        counts.failed.append("behave itself")


def list_scenarios(features: list[dict]) -> list[tuple[str, bool]]:
    """List each scenario's name and whether it passed; one that did not run counts as failed."""
    return [
        (element["name"].strip(), element.get("status") == "passed")
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]


def main() -> int:
    """Run all checks and features; the last line printed is the count."""
    selected = sys.argv[1:]
    known_red = read_known_red()
    counts = Counts()
    if not selected:
        run_checks(counts, known_red)
    run_features(counts, known_red, selected)
    for name in counts.known_failures:
        print(f"known red, passed over: {name}")
    for name in counts.failed:
        print(f"FAILED: {name}")
    print(f"{len(counts.passed)} passed, {len(counts.failed)} failed", flush=True)
    return 1 if counts.failed or not counts.passed else 0


if __name__ == "__main__":
    sys.exit(main())
