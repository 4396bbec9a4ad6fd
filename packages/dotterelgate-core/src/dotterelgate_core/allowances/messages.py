"""Messages on the tokens of organisations' quotas."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "BorrowTokens",
    "LendTokens",
    "QuotaApplied",
    "TokenSource",
    "TokensLent",
    "TokensRequested",
]


class TokenSource(str, Enum):
    """Where the token of a call came from."""

    HELD = "held"
    OWN = "own"
    LENDER = "lender"
    SAFE_SHARE = "safe_share"
    NONE = "none"


@dataclass(frozen=True, kw_only=True, slots=True)
class BorrowTokens:
    """Order to request tokens from the lender of a zone.

    :param call_id: call that needs the first of them
    :param count: tokens wanted
    """

    lender: str
    call_id: int
    organisation: str
    count: int


@dataclass(frozen=True, kw_only=True, slots=True)
class TokensRequested:
    """A daemon requested tokens; fields as in ``BorrowTokens``."""

    now: float
    borrower: str
    call_id: int
    organisation: str
    count: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LendTokens:
    """Order to answer a daemon's request for tokens.

    :param count: tokens lent, 0 for none
    :param wait: seconds after which there is one, ``None`` where this daemon lends none
    """

    borrower: str
    call_id: int
    organisation: str
    count: int
    wait: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class TokensLent:
    """A lender answered; fields as in ``LendTokens``."""

    now: float
    lender: str
    call_id: int
    organisation: str
    count: int
    wait: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class QuotaApplied:
    """Order to count a call to which a quota was applied.

    :param waited: seconds that it waited for its token or refusal
    """

    source: TokenSource
    waited: float
