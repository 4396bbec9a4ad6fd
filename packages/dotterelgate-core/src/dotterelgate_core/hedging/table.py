"""State of a daemon's second attempts."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field

from dotterelgate_core.hedging.answer_times import AnswerTimes
from dotterelgate_core.retries import Budget

__all__ = ["HedgingTable", "SecondRequest"]

# Second attempts that a service can save up; none are saved at the start, so that their
# number never exceeds the share.
BURST = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SecondRequest:
    """A slot request for a second attempt that the owner has not answered.

    :param requested_at: monotonic second
    """

    call_id: int
    service: str
    owner: str
    requested_at: float


@dataclass(kw_only=True, slots=True)
class HedgingTable:
    """Second attempts that are due or requested, and what limits them.

    :param times: recent answers' times
    :param budgets: second attempts that each service may start
    :param due: monotonic second and call id of each attempt that may become slow
    :param tick_at: monotonic second of the earliest tick that was ordered
    :param requests: slot requests by their ids, the oldest first
    """

    times: AnswerTimes = field(default_factory=AnswerTimes)
    budgets: dict[str, Budget] = field(default_factory=dict)
    due: list[tuple[float, int]] = field(default_factory=list)
    tick_at: float = float("inf")
    requests: dict[int, SecondRequest] = field(default_factory=dict)

    def find_budget(self, service: str, share: float) -> Budget:
        """Return the budget of a service, creating it on first use."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = Budget(share=share, burst=BURST, tokens=0.0)
        return budget

    def add_due(self, call_id: int, at: float) -> None:
        """Note when an attempt of a call becomes slow."""
        heapq.heappush(self.due, (at, call_id))

    def pop_due(self, now: float) -> list[int]:
        """Return the ids of the calls whose attempt is slow now; some may have ended."""
        ids = []
        while self.due and self.due[0][0] <= now:
            ids.append(heapq.heappop(self.due)[1])
        return ids
