"""Choice of the peers that relay a message, so that no small VM's link carries all copies."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

__all__ = ["RelayGroup", "plan_relays"]

# Copies that a link of 5 Mbit/s carries in 0.08 s; its queue drops what exceeds it for long.
DIRECT_BYTES = 50_000


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayGroup:
    """A peer that gets a message, and those to which it relays it."""

    relay: str
    receivers: tuple[str, ...] = ()


def plan_relays(addresses: Sequence[str], size: int, random: Random) -> list[RelayGroup]:
    """Group the receivers of a message; few copies or small ones are sent to each.

    The relays differ from message to message, so that a lost one costs its receivers one only.

    :param size: bytes of the message
    """
    if size * len(addresses) <= DIRECT_BYTES:
        return [RelayGroup(relay=each) for each in addresses]
    shuffled = random.sample(addresses, len(addresses))
    length = ceil(sqrt(len(shuffled)))
    groups = (shuffled[at : at + length] for at in range(0, len(shuffled), length))
    return [RelayGroup(relay=first, receivers=tuple(rest)) for first, *rest in groups]
