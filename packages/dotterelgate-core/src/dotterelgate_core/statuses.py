"""What the status of a response promises to its caller."""

from __future__ import annotations

__all__ = ["promises_not_run"]

# Callers send a request again that got one of these, also one that isn't idempotent.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def promises_not_run(status: int) -> bool:
    """Return whether a caller concludes from a status that its request has not run."""
    return status in NOT_RUN_STATUSES
