"""Messages about second attempts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ["CountSecondAttempt", "RelayBegan", "SecondResult", "TickAt"]


class SecondResult(str, Enum):
    """What became of a second attempt.

    ``LOST`` includes those that failed or were cancelled, ``DENIED`` those never started.
    """

    STARTED = "started"
    WON = "won"
    LOST = "lost"
    DENIED = "denied"


@dataclass(frozen=True, kw_only=True, slots=True)
class CountSecondAttempt:
    """Order to count a second attempt in the metrics."""

    result: SecondResult


@dataclass(frozen=True, kw_only=True, slots=True)
class TickAt:
    """Order to send ``Ticked`` at a monotonic second, besides the regular ones."""

    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayBegan:
    """An answer is too large to be kept and is relayed from now on, unless it is cancelled.

    :param status: status of the answer
    """

    now: float
    call_id: int
    server: str
    status: int
