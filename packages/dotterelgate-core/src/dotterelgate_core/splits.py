"""Division of the requests of split routes by weight."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from dotterelgate_core.configuration import Route

__all__ = ["SplitTable"]


@dataclass(kw_only=True, slots=True)
class SplitTable:
    """Credits of the parts of each split route.

    The part with the most credit gets the next request, so that the weights also hold
    over a few requests.

    :param random: source of the initial credits; with equal ones all daemons would send
        their first requests to the same part
    """

    random: Random | None = None
    _credits: dict[Route, dict[str, float]] = field(default_factory=dict)

    def choose(self, route: Route) -> str:
        """Choose the service of the next request of a split route."""
        credits = self._credits.get(route)
        if credits is None:
            self._drop_previous(route)
            credits = self._credits[route] = self._make_credits(route)
        total = sum(part.weight for part in route.split)
        for part in route.split:
            credits[part.service] += part.weight / total
        chosen = max(credits, key=lambda name: credits[name])
        credits[chosen] -= 1.0
        return chosen

    def _make_credits(self, route: Route) -> dict[str, float]:
        if self.random is None:
            return {part.service: 0.0 for part in route.split}
        return {part.service: self.random.random() - 0.5 for part in route.split}

    def _drop_previous(self, route: Route) -> None:
        previous = [each for each in self._credits if each.name == route.name]
        for each in previous:
            del self._credits[each]
