"""The limit of requests a second of a backend server while it is cold."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["WarmUpLimit"]

# An allowance that was not used is kept for this long. Over all zones, a second then holds at
# most 1.25 times the limit and one request more for each zone; the platform's bound is 1.5
# times and 8 more.
BURST_SECONDS = 0.25
# An entry of the registry may be read later than an answer to a probe that was sent after it.
ENTRY_AGE_SECONDS = 2.0


@dataclass(kw_only=True, slots=True)
class WarmUpLimit:
    """What one daemon knows of a server's warm-up, and how much of its limit is left here.

    :param rate: requests a second that it takes from all daemons while cold, 0 for no limit
    :param cold_seconds: longest time for which it is cold, 0 for unknown
    :param allowance: requests for which this daemon may choose it now
    :param filled_at: monotonic second up to which ``allowance`` was refilled
    :param stated_at: monotonic second of the newest answer that said for how long it is cold
    :param lengthened_at: monotonic second at which it became cold, or cold for longer
    :param is_unsent: whether peers have not been told what an answer said
    """

    rate: float = 0.0
    cold_seconds: float = 0.0
    allowance: float = 0.0
    filled_at: float = float("-inf")
    stated_at: float = float("-inf")
    lengthened_at: float = float("-inf")
    is_unsent: bool = False

    def limit_seconds(self, seconds: float) -> float:
        """Limit the stated seconds to the time for which a server of the service is cold."""
        return min(seconds, self.cold_seconds) if self.cold_seconds else seconds

    def begin(self, now: float) -> None:
        """Start without an allowance, since the server was not limited before."""
        self.allowance = 0.0
        self.filled_at = now

    def refill(self, share: float, now: float) -> float:
        """Add what the limit allows since the last time, and return the allowance.

        :param share: this daemon's part of the limit, 0 to 1
        """
        rate = self.rate * share
        elapsed = min(max(0.0, now - self.filled_at), BURST_SECONDS)
        most = max(1.0, rate * BURST_SECONDS)
        self.allowance = min(most, self.allowance + rate * elapsed)
        self.filled_at = now
        return self.allowance
