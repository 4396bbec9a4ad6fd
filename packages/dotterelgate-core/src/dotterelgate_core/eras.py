"""Order of the store's records across restores, after which offsets are given out again."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EntryVersion", "Position", "StoreEra", "merge_versions"]


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Position:
    """A place in a topic; those of a later era are behind all of an earlier one.

    :param era: era of the store, 0 where it names none
    :param offset: offset within that era
    """

    era: int
    offset: int


@dataclass(kw_only=True, slots=True)
class StoreEra:
    """The store's era, which rises each time it is restored from a copy.

    :param current: the latest era known, 0 while none was named
    :param restores: rises seen by this daemon
    """

    current: int = 0
    restores: int = 0

    def note(self, era: int) -> bool:
        """Note the era that an answer or a peer named.

        :returns: whether the store was restored since the last one
        """
        if era <= self.current:
            return False
        is_restore = self.current > 0
        self.current = era
        self.restores += is_restore
        return is_restore

    def resolve(self, named: int) -> int:
        """Return the era of a peer's message, which earlier builds do not name."""
        return self.current if not named and not self.restores else named


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryVersion:
    """Which write of a backend server's entry is known.

    :param run: when that run of the server started, and the number of the write within it, for a
        removed entry of its last write; ``None`` where that is not known
    """

    position: Position
    run: tuple[int, int] | None = None


def merge_versions(known: EntryVersion | None, new: EntryVersion) -> tuple[EntryVersion, bool]:
    """Merge what is known of an entry with another write of it.

    Within an era the later offset wins. A restored copy holds older writes under the new era, so
    across eras the server's own count of its writes decides, where both name one.

    :returns: the version to keep, and whether the content of ``new`` applies
    """
    if known is None:
        return new, True
    if new.position.era == known.position.era or new.run is None or known.run is None:
        is_newer = new.position > known.position
    else:
        is_newer = new.run > known.run
    run = new.run if is_newer and new.run is not None else known.run
    return EntryVersion(position=max(known.position, new.position), run=run), is_newer
