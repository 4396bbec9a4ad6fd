"""Subjects: a zone of many daemons on a fake clock, and followers of the registry."""

from __future__ import annotations

import random
import time
from types import SimpleNamespace

from dotterelgate_border.datagrams import Datagram, decode_datagram
from dotterelgate_core.configuration import Configuration, Service
from dotterelgate_core.control_messages import Probe
from dotterelgate_core.eras import Position
from dotterelgate_core.heartbeats import HEARTBEAT_SECONDS, plan_heartbeats
from dotterelgate_core.owners import list_owners
from dotterelgate_core.registry import Registration
from dotterelgate_core.store_reading import StoreUpdateReceived
from dotterelgate_daemon.configuration_following import ConfigurationFollower
from dotterelgate_daemon.registry_following import RegistryFollower
from dotterelgate_daemon.store import StoreRecord
from dotterelgate_daemon.store_reader import StoreReader
from dotterelgate_platform.evacuations import read_evacuated_zone
from subjects.store_daemon import ZONE, StoreDaemon, find

SERVICES = ("a", "b", "c")
ROUND_SECONDS = HEARTBEAT_SECONDS
ENTRY_BYTES = 330
CONFIGURATION_KEY = "config"


class LargeZone:
    """Daemons of one zone that exchange heartbeats; they start one after the other."""

    def __init__(self, *, daemons: int, loss: float, seed: int, has_servers: bool = True) -> None:
        self._random = random.Random(seed)
        self._loss = loss
        self.daemons = {
            name: StoreDaemon(name=name, policy="granted_queue")
            for name in (f"front-{number}" for number in range(daemons))
        }
        self.alive = set(self.daemons)
        self.sent = 0
        self.pairs = 0
        self.round = 0
        self.views: dict[str, tuple] = {}
        self.view_changes = 0
        self._announced: dict[str, bool] = {}
        for daemon in self.daemons.values():
            daemon.configure(services=SERVICES)
        if has_servers:
            self.register_servers()
        for sender in self.daemons:
            self._deliver(sender, [(name, 0.0) for name in self.daemons if name != sender])

    def register_servers(self) -> None:
        """Let each daemon learn of the first backend servers."""
        for daemon in self.daemons.values():
            for number, service in enumerate(SERVICES):
                daemon.register(f"i-{number}", offset=number, service=service)

    def count_samplers(self) -> int:
        """Count the daemons that order a probe, each by its own view."""
        orders = (self.daemons[name].tick() for name in self.alive)
        return sum(find(each, Probe) is not None for each in orders)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / ROUND_SECONDS)):
            self.round += 1
            for name in self.alive:
                self.daemons[name].now += ROUND_SECONDS
            for name in sorted(self.alive):
                self._send_heartbeats(name)
            self._watch_views()

    def kill_owners(self) -> None:
        """Kill the owners and successors of all services."""
        self.alive -= set(self.read_view(min(self.alive)))

    def read_view(self, name: str) -> tuple[str, ...]:
        """Read whom a daemon names as owners and successors."""
        daemon = self.daemons[name]
        listed = (list_owners(daemon.state, each, daemon.now, ZONE) for each in SERVICES)
        return tuple(owner for owners in listed for owner in owners)

    def _send_heartbeats(self, name: str) -> None:
        daemon = self.daemons[name]
        offset = int(name.rpartition("-")[2])
        can_decide = daemon.state.can_decide
        planned = plan_heartbeats(
            daemon.state,
            daemon.now,
            self.round + offset,
            to_zone=can_decide != self._announced.get(name, can_decide),
        )
        self._announced[name] = can_decide
        self.sent += len(planned)
        self.pairs += len(self.daemons) - 1
        self._deliver(name, [(each.peer.name, each.interval) for each in planned])

    def _deliver(self, sender: str, receivers: list[tuple[str, float]]) -> None:
        for name, interval in receivers:
            if name not in self.alive or self._random.random() < self._loss:
                continue
            can_decide = self.daemons[sender].state.can_decide
            self.daemons[name].receive_heartbeat(sender, can_decide=can_decide, interval=interval)

    def _watch_views(self) -> None:
        for name in self.alive:
            view = self.read_view(name)
            self.view_changes += self.views.get(name, view) != view
            self.views[name] = view


class FakeMesh:
    """Collects messages."""

    address = "10.0.0.9:1"

    def __init__(self) -> None:
        self.sent: list = []

    def send_to_all(self, _addresses: list[str], data: bytes) -> None:
        """Collect an encoded message."""
        self.sent.append(decode_datagram(data))

    def send_message(self, address: str, message: object) -> None:
        """Collect a message."""
        self.sent.append(message)


class Follower:
    """A daemon that follows the store and its peers; the test is the store."""

    def __init__(self, name: str) -> None:
        self.mesh = FakeMesh()
        self.emitted: list = []
        self.daemon = StoreDaemon(name=name)
        self.daemon.now = time.monotonic()
        self.daemon.receive_heartbeat("front-9")
        self.daemon.reading.read_started_at = self.daemon.now
        access = SimpleNamespace(
            state=self.daemon.state,
            calls=SimpleNamespace(
                decode_registration=decode_registration,
                decode_configuration=decode_configuration,
                prepare_for_peers=lambda document: document,
                configuration_key=CONFIGURATION_KEY,
                read_evacuated_zone=read_evacuated_zone,
            ),
            client=None,
            mesh=self.mesh,
            emit=self._emit,
            era=self.daemon.registry.era,
        )
        self.configuration = ConfigurationFollower(access=access)
        self.follower = RegistryFollower(
            access=access,
            registry=self.daemon.registry,
            reading=self.daemon.reading,
            send_configuration=self.configuration.send_to_those_behind,
        )
        self.store_reader = StoreReader(
            access=access,
            reading=self.daemon.reading,
            configuration=self.configuration,
            registry=self.follower,
        )
        self.reader = self.follower._reader
        self.outcomes: list = []
        for reader in (self.reader, self.configuration._reader):
            reader.read = self.outcomes.append

    def list_all(self, names: list[str], *, end: int, era: int = 0) -> None:
        """Let the store list entries."""
        records = [build_record(each, at, era) for at, each in enumerate(names)]
        self.reader._on_records(records)
        self.reader.position = Position(era=era, offset=end)
        self.reader._on_listed(frozenset(names), self.reader.position)
        self._end_read()

    def pass_time(self, seconds: float) -> None:
        """Let what the follower noted become older."""
        positions = self.follower._positions
        self.follower._positions = [(at - seconds, position) for at, position in positions]

    def read(self, records: list[StoreRecord], *, end: int, era: int = 0) -> None:
        """Let the store return records."""
        self.reader._on_records(records)
        self.reader.position = Position(era=era, offset=end)
        self._end_read()

    def read_configuration(self, revision: int) -> None:
        """Let the store return a configuration."""
        value = str(revision).encode("ascii")
        record = StoreRecord(key=CONFIGURATION_KEY, offset=revision, value=value)
        self.configuration._reader._on_records([record])
        self._end_read()

    def _end_read(self) -> None:
        # A read of the configuration's topic ends at a position too.
        if self.reader.position is not None:
            self.configuration._reader.position = self.reader.position
        self.store_reader.read()
        while self.outcomes:
            self.outcomes.pop().on_done()

    def receive(self, update: Datagram) -> bool:
        """Receive a message; returns whether it was an update that left no gap."""
        self.emitted.clear()
        self.follower.receive(update)
        self.configuration.receive(update)
        return any(isinstance(each, StoreUpdateReceived) for each in self.emitted)

    def _emit(self, message: object) -> None:
        self.emitted.append(message)
        self.daemon.run_control(message)


def build_record(
    name: str, offset: int, era: int = 0, *, host: int | None = None, write: int = 0
) -> StoreRecord:
    """Build a backend server's entry as the store holds it.

    :param host: last part of its address, its offset by default
    :param write: number of the write, 0 for a server that does not count them
    """
    # As long as an entry of the platform.
    address = f"10.0.1.{offset if host is None else host}:80"
    value = f"{address} {write}".ljust(ENTRY_BYTES).encode("ascii")
    return StoreRecord(key=name, offset=offset, value=value, era=era)


def decode_configuration(value: bytes) -> Configuration:
    """Decode a configuration, which is its revision."""
    services = (Service(name="s", servers=(), routes=()),)
    return Configuration(id="", revision=int(value), services=services)


def decode_registration(value: bytes) -> Registration:
    """Decode an entry, which is its address and the number of the write."""
    address, write = value.decode("ascii").split()
    return Registration(
        service="s",
        address=address,
        zone=ZONE,
        slots=3,
        is_draining=False,
        born=1,
        write=int(write),
    )
