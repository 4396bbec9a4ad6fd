"""Subject: load patterns on noisy backend servers, at the decision interface."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from dotterelgate_core import messages
from dotterelgate_core.control_messages import Probe, ProbeAnswered
from dotterelgate_core.loads import LoadReport
from subjects.front import Front

STEP_SECONDS = 0.005
NOISE_SECONDS = 0.15
NOISE_SHARE = 0.25
NOISE_FACTOR = 5.0
WORK_SECONDS = 0.05
TARGET_SECONDS = 0.2
LIMIT_SECONDS = 0.5
CALM_SHARE = 0.8
CROWDED_FACTOR = 1.7


@dataclass
class Noisy:
    """One backend server whose neighbours slow it down for short spans."""

    name: str
    slots: int
    random: random.Random
    noise_share: float = NOISE_SHARE
    crowded_factor: float = CROWDED_FACTOR
    slowdown: float = 1.0
    drawn_at: float = float("-inf")
    running: dict[int, float] = field(default_factory=dict)
    queue: list[int] = field(default_factory=list)
    works: dict[int, float] = field(default_factory=dict)

    def start(self, call_id: int, now: float, *, work: float = WORK_SECONDS) -> None:
        """Start a request, or queue it.

        :param work: mean seconds that it takes while nothing slows it
        """
        self.works[call_id] = work
        if len(self.running) >= self.slots:
            self.queue.append(call_id)
            return
        crowded = len(self.running) + 1 > CALM_SHARE * self.slots
        work *= self.random.uniform(0.7, 1.3) * self.slowdown
        self.running[call_id] = now + work * (self.crowded_factor if crowded else 1.0)

    def step(self, now: float) -> list[int]:
        """Let time pass; returns the requests that end."""
        if now - self.drawn_at >= NOISE_SECONDS:
            self.drawn_at = now
            noisy = self.random.random() < self.noise_share
            self.slowdown = NOISE_FACTOR if noisy else 1.0
        ended = [call_id for call_id, at in self.running.items() if at <= now]
        for call_id in ended:
            del self.running[call_id]
            if self.queue:
                following = self.queue.pop(0)
                self.start(following, now, work=self.works[following])
        return ended

    def answer_probe(self, now: float) -> ProbeAnswered:
        """Answer a probe."""
        return ProbeAnswered(
            now=now,
            wall=now,
            service="s",
            server=self.name,
            answered=True,
            draining=False,
            load=self.report(),
            said_name=self.name,
        )

    def report(self) -> LoadReport:
        """Report its load."""
        return LoadReport(
            running=len(self.running),
            waiting=len(self.queue),
            slots=self.slots,
            slowdown=self.slowdown,
        )


@dataclass
class Crowd:
    """Requests of one service through one daemon.

    :param rate: requests a second, as a function of the second
    """

    policy: str
    seed: int
    rate: object
    servers: int = 10
    slots: int = 3
    seconds: float = 8.0
    in_target: int = 0
    late: int = 0
    refused: int = 0
    lost: int = 0
    asked: int = 0
    refusal_seconds: list[float] = field(default_factory=list)
    ran: set[int] = field(default_factory=set)
    told_not_run: set[int] = field(default_factory=set)

    def run(self) -> Crowd:
        """Run the pattern."""
        self._random = random.Random(self.seed)
        self._front = Front(seed=self.seed, policy=self.policy)
        self._front.configure(target=TARGET_SECONDS)
        self._servers = {
            f"i-{n}": Noisy(f"i-{n}", self.slots, random.Random(self.seed * 100 + n))
            for n in range(self.servers)
        }
        for offset, name in enumerate(self._servers):
            self._front.register(name, offset=offset, slots=self.slots)
        self._arrived: dict[int, float] = {}
        self._at: dict[int, str] = {}
        begin = self._front.now
        while self._front.now - begin < self.seconds + LIMIT_SECONDS:
            self._step(self._front.now - begin)
            self._front.now += STEP_SECONDS
        return self

    def _step(self, second: float) -> None:
        front = self._front
        for server in self._servers.values():
            for call_id in server.step(front.now):
                if self._at.pop(call_id, None) is not None:
                    load = server.report()
                    self._take(front.answer(call_id, server.name, load=load), call_id)
        self._take(front.tick(), None)
        if second < self.seconds:
            expected = self.rate(second) * STEP_SECONDS
            count = int(expected) + (self._random.random() < expected % 1)
            for _ in range(count):
                self.asked += 1
                # The id is known before the orders are carried out.
                self._arrived[front.next_id + 1] = front.now
                call_id, orders = front.arrive(timeout=LIMIT_SECONDS)
                self._take(orders, call_id)

    def _take(self, orders: list, _call_id: int | None) -> None:
        for order in orders:
            if isinstance(order, messages.Dispatch):
                self._at[order.call_id] = order.server.name
                self.ran.add(order.call_id)
                self._servers[order.server.name].start(order.call_id, self._front.now)
            elif isinstance(order, messages.Relay):
                self._count_answer(order.call_id)
            elif isinstance(order, messages.CallRefused):
                self._count_refusal(order)
            elif isinstance(order, messages.Cancel):
                self._cancel(order.call_id)
            elif isinstance(order, Probe):
                self._probe(order)

    def _count_answer(self, call_id: int) -> None:
        if self._front.now - self._arrived[call_id] <= TARGET_SECONDS:
            self.in_target += 1
        else:
            self.late += 1

    def _count_refusal(self, order: messages.CallRefused) -> None:
        if order.refusal.outcome.value == "not-run":
            self.refused += 1
            self.told_not_run.add(order.call_id)
            self.refusal_seconds.append(self._front.now - self._arrived[order.call_id])
        else:
            self.lost += 1

    def _cancel(self, call_id: int) -> None:
        name = self._at.pop(call_id, None)
        if name is not None:
            server = self._servers[name]
            server.running.pop(call_id, None)
            if call_id in server.queue:
                server.queue.remove(call_id)

    def _probe(self, order: Probe) -> None:
        server = self._servers[order.server.name]
        self._take(self._front.tell(server.answer_probe(self._front.now)), None)
