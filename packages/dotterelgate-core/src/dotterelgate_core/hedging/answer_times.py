"""High percentile of the recent answers' times of each route."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelgate_core.calls import Attempt, CallState
    from dotterelgate_core.state import DaemonState

__all__ = ["AnswerTimes", "note_time"]

# Times kept for each route; five of them are above the percentile.
SAMPLES = 100
# Fewer times do not show which answers are slow.
MIN_SAMPLES = 20
PERCENTILE = 0.95


@dataclass(kw_only=True, slots=True)
class RouteTimes:
    """Recent times of one route, without slowdown.

    :param recent: seconds, the oldest first
    :param percentile: the percentile of them, ``None`` until it is computed
    """

    recent: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    percentile: float | None = None


@dataclass(kw_only=True, slots=True)
class AnswerTimes:
    """Recent times by service and route.

    The memory is bounded by the routes; old times are dropped by their number, since a route
    that is rarely used has none that are newer.
    """

    routes: dict[tuple[str, str], RouteTimes] = field(default_factory=dict)

    def add(self, service: str, route: str, seconds: float) -> None:
        """Add the time of one answer, divided by the slowdown.

        An attempt that was cancelled counts with the time until then, which is already above
        the percentile; without it, the slowest answers would be missing.
        """
        times = self.routes.setdefault((service, route), RouteTimes())
        times.recent.append(seconds)
        times.percentile = None

    def estimate(self, service: str, route: str) -> float | None:
        """Estimate the seconds that few answers exceed; ``None`` while too few are known."""
        times = self.routes.get((service, route))
        if times is None or len(times.recent) < MIN_SAMPLES:
            return None
        if times.percentile is None:
            ordered = sorted(times.recent)
            times.percentile = ordered[min(len(ordered) - 1, int(PERCENTILE * len(ordered)))]
        return times.percentile


def note_time(
    state: DaemonState, call_state: CallState, attempt: Attempt, seconds: float, slowdown: float
) -> None:
    """Add the time of an attempt to those of its route.

    Second attempts are left out: their requests are slower than others where the request
    itself is the reason, and they are cancelled early where it is not.
    """
    if attempt.is_second or not state.limits.hedging_share:
        return
    route = call_state.routed.route
    service = call_state.routed.service.name
    state.hedging.times.add(service, route.name or route.prefix, seconds / max(1.0, slowdown))
