"""Command line of the daemon."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import Annotated

# By default the signal ends the process; the imports take 0.4 s, and settings are read after them.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import typer  # noqa: E402

from dotterelgate_border.problems import InvalidDocumentError  # noqa: E402
from dotterelgate_border.settings import DaemonSettings, read_settings  # noqa: E402
from dotterelgate_daemon.assembly import build_daemon  # noqa: E402
from dotterelgate_daemon.log_output import set_up_logging  # noqa: E402
from dotterelgate_daemon.reloading import make_reload  # noqa: E402

__all__ = ["main"]

EXIT_USAGE = 2

_command = typer.Typer(add_completion=False)


@_command.command()
def run(
    settings: Annotated[Path, typer.Option(help="JSON file with the settings.")],
    check_settings: Annotated[
        bool, typer.Option("--check-settings", help="Check the settings and exit.")
    ] = False,
    log_level: Annotated[str, typer.Option(help="debug, info, warning or error.")] = "info",
) -> None:
    """Run one entry daemon of the load balancer until SIGTERM."""
    if log_level not in ("debug", "info", "warning", "error"):
        _fail([f"--log-level: {log_level!r} is not known; use debug, info, warning or error"])
    try:
        checked = read_settings(settings, DaemonSettings)
    except InvalidDocumentError as error:
        _fail(error.problems)
    if check_settings:
        typer.echo(f"{settings}: the settings are valid")
        return
    lines = set_up_logging(log_level)
    try:
        daemon = build_daemon(checked, lines, make_reload(settings, checked))
    except Exception as error:
        _fail([f"{settings}: an address cannot be used: {error}; change it or free it"])
    daemon.run_to_end()


def _fail(problems: list[str]) -> None:
    for problem in problems:
        typer.echo(problem, err=True)
    sys.exit(EXIT_USAGE)


def main() -> None:
    """Entry point of ``dotterelgated``."""
    _command()
