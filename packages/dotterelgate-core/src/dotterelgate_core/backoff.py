"""Pauses that grow with the failures in a row."""

from __future__ import annotations

__all__ = ["compute_backoff"]


def compute_backoff(failures: int, *, first: float, longest: float) -> float:
    """Find the pause after failures in a row: doubled by each, up to a limit.

    :param first: seconds after the first failure
    :param longest: seconds at most
    :returns: seconds, 0 without a failure
    """
    if failures < 1:
        return 0.0
    return min(first * 2 ** (failures - 1), longest)
