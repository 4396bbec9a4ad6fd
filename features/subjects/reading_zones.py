"""Subject: zones of daemons that read a store and send each other updates, on a fake clock."""

from __future__ import annotations

import random

from dotterelgate_core.readers import (
    find_leading_zone,
    select_behind,
    select_read_receivers,
    select_relay_receivers,
)
from dotterelgate_core.store_reading import (
    ReadStore,
    StoreReadEnded,
    StoreReadFailed,
    StoreUpdateReceived,
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
        self.publish_seconds = float("inf")
        # When the store accepted each revision, from 1 on.
        self._published_at = [self.now]
        # What each daemon knows is as old as the read that it came from.
        self._fresh_at = dict.fromkeys(self.daemons, self.now)
        self.reads: list[tuple[float, str]] = []
        self.sent: list[tuple[float, str]] = []
        self.gaps: list[tuple[float, float]] = []
        self.lags: list[tuple[float, float]] = []

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
            if self.now - self._published_at[-1] >= self.publish_seconds:
                self._published_at.append(self.now)
            for name in sorted(self.alive):
                self._tick(self.daemons[name])
            self._note_gaps()
            self._note_lags()

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
        if find(orders, ReadStore) and daemon.state.name in self.refused:
            daemon.run_control(StoreReadFailed(now=daemon.now, reason="refused"))
        elif find(orders, ReadStore):
            name = daemon.state.name
            self.reads.append((daemon.now, name))
            read_at = daemon.now - self.slow.get(name, 0.0)
            self._fresh_at[name] = max(self._fresh_at[name], read_at)
            daemon.configure(sum(at <= read_at for at in self._published_at))
            self._note_read(daemon, read_at)
            daemon.run_control(StoreReadEnded(now=daemon.now))
            receivers = select_read_receivers(daemon.state, daemon.reading, daemon.now)
            self._send(daemon, receivers)

    def _send(self, sender: StoreDaemon, receivers: list[str]) -> None:
        if receivers:
            self.sent.append((sender.now, sender.state.name))
        self._send_configuration(sender, receivers)
        for name in receivers:
            is_lost = self._random.random() < self.loss
            if is_lost or not self._reaches(sender.state.name, name):
                continue
            receiver = self.daemons[name]
            self._note_update(sender, receiver)
            if receiver.state.configuration.revision < sender.state.configuration.revision:
                continue
            self._fresh_at[name] = max(self._fresh_at[name], self._fresh_at[sender.state.name])
            is_remote = receiver.state.zone != sender.state.zone
            receiver.run_control(
                StoreUpdateReceived(
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

    def _note_read(self, daemon: StoreDaemon, read_at: float) -> None:
        """Apply what else a daemon read."""

    def _note_update(self, sender: StoreDaemon, receiver: StoreDaemon) -> None:
        """Apply what else an update holds."""

    def _send_configuration(self, sender: StoreDaemon, receivers: list[str]) -> None:
        for name in select_behind(sender.state, receivers):
            if self._random.random() >= self.loss and self._reaches(sender.state.name, name):
                self.daemons[name].configure(sender.state.configuration.revision)

    def _note_lags(self) -> None:
        lags = [0.0]
        for name in self.alive - self.slow.keys():
            revision = self.daemons[name].state.configuration.revision
            missed = self._published_at[revision : revision + 1]
            lags += [self.now - at for at in missed]
        self.lags.append((self.now, max(lags)))

    def _note_gaps(self) -> None:
        watched = self.alive - self.slow.keys()
        self.gaps.append((self.now, max(self.now - self._fresh_at[each] for each in watched)))
