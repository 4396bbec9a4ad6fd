"""Tokens of one organisation's quota that one daemon may lend or use."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["TokenBucket"]

# Sums of fractions of a token may fall short of a whole one by rounding.
ROUNDING = 1e-9


@dataclass(kw_only=True, slots=True)
class TokenBucket:
    """Tokens that grow at a rate up to a limit.

    :param level: tokens now
    :param filled_at: monotonic second up to which they were refilled
    :param promised: refused callers that were told when to return and are not yet due
    """

    level: float
    filled_at: float
    promised: float = 0.0

    def refill(self, *, rate: float, most: float, now: float) -> None:
        """Add the tokens since the last time.

        :param rate: tokens a second
        """
        added = rate * max(0.0, now - self.filled_at)
        self.level = min(most, self.level + added)
        self.promised = max(0.0, self.promised - added)
        self.filled_at = now

    def take(self, count: int) -> int:
        """Take up to ``count`` whole tokens.

        :returns: how many there were
        """
        taken = max(0, min(count, int(self.level + ROUNDING)))
        self.level -= taken
        return taken

    def promise(self, rate: float) -> float:
        """Compute the seconds until a caller who is refused now would get a token.

        Callers refused one after the other get different times.
        """
        if rate <= 0:
            return float("inf")
        wait = (1.0 - self.level + self.promised) / rate
        self.promised += 1.0
        return wait
