"""Usual work time of each route."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelgate_core.configuration import Route, Service

__all__ = ["WorkTimes"]

# Operators set the target at three to four times the usual work.
TARGET_SHARE = 0.3
# Weight of one answer; the initial guess fades over about ten answers.
ANSWER_WEIGHT = 0.1
# Answers count at most this multiple of the estimate, as one in thirty runs 7 times as long.
CAP_FACTOR = 3.0
# Share by which the longest time fades with each shorter answer.
LONGEST_FADE = 0.02


@dataclass(kw_only=True, slots=True)
class WorkTimes:
    """Smoothed seconds per request without slowdown, by service and route.

    :param routed_at: monotonic second of the last request of each service
    """

    routed_at: dict[str, float] = field(default_factory=dict)
    _seconds: dict[tuple[str, str], float] = field(default_factory=dict)
    _longest: dict[tuple[str, str], float] = field(default_factory=dict)

    def estimate(self, service: Service, route: Route) -> float:
        """Estimate the seconds that a request of a route takes."""
        learned = self._seconds.get((service.name, route.name or route.prefix))
        return learned if learned is not None else _guess_seconds(route)

    def estimate_longest(self, service: Service, route: Route) -> float:
        """Estimate the seconds within which nearly all requests of a route are done."""
        longest = self._longest.get((service.name, route.name or route.prefix))
        return longest if longest is not None else route.target or route.timeout

    def learn(self, service: Service, route: Route, seconds: float) -> None:
        """Update the estimates with an answer's time, divided by its slowdown."""
        key = (service.name, route.name or route.prefix)
        longest = self._longest.get(key, seconds)
        self._longest[key] = max(seconds, longest + LONGEST_FADE * (seconds - longest))
        before = self._seconds.get(key, _guess_seconds(route))
        self._seconds[key] = before + ANSWER_WEIGHT * (min(seconds, CAP_FACTOR * before) - before)


def _guess_seconds(route: Route) -> float:
    return TARGET_SHARE * (route.target or route.timeout)
