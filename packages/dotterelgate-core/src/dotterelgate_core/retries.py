"""Budgets that limit retries to a small share of the requests."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Budget", "BudgetTable"]

BURST = 10.0


@dataclass(kw_only=True, slots=True)
class Budget:
    """Tokens earned by first attempts and spent by further ones.

    :param share: tokens earned by each request
    :param burst: maximum number of tokens
    :param tokens: tokens available
    """

    share: float
    burst: float = BURST
    tokens: float = BURST

    def earn(self) -> None:
        """Add the tokens earned by one request."""
        self.tokens = min(self.tokens + self.share, self.burst)

    def spend(self) -> bool:
        """Spend one token.

        :returns: whether one was available
        """
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refund(self) -> None:
        """Return a token that was spent on an attempt that was not started."""
        self.tokens = min(self.tokens + 1.0, self.burst)


@dataclass(kw_only=True, slots=True)
class BudgetTable:
    """Budgets by service name.

    :param burst: maximum tokens of each; all daemons spend them at once if servers fail together
    """

    burst: float = BURST
    budgets: dict[str, Budget] = field(default_factory=dict)

    def find(self, service: str, share: float) -> Budget:
        """Return the budget of a service, creating it on first use."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = Budget(
                share=share, burst=self.burst, tokens=self.burst
            )
        budget.share = share
        return budget
