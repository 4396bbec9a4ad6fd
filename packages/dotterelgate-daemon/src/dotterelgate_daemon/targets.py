"""Targets of requests."""

from __future__ import annotations

__all__ = ["read_path"]


def read_path(target: str) -> str:
    """Return the path of a request's target as it was sent, without the query.

    Nothing is decoded or removed, since ``%2F`` is a part of a segment and no separator.
    """
    return target.partition("?")[0]
