"""Timer service that the other parts subscribe to."""

from __future__ import annotations

import heapq
import itertools
import time
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["TimerService"]


class TimerService(BaseComponent):
    """Calls functions after a delay or at an interval, on the loop's thread."""

    channel = "timers"

    def __init__(self) -> None:
        super().__init__()
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    def subscribe(self, *, interval: float, call: Callable[[], None]) -> None:
        """Call a function every ``interval`` seconds, late ones once."""

        def repeat() -> None:
            self.call_after(delay=interval, call=repeat)
            call()

        self.call_after(delay=interval, call=repeat)

    def call_after(self, *, delay: float, call: Callable[[], None]) -> None:
        """Call a function once after ``delay`` seconds."""
        heapq.heappush(self._due, (time.monotonic() + delay, next(self._order), call))

    @handler("generate_events")
    def _on_generate_events(self, event) -> None:  # type: ignore[no-untyped-def]
        now = time.monotonic()
        while self._due and self._due[0][0] <= now:
            _, _, call = heapq.heappop(self._due)
            call()
            event.reduce_time_left(0)
        if self._due:
            event.reduce_time_left(max(0.0, self._due[0][0] - time.monotonic()))
