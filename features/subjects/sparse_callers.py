"""Subject: an owner that grants slots to many daemons, each of which has few calls."""

from __future__ import annotations

import heapq
import random
from unittest import mock

from dotterelgate_core import expected_time
from dotterelgate_core.loads import LoadReport
from dotterelgate_core.sharing import LoadsReceived, ServerLoad
from dotterelgate_core.slots import GrantSlot, SlotRequest, SlotRequested
from subjects.store_daemon import StoreDaemon

DAEMONS = 60
NAMES = [f"front-{number}" for number in range(DAEMONS)]
SERVERS = 20
SLOTS = 3
STEP_SECONDS = 0.01
REPORT_SECONDS = 0.05
WORK_SECONDS = 0.2
TARGET_SECONDS = 0.6
IDLE_SECONDS = 10.0
RUN_SECONDS = 30.0
# Neighbours slow some servers down for short spans.
NOISE_SECONDS = 0.15
SLOWDOWNS = (1.0, 1.0, 1.0, 1.3, 2.5)


class SparseCallers:
    """Requests of many daemons to one owner, without network.

    :param rate: requests per second of each daemon
    """

    def __init__(self, *, rate: float, seed: int) -> None:
        self._random = random.Random(seed)
        self._rate = rate
        self._ids = 0
        self._noisy_at = 0.0
        self._slowdowns: dict[str, float] = {}
        self._ends: list[tuple[float, str, str]] = []
        self._running: dict[tuple[str, str], int] = {}
        self._free: dict[tuple[str, str], list[float]] = {}
        self.granted = 0
        self.connections = 0
        self.in_target = 0
        self.daemon = StoreDaemon(seed=seed, policy="granted_queue")
        self.daemon.configure(target=TARGET_SECONDS, timeout=2.0)
        self._servers = [f"i-{number}" for number in range(SERVERS)]
        for number, name in enumerate(self._servers):
            self.daemon.register(name, offset=number, slots=SLOTS)

    def run(self) -> None:
        """Play the whole run."""
        daemon = self.daemon
        steps = round(RUN_SECONDS / STEP_SECONDS)
        for step in range(steps):
            daemon.now += STEP_SECONDS
            if step % round(NOISE_SECONDS / STEP_SECONDS) == 0:
                self._slowdowns = {name: self._random.choice(SLOWDOWNS) for name in self._servers}
            if step % round(REPORT_SECONDS / STEP_SECONDS) == 0:
                self._report()
            while self._ends and self._ends[0][0] <= daemon.now:
                self._end(*heapq.heappop(self._ends))
            if self._random.random() < DAEMONS * self._rate * STEP_SECONDS:
                self._request(self._random.choice(NAMES))
            self._apply(daemon.tick())

    def _request(self, requester: str) -> None:
        self._ids += 1
        request = SlotRequest(
            call_id=self._ids,
            request_id=str(self._ids),
            service="s",
            route="/read/",
            work=WORK_SECONDS,
            waited=0.0,
            remaining=2.0,
        )
        now = self.daemon.now
        self._apply(
            self.daemon.run(SlotRequested(now=now, wall=now, requester=requester, request=request))
        )

    def _apply(self, orders: list) -> None:
        for order in orders:
            if isinstance(order, GrantSlot):
                self._start(order.requester, order.grant.server)

    def _start(self, requester: str, server: str) -> None:
        now = self.daemon.now
        key = (requester, server)
        self.granted += 1
        idle = [at for at in self._free.get(key, []) if now - at < IDLE_SECONDS]
        if idle:
            idle.pop()
        else:
            self.connections += 1
        self._free[key] = idle
        self._running[key] = self._running.get(key, 0) + 1
        load = self._count_running(server)
        time = WORK_SECONDS * self._slowdowns[server] * (1.6 if load >= SLOTS else 1.0)
        self.in_target += time <= TARGET_SECONDS
        heapq.heappush(self._ends, (now + time, requester, server))

    def _count_running(self, server: str) -> int:
        return sum(self._running.get((each, server), 0) for each in NAMES)

    def _end(self, at: float, requester: str, server: str) -> None:
        key = (requester, server)
        self._running[key] -= 1
        self._free.setdefault(key, []).append(at)
        load = ServerLoad(
            server=server, in_flight=self._running[key], report=None, age=0.0, failed=False
        )
        self._receive(requester, load)

    def _report(self) -> None:
        for server in self._servers:
            report = LoadReport(
                running=self._count_running(server),
                waiting=0,
                slots=SLOTS,
                slowdown=self._slowdowns[server],
            )
            requester = NAMES[0]
            in_flight = self._running.get((requester, server), 0)
            load = ServerLoad(
                server=server, in_flight=in_flight, report=report, age=0.0, failed=False
            )
            self._receive(requester, load)

    def _receive(self, peer: str, load: ServerLoad) -> None:
        received = LoadsReceived(now=self.daemon.now, peer=peer, loads=(load,))
        orders = self.daemon.run_control(received)
        for order in orders:
            self._apply(self.daemon.run(order))


def run_sparse(*, rate: float, seed: int, ignores_connections: bool = False) -> SparseCallers:
    """Play a run.

    :param ignores_connections: whether connections weigh as little as they did once
    """
    callers = SparseCallers(rate=rate, seed=seed)
    if ignores_connections:
        with (
            mock.patch.object(expected_time, "CALM_UNCONNECTED_FACTOR", 1.25),
            mock.patch.object(expected_time, "UNUSED_SECONDS", 1.0),
        ):
            callers.run()
    else:
        callers.run()
    return callers
