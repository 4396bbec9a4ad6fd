"""The operator's records of evacuated availability zones, as one daemon reads them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelgate_core.eras import Position

__all__ = ["EvacuationRecords"]


@dataclass(kw_only=True, slots=True)
class EvacuationRecords:
    """The newest record of each availability zone.

    Reads of the topic may overlap, so an older record may be read after a newer one.

    :param newest: position of the newest record by zone, and whether it evacuates the zone
    """

    newest: dict[str, tuple[Position, bool]] = field(default_factory=dict)

    def note_record(self, zone: str, position: Position, *, is_evacuated: bool) -> None:
        """Note a record; one that is older than the known one does not count."""
        known = self.newest.get(zone)
        if known is None or position >= known[0]:
            self.newest[zone] = (position, is_evacuated)

    def note_listing(self, zones: frozenset[str], end: Position) -> None:
        """Note a complete listing; a zone that it lacks has no record below its end."""
        self.newest = {
            zone: known for zone, known in self.newest.items() if zone in zones or known[0] >= end
        }

    def list_evacuated(self) -> frozenset[str]:
        """List the evacuated zones."""
        return frozenset(zone for zone, (_, is_evacuated) in self.newest.items() if is_evacuated)
