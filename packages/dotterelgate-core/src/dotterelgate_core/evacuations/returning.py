"""Steps in which the backend servers of a zone that was taken back get requests again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelgate_core.servers import ServerState

__all__ = ["count_step_slots", "is_returning", "select_in_step"]

STEP_SECONDS = 1.0
# The servers of a zone begin in this many groups, one a step.
GROUPS = 4
# The largest number of slots that a doubling step is computed for.
MAX_DOUBLINGS = 20


def count_step_slots(server: ServerState, now: float) -> int:
    """Count the slots of a backend server that may be used in the current step.

    All daemons put a server into the same group: by the hash of its name. After its group begins
    it gets one request at once, and in each further step twice as many.
    """
    slots = server.server.slots
    elapsed = now - server.returned_at
    if elapsed > (GROUPS + MAX_DOUBLINGS) * STEP_SECONDS:
        return slots
    group = xxhash.xxh3_64_intdigest(server.server.name.encode()) % GROUPS
    steps = int(elapsed / STEP_SECONDS) - group
    return min(slots, 2**steps) if steps >= 0 else 0


def is_returning(server: ServerState, now: float) -> bool:
    """Return whether a backend server gets fewer requests since its zone was taken back."""
    return count_step_slots(server, now) < server.server.slots


def select_in_step(servers: Sequence[ServerState], now: float) -> list[ServerState]:
    """Select the backend servers whose step allows one more request.

    Where all are returning, none is held back, since requests would be refused instead.
    """
    allowed = [each for each in servers if each.count_load() < count_step_slots(each, now)]
    if len(allowed) == len(servers) or not all(is_returning(each, now) for each in servers):
        return allowed
    return list(servers)
