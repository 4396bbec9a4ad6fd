"""Timers, and detection of pauses of the process."""

from __future__ import annotations

import heapq
import itertools
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["PauseDetector", "TimerService"]

MIN_PAUSE_SECONDS = 0.5
AFTER_PAUSE_SECONDS = 0.25


class PauseDetector:
    """Detects that the process or its VM was paused.

    What a process reads first after a pause may have waited for its whole length.
    The boot clock also advances while the VM is suspended and, unlike the wall
    clock, is never set.
    """

    def __init__(self) -> None:
        self._last_clocks = self._read_clocks()
        self._pause = 0.0
        self._paused_until = float("-inf")

    def check(self) -> None:
        """Note that the loop is running; called at a short interval."""
        gap = self._measure_gap()
        self._last_clocks = self._read_clocks()
        if gap > MIN_PAUSE_SECONDS:
            self._pause = gap
            self._paused_until = time.monotonic()

    def measure(self) -> float:
        """Return how many seconds data read now may have waited."""
        gap = self._measure_gap()
        if gap > MIN_PAUSE_SECONDS:
            return gap
        since = time.monotonic() - self._paused_until
        return self._pause if since < AFTER_PAUSE_SECONDS else 0.0

    def _measure_gap(self) -> float:
        boot, now = self._read_clocks()
        return max(boot - self._last_clocks[0], now - self._last_clocks[1])

    @staticmethod
    def _read_clocks() -> tuple[float, float]:
        return time.clock_gettime(time.CLOCK_BOOTTIME), time.monotonic()


class TimerService:
    """Calls functions after a delay or at an interval, on the loop's thread."""

    def __init__(self) -> None:
        self._sequence = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    def subscribe(
        self,
        *,
        interval: float,
        call: Callable[[], None],
        idle_interval: float | None = None,
        is_idle: Callable[[], bool] = lambda: False,
    ) -> Callable[[], None]:
        """Call a function every ``interval`` seconds; missed calls are made up by one.

        Timers whose intervals divide each other fall due together, which saves wake-ups.

        :param idle_interval: seconds between calls while ``is_idle`` returns true
        :returns: function that shortens a wait that began while idle
        """
        due = float("inf")

        def schedule() -> None:
            nonlocal due
            wait = idle_interval if idle_interval is not None and is_idle() else interval
            due = at = self._align(wait)
            self._add(at, lambda: repeat(at))

        def repeat(at: float) -> None:
            if at != due:
                # An earlier call replaced this one.
                return
            schedule()
            call()

        def hasten() -> None:
            if due > time.monotonic() + interval and not is_idle():
                schedule()

        schedule()
        return hasten

    def call_after(self, *, delay: float, call: Callable[[], None]) -> None:
        """Call a function once after ``delay`` seconds."""
        self._add(time.monotonic() + delay, call)

    @staticmethod
    def _align(interval: float) -> float:
        now = time.monotonic()
        at = (now // interval + 1.0) * interval
        # Rounding may give the present moment again.
        return at if at > now else at + interval

    def _add(self, at: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at, next(self._sequence), call))

    def run_due(self) -> float:
        """Call the functions that are due.

        :returns: seconds until the next call
        """
        now = time.monotonic()
        while self._due and self._due[0][0] <= now:
            _, _, call = heapq.heappop(self._due)
            call()
        if not self._due:
            return float("inf")
        return max(0.0, self._due[0][0] - time.monotonic())
