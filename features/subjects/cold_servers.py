"""Subjects: cold servers with a limit, and daemons of several zones that keep it."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from dotterelgate_core.control_messages import ControlTicked
from dotterelgate_core.limiting import has_allowance, use_allowance
from dotterelgate_core.store_control import ConfigurationStored
from dotterelgate_core.warm_up.following import DaemonsListed
from dotterelgate_daemon.load_messages import build_announcement
from subjects.limited_zones import LimitedZones
from subjects.store_daemon import StoreDaemon

if TYPE_CHECKING:
    from subjects.noisy import NoisyServer

STEP_SECONDS = 0.02
TICK_STEPS = 3
HEARTBEAT_STEPS = 12
# Peers know each other before the servers start.
CALM_SECONDS = 5.0
COLD_SECONDS = 100.0
# The bound on what a cold server may get in any second.
WINDOW_SECONDS = 1.0
ALLOWED_FACTOR = 1.5
ALLOWED_REQUESTS = 8
# Within which the last daemon reads the entry of a new run.
LEARN_SECONDS = 0.6


class ColdDaemon(StoreDaemon):
    """A daemon whose service limits cold servers."""

    warm_up_rate = 0.0
    cold_seconds = COLD_SECONDS

    def configure(self, revision=1, **options):
        """Put a configuration with a warm-up limit in force."""
        super().configure(revision, **options)
        current = self.state.configuration.current
        services = tuple(
            replace(each, warm_up_rate=self.warm_up_rate, warm_up_seconds=self.cold_seconds)
            for each in current.services
        )
        limited = replace(current, revision=revision + 1, services=services)
        stored = ConfigurationStored(now=self.now, configuration=limited, source="a test")
        return self.run_control(stored)


def find_excess(arrivals: dict[str, list[float]], rate: float) -> list[str]:
    """List the servers that got more than the bound in some second."""
    most = ALLOWED_FACTOR * rate + ALLOWED_REQUESTS
    excess = []
    for name, times in arrivals.items():
        begin = 0
        for end, at in enumerate(times):
            while times[begin] <= at - WINDOW_SECONDS:
                begin += 1
            if end - begin + 1 > most:
                excess.append(f"{name} got {end - begin + 1} of {most:g} up to {at:.2f}")
                break
    return excess


@dataclass(kw_only=True)
class ColdSchedule:
    """Daemons that each send all that their allowances let them, through troubles.

    :param rate: requests a second that each cold server takes
    :param loss: share of the heartbeats that are lost
    :param has_settings: whether daemons know the zones from their settings
    """

    zones: int
    daemons: int
    rate: float
    loss: float = 0.0
    seed: int = 1
    has_settings: bool = True
    now: float = 100.0
    arrivals: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)
        self._step = 0
        self._runs: dict[str, int] = defaultdict(int)
        self._groups: dict[str, int] = {}
        self._unheard: set[str] = set()
        self._entries: list[tuple[float, str, int]] = []
        self._born = 0
        self._names = {
            f"front-{zone}-{number}": f"zone-{zone}"
            for zone in range(self.zones)
            for number in range(self.daemons)
        }
        self.alive: dict[str, ColdDaemon] = {}
        for name in self._names:
            self._start(name)
        self.run(CALM_SECONDS)
        self.restart_servers()

    def run(self, seconds: float) -> None:
        """Let time pass; each daemon sends all that it may."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self._step += 1
            self.now += STEP_SECONDS
            for name, daemon in self.alive.items():
                daemon.now = self.now
                self._run_daemon(name, daemon)

    def apply(self, event: str, draw: int, seconds: float) -> None:
        """Apply a trouble and let time pass."""
        chosen = sorted(self._names)[draw % len(self._names)]
        split = random.Random(draw)
        if event == "partition":
            parts = 2 + draw % 2
            self._groups = {name: split.randrange(parts) for name in self._names}
        elif event == "isolate all":
            self._groups = {name: number for number, name in enumerate(self._names)}
        elif event == "heal":
            self._groups = {}
            self._unheard = set()
        elif event == "one way":
            self._unheard ^= {chosen}
        elif event == "kill":
            self.alive.pop(chosen, None)
        elif event == "restart":
            self._start(chosen)
        elif event == "restart all":
            for name in self._names:
                self._start(name)
        elif event == "restart servers":
            self.restart_servers()
        self.run(seconds)

    def restart_servers(self) -> None:
        """Start all servers as new runs, which are cold."""
        self._born += 1
        for name in self.alive:
            at = self.now + self._random.uniform(0.0, LEARN_SECONDS)
            self._entries.append((at, name, self._born))

    def count_rate(self, begin: float) -> float:
        """Return the mean requests a second of the servers since a moment."""
        counts = [sum(at >= begin for at in times) for times in self.arrivals.values()]
        return sum(counts) / len(counts) / (self.now - begin)

    def _start(self, name: str) -> None:
        daemon = ColdDaemon(policy="granted_queue", name=name)
        daemon.warm_up_rate = self.rate
        daemon.now = self.now
        daemon.state.zone = self._names[name]
        if self.has_settings:
            daemon.state.shares.zones = frozenset(self._names.values())
        daemon.configure()
        daemon.register("warm", offset=0, zone="zone-0")
        daemon.run_control(DaemonsListed(now=self.now, names=frozenset(self._names)))
        self._runs[name] += 1
        self.alive[name] = daemon
        if self._born:
            self._register(daemon, self._born)

    def _register(self, daemon: ColdDaemon, born: int) -> None:
        for zone in range(min(2, self.zones)):
            daemon.register(
                f"s-{zone}",
                offset=10 * born + zone,
                zone=f"zone-{zone}",
                born=born,
                cold=COLD_SECONDS,
            )

    def _run_daemon(self, name: str, daemon: ColdDaemon) -> None:
        due = [each for each in self._entries if each[1] == name and each[0] <= self.now]
        for each in due:
            self._entries.remove(each)
            self._register(daemon, each[2])
        phase = hash_phase(name)
        if (self._step + phase) % TICK_STEPS == 0:
            daemon.run_control(ControlTicked(now=self.now, wall=self.now))
        if (self._step + phase) % HEARTBEAT_STEPS == 0:
            self._send_heartbeat(name, daemon)
        for server in daemon.state.servers.states.values():
            while now_cold(server, self.now) and has_allowance(daemon.state, server, self.now):
                use_allowance(server, self.now)
                self.arrivals[server.server.name].append(self.now)

    def _send_heartbeat(self, name: str, daemon: ColdDaemon) -> None:
        if name in self._unheard:
            return
        for other, receiver in self.alive.items():
            is_cut = self._groups.get(other, 0) != self._groups.get(name, 0)
            if other == name or is_cut or self._random.random() < self.loss:
                continue
            receiver.receive_heartbeat(
                name,
                zone=daemon.state.zone,
                incarnation=str(self._runs[name]),
                votes=dict(daemon.state.shares.votes),
                cold=announce(daemon, self.now),
            )


def announce(daemon: StoreDaemon, now: float) -> dict[str, float]:
    """Build what a heartbeat says of cold servers: seconds by name."""
    announcement = build_announcement(daemon.state, now)
    return {name: each / 1000 for name, each in announcement.items()}


def now_cold(server: object, now: float) -> bool:
    """Return whether a server is cold."""
    return now < server.cold_until


def hash_phase(name: str) -> int:
    """Spread the daemons' ticks."""
    return sum(name.encode())


@dataclass(kw_only=True)
class ColdZones(LimitedZones):
    """Zones under load whose servers become cold, which answers to probes say.

    :param cold_rate: requests a second that a cold server takes
    :param cold: how many of the servers become cold
    :param cold_at: second at which they become cold
    :param cold_seconds: for how long
    """

    limited: int = 0
    limit_rate: float = 1.0
    cold_rate: float = 6.0
    cold: int = 3
    cold_at: float = 5.0
    cold_seconds: float = 8.0
    starts: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))

    def list_cold(self) -> list[str]:
        """List the servers that become cold."""
        return [f"i-{number}" for number in range(self.cold)]

    def list_cold_starts(self) -> dict[str, list[float]]:
        """List when requests began at servers while they were cold."""
        end = self.cold_at + self.cold_seconds
        return {
            name: [at for at in self.starts[name] if self.cold_at <= at < end]
            for name in self.list_cold()
        }

    def _build_daemon(self, number: int) -> StoreDaemon:
        daemon = ColdDaemon(
            seed=self.seed * 50 + number, policy=self.policy, name=f"front-{number}"
        )
        daemon.warm_up_rate = self.cold_rate
        daemon.state.zone = self._find_server_zone(number)
        zones = frozenset(self._find_server_zone(each) for each in range(self.zones))
        daemon.state.shares.zones = zones
        names = frozenset(f"front-{each}" for each in range(self.daemons))
        daemon.run_control(DaemonsListed(now=daemon.now, names=names))
        return daemon

    def _send_heartbeat(self, daemon: StoreDaemon) -> None:
        for other in self._daemons:
            if other is not daemon and not self._is_lost():
                other.receive_heartbeat(
                    daemon.state.name,
                    zone=daemon.state.zone,
                    votes=dict(daemon.state.shares.votes),
                    cold=announce(daemon, self.now),
                )

    def _find_remaining(self, name: str) -> float:
        if name not in self.list_cold() or self._second < self.cold_at:
            return 0.0
        return max(0.0, self.cold_at + self.cold_seconds - self._second)

    def _start(self, key: tuple, name: str) -> None:
        if key in self._dispatched:
            self.starts[name].append(self._second)
        super()._start(key, name)

    def _end_probe(self, daemon: StoreDaemon, name: str) -> None:
        if daemon not in self._daemons:
            return
        server: NoisyServer = self._servers[name]
        remaining = self._find_remaining(name)
        ended = replace(server.answer_probe(self.now), cold_seconds=remaining)
        self._carry_out(daemon, daemon.run_control(ended))
