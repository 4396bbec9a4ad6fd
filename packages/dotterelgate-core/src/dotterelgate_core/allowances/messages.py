"""Messages on the tokens of organisations' quotas."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "BorrowTokens",
    "LendTokens",
    "QuotaApplied",
    "ReturnTokens",
    "TokenSource",
    "TokensLent",
    "TokensRequested",
    "TokensReturned",
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
    :param count: tokens wanted, as a part of one where lenders lent the rest of it
    """

    lender: str
    call_id: int
    organisation: str
    count: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReturnTokens:
    """Order to return tokens to the lender of the own zone, since no request used them."""

    lender: str
    organisation: str
    count: float


@dataclass(frozen=True, kw_only=True, slots=True)
class TokensRequested:
    """A daemon requested tokens; fields as in ``BorrowTokens``."""

    now: float
    borrower: str
    call_id: int
    organisation: str
    count: float


@dataclass(frozen=True, kw_only=True, slots=True)
class TokensReturned:
    """A daemon returned tokens; fields as in ``ReturnTokens``."""

    now: float
    organisation: str
    count: float


@dataclass(frozen=True, kw_only=True, slots=True)
class LendTokens:
    """Order to answer a daemon's request for tokens.

    :param count: tokens lent, 0 for none; less than one where there is no whole one
    :param wait: seconds after which there is one, ``None`` where this daemon lends none
    """

    borrower: str
    call_id: int
    organisation: str
    count: float
    wait: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class TokensLent:
    """A lender answered; fields as in ``LendTokens``."""

    now: float
    lender: str
    call_id: int
    organisation: str
    count: float
    wait: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class QuotaApplied:
    """Order to count a call to which a quota was applied.

    :param waited: seconds that it waited for its token or refusal
    """

    source: TokenSource
    waited: float
