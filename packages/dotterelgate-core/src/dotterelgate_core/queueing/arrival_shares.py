"""Shares that organisations have in the recent arrivals of one rank."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["ArrivalShares"]

# Arrivals over which a share is smoothed: longer than a load peak, so that a peak gains little.
SMOOTHING_ARRIVALS = 4000
# Smaller shares are not kept, which bounds the table.
LEAST_SHARE = 1 / 128
RESCALING_UNIT = 1e9


@dataclass(kw_only=True, slots=True)
class ArrivalShares:
    """Exponentially smoothed counts of arrivals, by organisation.

    :param counts: by organisation, in units that grow with each arrival
    :param total: the same for all organisations
    :param unit: what the next arrival adds
    """

    counts: dict[str, float] = field(default_factory=dict)
    total: float = 0.0
    unit: float = 1.0

    def note(self, organisation: str) -> None:
        """Count an arrival."""
        self.counts[organisation] = self.counts.get(organisation, 0.0) + self.unit
        self.total += self.unit
        self.unit *= 1.0 + 1.0 / SMOOTHING_ARRIVALS
        if self.unit > RESCALING_UNIT:
            self._rescale()
        if len(self.counts) > 2 / LEAST_SHARE:
            least = LEAST_SHARE * self.total
            self.counts = {name: count for name, count in self.counts.items() if count >= least}

    def find(self, organisation: str) -> float:
        """Return an organisation's share of the recent arrivals, 0 to 1."""
        return self.counts.get(organisation, 0.0) / self.total if self.total else 0.0

    def _rescale(self) -> None:
        self.counts = {name: count / self.unit for name, count in self.counts.items()}
        self.total /= self.unit
        self.unit = 1.0
