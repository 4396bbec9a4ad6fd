"""Command that runs one stand-in as a process."""

from __future__ import annotations

from typing import Annotated

import typer

from dotterelgate_bench.backend import BackendStandIn
from dotterelgate_bench.platform import LogStandIn, VmListStandIn
from dotterelgate_bench.serving import build_loop

_command = typer.Typer(add_completion=False)

Address = Annotated[str, typer.Option(help="IP:port to listen on.")]


@_command.command()
def log(address: Address) -> None:
    """Run the log service."""
    root, streams, timers = build_loop()
    LogStandIn(streams=streams, timers=timers, address=address)
    root.run()


@_command.command()
def vms(address: Address) -> None:
    """Run the list of VMs."""
    root, streams, _ = build_loop()
    VmListStandIn(streams=streams, address=address)
    root.run()


@_command.command()
def server(
    address: Address,
    name: str,
    slots: int = 3,
    mean_ms: float = 5.0,
    seed: int = 1,
    cold_seconds: float = 0.0,
) -> None:
    """Run one backend server."""
    root, streams, timers = build_loop()
    BackendStandIn(
        streams=streams,
        timers=timers,
        address=address,
        name=name,
        slots=slots,
        mean_ms=mean_ms,
        seed=seed,
        cold_seconds=cold_seconds,
    )
    root.run()


if __name__ == "__main__":
    _command()
