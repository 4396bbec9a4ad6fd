"""Which availability zones are evacuated."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelgate_core.eras import Position

__all__ = ["EvacuationState"]

# The operator's records that a restored store lacks are written again within about two seconds,
# and are read 0.6 s later.
RESTORE_HOLD_SECONDS = 3.0


@dataclass(kw_only=True, slots=True)
class EvacuationState:
    """The newest known list of evacuated zones.

    :param listed: evacuated zones at ``position``
    :param position: position of the read that found them, ``None`` before the first
    :param held: zones that a restored store no longer lists, with the monotonic second until
        which they stay evacuated
    """

    listed: frozenset[str] = frozenset()
    position: Position | None = None
    held: dict[str, float] = field(default_factory=dict)

    def adopt(self, zones: frozenset[str], position: Position, now: float) -> bool:
        """Adopt a list unless a newer one is known.

        :returns: whether it was adopted
        """
        if self.position is not None and position <= self.position:
            return False
        if self.position is not None and position.era > self.position.era:
            missing = self.list_evacuated() - zones
            self.held = dict.fromkeys(missing, now + RESTORE_HOLD_SECONDS)
        for zone in zones:
            self.held.pop(zone, None)
        self.listed = zones
        self.position = position
        return True

    def release_held(self, now: float) -> bool:
        """Take zones back that were not evacuated again since the store was restored.

        :returns: whether there were any
        """
        due = [zone for zone, until in self.held.items() if until <= now]
        for zone in due:
            del self.held[zone]
        return bool(due)

    def list_evacuated(self) -> frozenset[str]:
        """List the zones whose backend servers get no new requests."""
        return self.listed.union(self.held) if self.held else self.listed
