"""Fake clock that runs scheduled functions in order."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["FakeClock"]


@dataclass(kw_only=True)
class FakeClock:
    """Clock that advances from one scheduled function to the next.

    :param now: seconds since the start
    """

    now: float = 0.0
    _queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _sequence: Iterator[int] = field(default_factory=itertools.count)

    def schedule(self, delay: float, call: Callable[[], None]) -> None:
        """Run a function after ``delay`` seconds."""
        heapq.heappush(self._queue, (self.now + delay, next(self._sequence), call))

    def repeat(self, interval: float, call: Callable[[], None]) -> None:
        """Run a function every ``interval`` seconds."""

        def run() -> None:
            call()
            self.schedule(interval, run)

        self.schedule(interval, run)

    def run_until(self, end: float) -> None:
        """Run everything that is due up to ``end`` and advance to it."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end
