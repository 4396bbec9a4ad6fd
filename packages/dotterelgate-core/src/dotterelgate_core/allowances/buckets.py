"""Tokens of one organisation's quota that one daemon may lend or use."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ROUNDING", "TokenBucket"]

# Sums of fractions of a token may fall short of a whole one by rounding.
ROUNDING = 1e-9
PROMISED_SECONDS = 1.0


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

    def take(self, count: float, *, is_divisible: bool = False) -> float:
        """Take up to ``count`` tokens.

        :param is_divisible: whether to take a part of one where there is no whole one
        :returns: how many there were
        """
        needed = min(count, 1.0)
        if self.level + ROUNDING >= needed:
            taken = min(count, max(needed, float(int(self.level))))
        else:
            taken = max(0.0, self.level) if is_divisible else 0.0
        self.level -= taken
        return taken

    def promise(self, rate: float, *, lent: float = 0.0) -> float:
        """Compute the seconds until a caller who is refused now would get a token.

        Callers refused one after the other get different times, so that they do not return
        together. One that would have to wait for long has too little time to return.

        :param lent: part of a token that this caller got, and returns when it is refused
        """
        if rate <= 0:
            return float("inf")
        wait = (1.0 - lent - self.level + self.promised) / rate
        self.promised = min(self.promised + 1.0, rate * PROMISED_SECONDS)
        return wait
