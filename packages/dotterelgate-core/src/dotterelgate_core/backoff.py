"""Exponential backoff."""

from __future__ import annotations

__all__ = ["compute_backoff"]


def compute_backoff(failures: int, *, first: float, longest: float) -> float:
    """Compute the backoff after consecutive failures: doubled by each, up to a limit.

    :param first: backoff in seconds after the first failure
    :param longest: maximum in seconds
    :returns: backoff in seconds, 0 without a failure
    """
    if failures < 1:
        return 0.0
    return min(first * 2 ** (failures - 1), longest)
