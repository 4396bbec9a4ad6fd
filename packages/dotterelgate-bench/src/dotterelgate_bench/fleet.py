"""Starts stand-ins and daemons as processes on loopback, for the demo and the tests."""

from __future__ import annotations

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import httpx

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Fleet", "Process", "wait_until"]

START_SECONDS = 15.0
STOP_SECONDS = 5.0
POLL_SECONDS = 0.02
LOWEST_PORT, HIGHEST_PORT = 12_000, 32_000
RESERVATION_HOST = "127.9.9.9"

_reservations: list[socket.socket] = []


def wait_until(condition: Callable[[], bool], *, seconds: float, what: str) -> float:
    """Wait until a condition holds.

    :returns: seconds that it took
    :raises TimeoutError: when it does not hold in time
    """
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        if condition():
            return time.monotonic() - started
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f"not within {seconds} s: {what}")


def find_free_address() -> str:
    """Find a loopback address that nothing listens on.

    Ports from 32768 on are left out: the kernel gives them to outgoing connections, which
    could take one while the process that listens on it is down.
    """
    chance = random.SystemRandom()
    while True:
        port = chance.randrange(LOWEST_PORT, HIGHEST_PORT)
        if not reserve_port(port):
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"


def reserve_port(port: int) -> bool:
    """Reserve a port among test processes until this process ends.

    Binds the same port of another loopback address, since the port itself looks free
    while the process under test is down.

    :returns: whether it was not reserved yet
    """
    reservation = socket.socket()
    try:
        reservation.bind((RESERVATION_HOST, port))
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    return True


@dataclass(kw_only=True)
class Process:
    """One process of the fleet.

    :param address: where it serves requests
    :param endpoint: where a daemon serves its status
    :param peers: where a daemon receives from its peers
    :param variables: environment variables added to this process's own
    """

    name: str
    address: str
    arguments: list[str]
    endpoint: str = ""
    peers: str = ""
    log_path: Path
    variables: dict[str, str] = field(default_factory=dict)
    popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start it."""
        with self.log_path.open("ab") as output:
            self.popen = subprocess.Popen(
                self.arguments,
                stdout=output,
                stderr=output,
                env={**os.environ, **self.variables},
            )

    def send(self, signo: int) -> None:
        """Send it a signal."""
        assert self.popen is not None
        os.kill(self.popen.pid, signo)

    def kill(self) -> None:
        """Kill it, frozen or not."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    def freeze(self) -> None:
        """Suspend it until :meth:`thaw`."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume it."""
        self.send(signal.SIGCONT)

    def has_ended(self) -> bool:
        """Return whether it has ended."""
        return self.popen is None or self.popen.poll() is not None


@dataclass(kw_only=True)
class Fleet:
    """A log, a VM list, backend servers and daemons, each in its own process."""

    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="fleet-")))
    log: Process | None = None
    vms: Process | None = None
    daemons: dict[str, Process] = field(default_factory=dict)
    servers: dict[str, Process] = field(default_factory=dict)
    vm_entries: dict[str, dict] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.client = httpx.Client(timeout=10, trust_env=False)

    def start_platform(self) -> None:
        """Start the log service and the list of VMs."""
        self.log = self._start_stand_in("log", "log")
        self.vms = self._start_stand_in("vms", "vms")
        self._wait_for_port(self.log)
        self._wait_for_port(self.vms)

    def start_server(self, name: str, **options: Any) -> Process:
        """Start a backend server; the options are those of the stand-in's command."""
        flags = [f"--{key.replace('_', '-')}={value}" for key, value in options.items()]
        process = self._start_stand_in(name, "server", name, *flags)
        self.servers[name] = process
        self.list_vm(name, role="server")
        return process

    def start_daemon(
        self, name: str, *, zone: str = "zone-1", log_level: str = "info", **settings: Any
    ) -> Process:
        """Start a daemon; further settings override the defaults."""
        previous = self.daemons.get(name)
        document = {
            "name": name,
            "zone": zone,
            "callers": previous.address if previous else find_free_address(),
            "peers": previous.peers if previous else find_free_address(),
            "endpoint": previous.endpoint if previous else find_free_address(),
            "log": self._require(self.log).address,
            "vms": self._require(self.vms).address,
            "log_poll": 0.1,
            "vms_poll": 0.2,
            **settings,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        binary = Path(sys.executable).with_name("dotterelgated")
        process = Process(
            name=name,
            address=document["callers"],
            endpoint=document["endpoint"],
            peers=document["peers"],
            arguments=[str(binary), "--settings", str(path), "--log-level", log_level],
            log_path=self.folder / f"{name}.log",
        )
        process.start()
        self.daemons[name] = process
        self.list_vm(name, role="entry", address=process.peers)
        return process

    def wait_for_processes(self) -> None:
        """Wait until every running process accepts connections."""
        for process in [*self.servers.values(), *self.daemons.values()]:
            if not process.has_ended():
                self._wait_for_port(process)

    def list_vm(self, name: str, *, role: str, address: str = "", state: str = "live") -> None:
        """Add or replace a VM in the platform's list."""
        self.vm_entries[name] = {"name": name, "role": role, "address": address, "state": state}
        self._post_vms()

    def set_vm_state(self, name: str, state: str) -> None:
        """Set the state of a VM in the platform's list."""
        self.vm_entries[name]["state"] = state
        self._post_vms()

    def set_faults(self, process: Process, **faults: Any) -> None:
        """Set the faults that a stand-in simulates."""
        path = "/_faults" if process.name in self.servers else "/faults"
        self.client.post(f"http://{process.address}{path}", json=faults).raise_for_status()

    def read_ledger(self, name: str) -> dict:
        """Read the ledger of a backend server."""
        return self.client.get(f"http://{self.servers[name].address}/_ledger").json()

    def read_status(self, name: str) -> dict | None:
        """Read a daemon's status, ``None`` when it does not answer."""
        try:
            answer = self.client.get(f"http://{self.daemons[name].endpoint}/status", timeout=2)
            return answer.json()
        except (httpx.HTTPError, ValueError):
            return None

    def count_runs(self, key: str) -> int:
        """Count how often the running backend servers ran a key."""
        runs = 0
        for name, process in self.servers.items():
            if not process.has_ended():
                runs += sum(entry["key"] == key for entry in self.read_ledger(name)["ran"])
        return runs

    def wait_for_revision(self, revision: int, *, seconds: float, names: list[str]) -> float:
        """Wait until a revision is in force on daemons; returns the seconds it took."""

        def in_force() -> bool:
            statuses = [self.read_status(name) for name in names]
            return all(each is not None and each["revision"] >= revision for each in statuses)

        return wait_until(in_force, seconds=seconds, what=f"revision {revision} on {names}")

    def wait_for_holders(self, *, ranges: int, seconds: float) -> float:
        """Wait until every range of keys has a holder; returns the seconds it took."""

        def all_held() -> bool:
            held = 0
            for name, process in self.daemons.items():
                status = None if process.has_ended() else self.read_status(name)
                keys = [] if status is None else status["held"]
                held += sum(each.startswith("keys/") for each in keys)
            return held == ranges

        return wait_until(all_held, seconds=seconds, what=f"{ranges} ranges held")

    def stop(self) -> None:
        """Kill every process that this fleet started."""
        processes = [*self.daemons.values(), *self.servers.values()]
        processes += [each for each in (self.log, self.vms) if each is not None]
        for process in processes:
            process.kill()
        self.client.close()

    def _start_stand_in(self, name: str, kind: str, *options: str) -> Process:
        address = find_free_address()
        arguments = [sys.executable, "-m", "dotterelgate_bench.stand_ins", kind]
        process = Process(
            name=name,
            address=address,
            arguments=[*arguments, f"--address={address}", *options],
            log_path=self.folder / f"{name}.log",
        )
        process.start()
        return process

    def _post_vms(self) -> None:
        document = {"vms": list(self.vm_entries.values())}
        address = self._require(self.vms).address
        self.client.post(f"http://{address}/vms", json=document).raise_for_status()

    def _wait_for_port(self, process: Process) -> None:
        host, port = process.address.split(":")

        def accepts() -> bool:
            if process.has_ended():
                raise RuntimeError(f"{process.name} ended at once; see {process.log_path}")
            with socket.socket() as sock:
                return sock.connect_ex((host, int(port))) == 0

        wait_until(accepts, seconds=START_SECONDS, what=f"{process.name} accepts connections")

    @staticmethod
    def _require(process: Process | None) -> Process:
        assert process is not None, "start_platform comes first"
        return process
