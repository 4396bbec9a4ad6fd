"""Subject: a backend server whose neighbours slow it down for short spans."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from dotterelgate_core.control_messages import ProbeEnded
from dotterelgate_core.loads import LoadReport

NOISE_SECONDS = 0.15
NOISE_SHARE = 0.25
NOISE_FACTOR = 5.0
UNCROWDED_SHARE = 0.8
CROWDED_FACTOR = 1.7


@dataclass
class NoisyServer:
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

    def start(self, call_id: int, now: float, *, work: float) -> None:
        """Start a request, or queue it.

        :param work: mean seconds that it takes without slowdown
        """
        self.works[call_id] = work
        if len(self.running) >= self.slots:
            self.queue.append(call_id)
            return
        crowded = len(self.running) + 1 > UNCROWDED_SHARE * self.slots
        work *= self.random.uniform(0.7, 1.3) * self.slowdown
        self.running[call_id] = now + work * (self.crowded_factor if crowded else 1.0)

    def step(self, now: float) -> list[int]:
        """Advance to ``now``; returns the requests that end."""
        if now - self.drawn_at >= NOISE_SECONDS:
            self.drawn_at = now
            noisy = self.random.random() < self.noise_share
            self.slowdown = NOISE_FACTOR if noisy else 1.0
        ended = [call_id for call_id, at in self.running.items() if at <= now]
        for call_id in ended:
            del self.running[call_id]
            if self.queue:
                next_call_id = self.queue.pop(0)
                self.start(next_call_id, now, work=self.works[next_call_id])
        return ended

    def answer_probe(self, now: float) -> ProbeEnded:
        """Answer a probe."""
        return ProbeEnded(
            now=now,
            wall=now,
            service="s",
            server=self.name,
            answered=True,
            draining=False,
            load=self.report(),
            reported_name=self.name,
        )

    def report(self) -> LoadReport:
        """Build the current load report."""
        return LoadReport(
            running=len(self.running),
            waiting=len(self.queue),
            slots=self.slots,
            slowdown=self.slowdown,
        )
