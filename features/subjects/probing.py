"""Subject: probes by several daemons under random schedules, on a fake clock."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from dotterelgate_bench.clock import FakeClock
from dotterelgate_bench.model import ModelDaemon, ModelLog, Network
from dotterelgate_core.configuration import BackendServer, Configuration, Route, Service
from dotterelgate_core.control_messages import Probe, ProbeEnded
from subjects.schedules import LeasesWithoutHolder

SERVERS = 6
SLOTS = 3
MEASURING_SHARE = 0.002
LEASE_SECONDS = 4.0
CLOCK_ERROR = 0.25
TICK_SECONDS = 0.1
LENGTH_SECONDS = 40.0


def find_worst_second(starts: list[tuple[float, float]]) -> float:
    """Return the most probe work in any second, from starts and their costs."""
    starts = sorted(starts)
    worst = 0.0
    first = 0
    total = 0.0
    for at, cost in starts:
        total += cost
        while starts[first][0] <= at - 1.0:
            total -= starts[first][1]
            first += 1
        worst = max(worst, total)
    return worst


@dataclass
class ProbingSchedule:
    """One random schedule; every backend server is leaving and so due for a probe each second."""

    seed: int
    has_lease: bool = True
    starts: list[tuple[float, float]] = field(default_factory=list)

    def run(self) -> None:
        """Run the schedule."""
        self._random = random.Random(self.seed)
        self._clock = FakeClock()
        network = Network(clock=self._clock, random=self._random)
        log = ModelLog(clock=self._clock)
        self._daemons = [self._make_daemon(f"entry-{n}", network, log) for n in (1, 2, 3)]
        for daemon in self._daemons:
            daemon.add_peers(self._daemons)
        for _ in range(8):
            self._clock.schedule(self._random.uniform(2, 35), self._freeze)
        self._clock.run_until(LENGTH_SECONDS)

    def _make_daemon(self, name, network, log) -> ModelDaemon:
        daemon = ModelDaemon(
            name=name,
            run=1,
            clock=self._clock,
            network=network,
            log=log,
            servers={},
            random=self._random,
            lease_length=LEASE_SECONDS,
            clock_error=CLOCK_ERROR,
            skew=self._random.uniform(-CLOCK_ERROR / 2, CLOCK_ERROR / 2),
        )
        servers = tuple(
            BackendServer(name=f"server-{n}", address="", slots=SLOTS, connections=9)
            for n in range(SERVERS)
        )
        service = Service(
            name="s",
            servers=servers,
            routes=(Route(prefix="/", idempotent=True, timeout=5.0),),
            measuring_share=MEASURING_SHARE,
        )
        daemon.configure(Configuration(id="c", revision=1, services=(service,)))
        for state in daemon.state.servers.states.values():
            state.reports_leaving = True
        if not self.has_lease:
            daemon.state.leases.__class__ = LeasesWithoutHolder
        daemon.sinks[Probe] = lambda order: self._probe(daemon, order)
        daemon.start(tick=TICK_SECONDS, poll=TICK_SECONDS)
        return daemon

    def _probe(self, daemon, order) -> None:
        delay = self._random.choice((0.0005, 0.0005, 0.1, 0.4))

        def start():
            if self._clock.now <= order.fence:
                self.starts.append((self._clock.now, order.cost))
                self._clock.schedule(order.cost, answer)

        def answer():
            message = ProbeEnded(
                now=self._clock.now,
                wall=daemon.wall(),
                service="s",
                server=order.server.name,
                answered=True,
                draining=True,
            )
            daemon.receive(lambda: daemon.run_control(message))

        self._clock.schedule(delay, start)

    def _freeze(self) -> None:
        daemon = self._random.choice(self._daemons)
        if daemon.is_frozen:
            return
        daemon.is_frozen = True
        self._clock.schedule(self._random.choice((0.3, 1.0, 6.0)), daemon.thaw)

    def find_excess(self) -> float:
        """Return by how much the worst second exceeds the budget, in slot seconds."""
        return find_worst_second(self.starts) - MEASURING_SHARE * SERVERS * SLOTS
