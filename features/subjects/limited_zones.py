"""Subject: backend servers that name limits, and daemons of several zones that keep them."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from dotterelgate_border.datagrams import LoadUpdate
from dotterelgate_core.owners import find_owner, is_ranked_first, list_owners
from dotterelgate_daemon.mesh import build_remote_entry, read_load_update
from subjects.store_daemon import StoreDaemon
from subjects.zone import SERVER_NETWORK_SECONDS, ZoneLoad

if TYPE_CHECKING:
    from subjects.noisy import NoisyServer

RELAY_STEPS = 30
ZONE_NETWORK_SECONDS = 0.0015
# The platform's rule: in some window, one and a half times what the limit allows, and some
# requests more, from daemons that were told half a second before or earlier.
WINDOW_SECONDS = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_REQUESTS = 5
TOLD_SECONDS = 0.5
# The platform's rules on servers that leave, and that want nothing for a time.
DRAIN_SECONDS = 2.0
PAUSE_REQUESTS = 2


@dataclass(kw_only=True)
class LimitedZones(ZoneLoad):
    """Zones under load whose backend servers name limits.

    :param zones: number of zones; daemons and backend servers are spread over them
    :param limit_rate: requests a second that each limited backend server names
    :param limited: how many of the backend servers name it
    :param named_at: second from which on they do
    :param killed_at: second at which the owners of all zones are killed
    :param probes_name: whether answers to probes name it as well
    """

    zones: int = 3
    limit_rate: float = 6.0
    limited: int = 3
    named_at: float = 2.0
    killed_at: float = float("inf")
    probes_name: bool = True
    arrivals: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))

    def list_excess(self) -> list[str]:
        """List the backend servers that got more than the platform's rule allows."""
        most = ALLOWED_FACTOR * self.limit_rate * WINDOW_SECONDS + ALLOWED_REQUESTS
        excess = []
        for name, arrivals in self.arrivals.items():
            counts = [sum(at <= each < at + WINDOW_SECONDS for each in arrivals) for at in arrivals]
            if max(counts) > most:
                excess.append(f"{name} got {max(counts)} of {most:g}")
        return excess

    def compute_use(self) -> float:
        """Return the least share of its limit that a limited backend server got."""
        seconds = self.seconds - self.named_at - TOLD_SECONDS
        return min(
            len(self.arrivals[f"i-{n}"]) / seconds / self.limit_rate for n in range(self.limited)
        )

    def _build_daemon(self, number: int) -> StoreDaemon:
        daemon = super()._build_daemon(number)
        daemon.state.zone = self._find_server_zone(number)
        return daemon

    def _find_server_zone(self, number: int) -> str:
        return f"zone-{number % self.zones}"

    def _run_step(self, step: int, second: float) -> None:
        self._second = second
        super()._run_step(step, second)
        if step % RELAY_STEPS == 0:
            for daemon in self._daemons:
                self._relay(daemon)
        if second >= self.killed_at:
            self.killed_at = float("inf")
            self._daemons = [
                each for each in self._daemons if not is_ranked_first(each.state, "s", self.now)
            ]

    def _send_heartbeat(self, daemon: StoreDaemon) -> None:
        for other in self._daemons:
            if other is not daemon:
                other.receive_heartbeat(daemon.state.name, zone=daemon.state.zone)

    def _relay(self, daemon: StoreDaemon) -> None:
        if find_owner(daemon.state, "s", self.now) != daemon.state.name:
            return
        own = [
            each
            for each in daemon.state.servers.states.values()
            if each.server.zone == daemon.state.zone and each.view.report is not None
        ]
        loads = [build_remote_entry(each, self.now) for each in own]
        update = LoadUpdate(
            sender=daemon.state.name, incarnation="a", loads=loads, is_remote_zone=True
        )
        for number in range(self.zones):
            zone = self._find_server_zone(number)
            for name in list_owners(daemon.state, "s", self.now, zone)[:1]:
                other = self._find(name)
                if other is None or zone == daemon.state.zone or self._is_lost():
                    continue
                received = read_load_update(update, self.now)
                self._schedule(
                    ZONE_NETWORK_SECONDS,
                    lambda other=other, received=received: self._carry_out(
                        other, other.run_control(replace(received, now=self.now))
                    ),
                )

    def _name_limit(self, name: str) -> float:
        is_limited = int(name.rpartition("-")[2]) < self.limited
        return self.limit_rate if is_limited and self._second >= self.named_at else float("inf")

    def _start(self, key: tuple, name: str) -> None:
        if self.named_at + TOLD_SECONDS <= self._second < self.seconds:
            if self._name_limit(name) < float("inf"):
                self.arrivals[name].append(self.now)
        super()._start(key, name)

    def _answer(self, daemon: StoreDaemon, call_id: int, server: NoisyServer) -> list:
        limit = self._name_limit(server.name)
        return daemon.answer(call_id, server.name, load=server.report(), limit=limit)

    def _end_probe(self, daemon: StoreDaemon, name: str) -> None:
        if daemon not in self._daemons:
            return
        limit = self._name_limit(name) if self.probes_name else float("inf")
        probe_ended = replace(self._servers[name].answer_probe(self.now), limit=limit)
        self._carry_out(daemon, daemon.run_control(probe_ended))


@dataclass(kw_only=True)
class StatedZones(LimitedZones):
    """Zones under load whose backend servers leave, pause and name limits.

    :param leaving_at: second from which on each server says that it leaves
    :param paused_at: second at which each server begins to turn requests away
    :param pause: seconds for which it then wants nothing
    :param paused_seconds: seconds for which it turns requests away
    """

    leaving_at: dict[str, float] = field(default_factory=dict)
    paused_at: dict[str, float] = field(default_factory=dict)
    pause: float = 2.0
    paused_seconds: float = 4.0
    faults: list[str] = field(default_factory=list)
    _told_leaving: dict[tuple[int, str], float] = field(default_factory=dict)
    _told_pause: dict[tuple[int, str], float] = field(default_factory=dict)
    _in_pause: dict[tuple[int, str, float], int] = field(default_factory=lambda: defaultdict(int))

    def _start(self, key: tuple, name: str) -> None:
        if key not in self._dispatched:
            return
        self._check(key[0], name)
        if not self._turns_away(name):
            super()._start(key, name)
            return
        self._dispatched.remove(key)
        self._schedule(SERVER_NETWORK_SECONDS, lambda: self._turn_away(key, name))

    def _turns_away(self, name: str) -> bool:
        begun = self.paused_at.get(name, float("inf"))
        return begun <= self._second < begun + self.paused_seconds

    def _turn_away(self, key: tuple, name: str) -> None:
        daemon = next((each for each in self._daemons if id(each) == key[0]), None)
        if daemon is None:
            return
        self._told_pause.setdefault((key[0], name), self.now)
        if self.now >= self._told_pause[key[0], name] + self.pause:
            self._told_pause[key[0], name] = self.now
        self.ran.discard(key[:2])
        orders = daemon.answer(key[1], name, status=503, ran=False, pause=self.pause)
        self._carry_out(daemon, orders)

    def _check(self, daemon: int, name: str) -> None:
        told = self._told_leaving.get((daemon, name), float("inf"))
        if self.now > told + DRAIN_SECONDS:
            self.faults.append(f"{name} was sent to {self.now - told:.2f} s after it left")
        begun = self._told_pause.get((daemon, name), float("inf"))
        if begun + TOLD_SECONDS < self.now < begun + self.pause:
            self._in_pause[daemon, name, begun] += 1
            if self._in_pause[daemon, name, begun] > PAUSE_REQUESTS:
                self.faults.append(f"{name} was sent to {self.now - begun:.2f} s into its pause")

    def _answer(self, daemon: StoreDaemon, call_id: int, server: NoisyServer) -> list:
        is_leaving = self._second >= self.leaving_at.get(server.name, float("inf"))
        if is_leaving:
            self._told_leaving.setdefault((id(daemon), server.name), self.now)
        return daemon.answer(
            call_id,
            server.name,
            load=server.report(),
            limit=self._name_limit(server.name),
            draining=is_leaving,
        )


def draw_stated_zones(seed: int) -> StatedZones:
    """Draw a load with backend servers that leave, pause and name limits."""
    draw = random.Random(seed)
    rate = draw.choice((40, 60, 90))
    names = [f"i-{number}" for number in range(6)]
    draw.shuffle(names)
    leaving, pausing = draw.randrange(3), draw.randrange(5)
    return StatedZones(
        policy="granted_queue",
        seed=seed,
        rate=lambda second: rate,
        zones=draw.choice((1, 2, 3)),
        daemons=draw.choice((6, 12)),
        work=0.05,
        limited=draw.choice((0, 2)),
        probes_name=draw.random() < 0.5,
        loss=draw.choice((0.0, 0.05, 0.2)),
        killed_at=draw.choice((float("inf"), 3.0, 6.0)),
        leaving_at={name: draw.uniform(1.0, 6.0) for name in names[:leaving]},
        paused_at={name: draw.uniform(1.0, 6.0) for name in names[1 : 1 + pausing]},
        pause=draw.choice((0.7, 2.0, 3.5)),
    )


def draw_limited_zones(seed: int) -> LimitedZones:
    """Draw a load, limits and troubles."""
    draw = random.Random(seed)
    rate = draw.choice((40, 60, 90))
    return LimitedZones(
        policy="granted_queue",
        seed=seed,
        rate=lambda second: rate,
        zones=draw.choice((1, 2, 3)),
        daemons=draw.choice((6, 12)),
        work=0.05,
        limited=draw.choice((2, 4, 6)),
        limit_rate=draw.choice((1.0, 3.0, 6.0, 15.0)),
        probes_name=draw.random() < 0.5,
        loss=draw.choice((0.0, 0.0, 0.05, 0.2)),
        killed_at=draw.choice((float("inf"), 3.0, 6.0)),
    )
