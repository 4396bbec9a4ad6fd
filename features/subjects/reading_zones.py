"""Subject: zones of daemons that read a registry and send each other updates, on a fake clock."""

from __future__ import annotations

import random

from dotterelgate_core.readers import (
    find_leading_zone,
    select_read_receivers,
    select_relay_receivers,
)
from dotterelgate_core.store_reading import (
    ConfigurationReadEnded,
    ReadConfiguration,
    ReadRegistry,
    RegistryReadEnded,
    RegistryReadFailed,
    RegistryUpdateReceived,
)
from subjects.store_daemon import StoreDaemon, find

TICK_SECONDS = 0.02
HEARTBEAT_TICKS = 12


class ReadingZones:
    """Daemons whose reads succeed at once.

    ``slow`` holds the daemons that have what they read only some seconds later.
    """

    def __init__(self, *, zones: int, daemons: int, loss: float = 0.0, seed: int = 1) -> None:
        self._random = random.Random(seed)
        self.loss = loss
        self._ticks = 0
        self.daemons: dict[str, StoreDaemon] = {}
        for number in range(zones):
            for each in range(daemons):
                daemon = StoreDaemon(name=f"front-{number}-{each}")
                daemon.state.zone = f"zone-{number}"
                daemon.configure()
                daemon.register("i-1", offset=0)
                self.daemons[daemon.state.name] = daemon
        self.alive = set(self.daemons)
        self.is_cut = False
        self.refused: set[str] = set()
        self.slow: dict[str, float] = {}
        # What each daemon knows is as old as the read that it came from.
        self._fresh_at = dict.fromkeys(self.daemons, self.now)
        self.reads: list[float] = []
        self.sent: list[tuple[float, str]] = []
        self.gaps: list[tuple[float, float]] = []

    @property
    def now(self) -> float:
        """The clock of all daemons."""
        return self.daemons[min(self.alive)].now

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self._ticks += 1
            for name in self.alive:
                self.daemons[name].now += TICK_SECONDS
            if self._ticks % HEARTBEAT_TICKS == 0:
                self._send_heartbeats()
            for name in sorted(self.alive):
                self._tick(self.daemons[name])
            self._note_gaps()

    def find_leading_zone(self) -> str:
        """Return the zone that reads for all."""
        daemon = self.daemons[min(self.alive)]
        return find_leading_zone(daemon.state, daemon.now)

    def list_readers(self, zone: str) -> list[str]:
        """List the daemons of a zone, the readers first."""
        names = [name for name in self.alive if self.daemons[name].state.zone == zone]
        return sorted(names, key=lambda name: self.daemons[name].reading.rank)

    def kill(self, names: list[str]) -> None:
        """Kill daemons."""
        self.alive -= set(names)

    def count_waiting(self) -> int:
        """Count the daemons that wait for a configuration."""
        return sum(self.daemons[name].reading.configuration.is_reading for name in self.alive)

    def _send_heartbeats(self) -> None:
        for sender in self.alive:
            zone = self.daemons[sender].state.zone
            for name in self.alive - {sender}:
                if self._reaches(sender, name):
                    self.daemons[name].receive_heartbeat(sender, zone)

    def _reaches(self, sender: str, receiver: str) -> bool:
        states = self.daemons[sender].state, self.daemons[receiver].state
        return receiver in self.alive and not (self.is_cut and states[0].zone != states[1].zone)

    def _tick(self, daemon: StoreDaemon) -> None:
        orders = daemon.tick()
        if find(orders, ReadConfiguration) and not daemon.reading.configuration.has_read:
            daemon.run_control(ConfigurationReadEnded(now=daemon.now))
        if find(orders, ReadRegistry) and daemon.state.name in self.refused:
            daemon.run_control(RegistryReadFailed(now=daemon.now, reason="refused"))
        elif find(orders, ReadRegistry):
            name = daemon.state.name
            self.reads.append(daemon.now)
            read_at = daemon.now - self.slow.get(name, 0.0)
            self._fresh_at[name] = max(self._fresh_at[name], read_at)
            daemon.run_control(RegistryReadEnded(now=daemon.now))
            receivers = select_read_receivers(daemon.state, daemon.reading, daemon.now)
            self._send(daemon, receivers)

    def _send(self, sender: StoreDaemon, receivers: list[str]) -> None:
        if receivers:
            self.sent.append((sender.now, sender.state.name))
        for name in receivers:
            is_lost = self._random.random() < self.loss
            if is_lost or not self._reaches(sender.state.name, name):
                continue
            receiver = self.daemons[name]
            self._fresh_at[name] = max(self._fresh_at[name], self._fresh_at[sender.state.name])
            is_remote = receiver.state.zone != sender.state.zone
            receiver.run_control(
                RegistryUpdateReceived(
                    now=receiver.now,
                    read_at=self._fresh_at[sender.state.name],
                    recovered_at=float("-inf"),
                    is_remote_zone=is_remote,
                )
            )
            if is_remote:
                self._send(
                    receiver, select_relay_receivers(receiver.state, receiver.reading, receiver.now)
                )

    def _note_gaps(self) -> None:
        watched = self.alive - self.slow.keys()
        self.gaps.append((self.now, max(self.now - self._fresh_at[each] for each in watched)))
