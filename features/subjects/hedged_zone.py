"""Subject: the daemons of a zone that start second attempts, under load, without a network."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from dotterelgate_core import messages
from dotterelgate_core.hedging.second_attempts import CountSecondAttempt
from dotterelgate_core.state import Limits
from subjects.store_daemon import StoreDaemon
from subjects.zone import STEP_SECONDS, TAIL_FACTOR, CallerRequest, ZoneLoad

MILLISECONDS = 1000.0


@dataclass(kw_only=True)
class HedgedZone(ZoneLoad):
    """A zone under load.

    :param share: second attempts allowed for each request, 0 for none
    :param free_slots: share of the slots that must be free for one
    :param slow_requests: whether the slow requests are slow at each backend server; otherwise
        each attempt is slow or not
    :param first_attempts: requests that were sent to a backend server
    :param slot_seconds: seconds for which slots were in use
    :param seconds_each: seconds until each answer
    :param counts: what was counted of second attempts
    """

    share: float
    free_slots: float = 0.3
    slow_requests: bool = False
    policy: str = "granted_queue"
    first_attempts: int = 0
    slot_seconds: float = 0.0
    seconds_each: list[float] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)

    def find_percentile(self, share: float) -> float:
        """Find a percentile of the time until an answer, in milliseconds."""
        ordered = sorted(self.seconds_each)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] * MILLISECONDS

    def _build_daemon(self, number: int) -> StoreDaemon:
        limits = Limits(hedging_share=self.share, hedging_slots=self.free_slots)
        seed = self.seed * 50 + number
        name = f"front-{number}"
        return StoreDaemon(seed=seed, policy=self.policy, name=name, limits=limits)

    def _run_step(self, step: int, second: float) -> None:
        running = sum(len(each.running) for each in self._servers.values())
        self.slot_seconds += STEP_SECONDS * running
        super()._run_step(step, second)

    def _carry_out(self, daemon: StoreDaemon, orders: list) -> None:
        for order in orders:
            if isinstance(order, CountSecondAttempt):
                self.counts[order.result.value] = self.counts.get(order.result.value, 0) + 1
            elif isinstance(order, messages.Dispatch):
                self.first_attempts += order.attempt == 1
        super()._carry_out(daemon, orders)

    def _draw_tail(self, key: tuple) -> float:
        if not self.slow_requests:
            return super()._draw_tail(key)
        draw = random.Random(f"{self.seed} {self._daemons_by_id()[key[0]]} {key[1]}").random()
        return TAIL_FACTOR if draw < self.tail_share else 1.0

    def _daemons_by_id(self) -> dict[int, int]:
        return {id(each): number for number, each in enumerate(self._daemons)}

    def _count_answer(self, request: CallerRequest) -> None:
        self.seconds_each.append(self.now - request.first_sent_at)
        super()._count_answer(request)
