"""Command line of the operator."""

from __future__ import annotations

import getpass
import json
import runpy
import sys
import time
from pathlib import Path
from typing import Annotated

import httpx
import typer

from dotterelgate_border.checking import read_document
from dotterelgate_border.declarations import ConfigurationModel
from dotterelgate_border.problems import InvalidDocumentError
from dotterelgate_core.codes import RESULT_CODES
from dotterelgate_operator.explaining import build_query, format_explanation
from dotterelgate_operator.publishing import Publisher, Verdict

__all__ = ["main"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_LOST_RACE = 3
EXIT_UNSETTLED = 4
REQUEST_SECONDS = 2.0
POLL_SECONDS = 0.1

_command = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    help="Declare, publish and watch the configuration of dotterelgate.",
)

Log = Annotated[str, typer.Option(help="Address of the platform's log service, IP:port.")]
Daemons = Annotated[
    list[str], typer.Option("--daemon", help="Address of a daemon's endpoint, IP:port.")
]


@_command.command("print")
def print_declarations(
    file: Annotated[Path, typer.Argument(help="Python file that prints its declarations.")],
) -> None:
    """Run a file of declarations, which prints its configuration as JSON."""
    if not file.is_file():
        _fail([f"{file}: no such file; name a Python file with declarations"])
    try:
        runpy.run_path(str(file), run_name="__main__")
    except Exception as error:
        _fail([f"{file}: {error}"])


@_command.command()
def check(
    file: Annotated[Path, typer.Argument(help="JSON configuration.")],
) -> None:
    """Check a configuration without publishing it."""
    model = _read(file)
    servers = sum(len(service.servers) for service in model.services)
    typer.echo(f"{file}: valid, {len(model.services)} services, {servers} backend servers")


@_command.command()
def publish(
    file: Annotated[Path, typer.Argument(help="JSON configuration.")],
    log: Log,
    daemon: Daemons = [],
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until it is in force on every --daemon.")
    ] = False,
    timeout: Annotated[float, typer.Option(min=0.1, help="Seconds to wait at most.")] = 30.0,
    parent: Annotated[
        str | None, typer.Option(help="Publish only if this configuration id is in force.")
    ] = None,
) -> None:
    """Publish a configuration; exit code 0: accepted, 3: lost a race, 4: not settled."""
    model = _read(file)
    if wait and not daemon:
        _fail(["--wait: needs at least one --daemon; name the daemons to wait for"])
    started = time.monotonic()
    publisher = Publisher(log=log, daemons=daemon, notify=_report)
    published = publisher.publish(model, operator=getpass.getuser(), wait=timeout, parent=parent)
    if published.verdict is Verdict.ACCEPTED:
        typer.echo(f"revision {published.revision} is accepted, id {published.id}")
    else:
        _report(f"{published.verdict.value}: {published.reason}")
        lost = published.verdict is Verdict.LOST_RACE
        sys.exit(EXIT_LOST_RACE if lost else EXIT_UNSETTLED)
    if wait:
        _wait_for(published.revision, daemon, started + timeout)


@_command.command()
def status(daemon: Daemons) -> None:
    """Show the state of each daemon; exit code 1 when one cannot be reached."""
    failed = False
    typer.echo(f"{'daemon':<22}{'revision':>9}{'in flight':>10}{'held':>6}  state / draining")
    for address in daemon:
        document = _fetch(address, "/status")
        if document is None:
            typer.echo(f"{address:<22}cannot be reached")
            failed = True
            continue
        typer.echo(_format_status(document))
    sys.exit(EXIT_FAILED if failed else EXIT_OK)


@_command.command()
def explain(
    method: Annotated[str, typer.Argument(help="HTTP method.")],
    url: Annotated[str, typer.Argument(help="URL of the request, such as http://HOST/PATH.")],
    at: Annotated[
        str, typer.Option(help="Address of a daemon's endpoint, IP:port; else this VM's daemon.")
    ] = "",
    credential_file: Annotated[
        Path | None, typer.Option(help="File with the caller's credential; only a digest is sent.")
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print the whole document.")] = False,
) -> None:
    """Explain where a request would go from one daemon now, and why, without sending it."""
    try:
        address, query = build_query(method, url, at, credential_file)
    except (OSError, ValueError) as error:
        _fail([str(error)])
    document = _fetch(address, f"/explain?{query}")
    if document is None:
        _report(f"{address}: cannot be reached; check that the daemon runs")
        sys.exit(EXIT_FAILED)
    typer.echo(json.dumps(document, indent=2) if as_json else format_explanation(document))


@_command.command()
def codes() -> None:
    """List the numbered result codes."""
    for code in RESULT_CODES:
        typer.echo(
            f"{code.number:>4}  {code.name:<22}{code.status:>4}  "
            f"{code.outcome.value:<16}{code.meaning}"
        )


def _read(file: Path) -> ConfigurationModel:
    try:
        return read_document(file, ConfigurationModel)
    except InvalidDocumentError as error:
        _fail(error.problems)
        raise


def _fetch(address: str, path: str) -> dict | None:
    try:
        answer = httpx.get(f"http://{address}{path}", timeout=REQUEST_SECONDS, trust_env=False)
        return answer.json()
    except (httpx.HTTPError, ValueError):
        return None


def _format_status(document: dict) -> str:
    draining = [server["name"] for server in document["servers"] if server["leaving"]]
    state = "stopping" if document["stopping"] else "serving"
    return (
        f"{document['daemon']:<22}{document['revision']:>9}{document['in_flight']:>10}"
        f"{len(document['held']):>6}  {state} / {', '.join(draining) or 'none'}"
    )


def _wait_for(revision: int, daemons: list[str], deadline: float) -> None:
    pending = set(daemons)
    reported_at = time.monotonic()
    while pending and time.monotonic() < deadline:
        for address in sorted(pending):
            document = _fetch(address, "/status")
            if document is not None and document["revision"] >= revision:
                pending.discard(address)
        if pending and time.monotonic() - reported_at > 1.0:
            reported_at = time.monotonic()
            _report(f"waiting for {', '.join(sorted(pending))}")
        time.sleep(POLL_SECONDS if pending else 0.0)
    if pending:
        _report(f"revision {revision} is accepted but not yet seen on {', '.join(sorted(pending))}")
        sys.exit(EXIT_UNSETTLED)
    typer.echo(f"revision {revision} is in force on {len(daemons)} daemons")


def _report(line: str) -> None:
    typer.echo(line, err=True)


def _fail(problems: list[str]) -> None:
    for problem in problems:
        _report(problem)
    sys.exit(EXIT_USAGE)


def main() -> None:
    """Entry point of ``dotterelgate``."""
    _command()
