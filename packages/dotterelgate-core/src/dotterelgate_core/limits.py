"""The limit of requests a second that a backend server names."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["UNLIMITED", "NamedLimit"]

UNLIMITED = float("inf")
# An allowance that was not used is kept for this long, so that requests need not come evenly.
BURST_SECONDS = 0.5


@dataclass(kw_only=True, slots=True)
class NamedLimit:
    """The limit that a backend server names in its answers, and what is left of it here.

    :param rate: requests a second that it takes from all daemons, infinite for no limit
    :param is_probed: whether answers to probes name it as well
    :param allowance: requests for which this daemon may choose it now
    :param filled_at: monotonic second up to which ``allowance`` was refilled
    :param stated_at: monotonic second of the newest answer that named or ended it
    :param is_unsent: whether peers have not been told what an answer named
    """

    rate: float = UNLIMITED
    is_probed: bool = False
    allowance: float = 0.0
    filled_at: float = 0.0
    stated_at: float = float("-inf")
    is_unsent: bool = False

    @property
    def is_named(self) -> bool:
        """Whether the backend server names a limit."""
        return self.rate < UNLIMITED

    def apply_answer(self, rate: float | None, now: float, *, is_probe: bool) -> bool:
        """Apply what an answer names.

        :param rate: infinite where it names none, ``None`` where it is not valid and ignored
        :returns: whether the limit changed
        """
        if rate is None:
            return False
        if rate < UNLIMITED:
            self.is_probed = self.is_probed or is_probe
            # Repeated with each answer, since a message to a peer may be lost.
            self.is_unsent = True
        elif is_probe and not self.is_probed:
            # Not every backend server names it in answers to probes.
            return False
        return self.apply_statement(rate, now, at=now)

    def apply_statement(self, rate: float, now: float, *, at: float) -> bool:
        """Apply a statement of the backend server unless a newer one was applied.

        :param at: monotonic second of the statement
        :returns: whether the limit changed
        """
        if at < self.stated_at or not (self.is_named or rate < UNLIMITED):
            return False
        self.stated_at = at
        if rate == self.rate:
            return False
        if not self.is_named:
            self.allowance = 0.0
            self.filled_at = now
        self.rate = rate
        self.is_unsent = True
        return True

    def refill(self, share: float, now: float, *, is_kept: bool) -> float:
        """Add what the limit allows since the last time, and return the allowance.

        :param share: this daemon's part of the limit, 0 to 1
        :param is_kept: whether to add it for the time in which it was not asked for; where
            several daemons have a part, their unused allowances would add up
        """
        rate = self.rate * share
        most = max(1.0, rate * BURST_SECONDS)
        elapsed = max(0.0, now - self.filled_at)
        if not is_kept:
            elapsed = min(elapsed, BURST_SECONDS)
        self.allowance = min(most, self.allowance + rate * elapsed)
        self.filled_at = now
        return self.allowance

    def use(self) -> None:
        """Count one request against the allowance."""
        if self.is_named:
            self.allowance -= 1.0
