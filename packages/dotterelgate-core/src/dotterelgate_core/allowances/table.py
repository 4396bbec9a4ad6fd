"""The state of one daemon as lender and borrower of quota tokens."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_core.allowances.shares import ShareView

if TYPE_CHECKING:
    from dotterelgate_core.allowances.buckets import TokenBucket

__all__ = ["HeldTokens", "PendingLoan", "QuotaTable"]


@dataclass(kw_only=True, slots=True)
class HeldTokens:
    """Borrowed tokens of one organisation, and how often it is served here.

    :param expiries: monotonic second at which each token expires, in order
    :param use: requests a second lately
    :param used_at: monotonic second of the newest request
    """

    expiries: deque[float] = field(default_factory=deque)
    use: float = 0.0
    used_at: float = float("-inf")


@dataclass(kw_only=True, slots=True)
class PendingLoan:
    """A call that waits for a lender's answer.

    :param untried: lenders to ask after this one
    :param asked_at: monotonic second of the request to ``lender``
    :param begun_at: monotonic second of the first request
    :param waits: seconds until a token, as lenders stated them
    :param collected: part of a token that lenders lent so far
    :param is_repeated: whether a lender that did not answer is asked twice
    """

    organisation: str
    lender: str
    untried: list[str]
    asked_at: float
    begun_at: float
    waits: list[float] = field(default_factory=list)
    collected: float = 0.0
    is_repeated: bool = False


@dataclass(kw_only=True, slots=True)
class QuotaTable:
    """Tokens that this daemon lends, holds and waits for.

    :param view: the daemons, and the part of the quotas that the zone lends
    :param lent: tokens by organisation, while this daemon is the zone's lender of it
    :param safe: tokens by organisation that it uses while no lender answers
    :param held: borrowed tokens by organisation
    :param pending: calls that wait, by id
    :param unanswered: requests in a row that a lender left unanswered
    :param avoided_until: monotonic second until which an unresponsive lender is passed over
    :param empty_until: monotonic second until which a lender has no token, by organisation
    :param safe_used_at: monotonic second of the newest use of the safe share
    """

    view: ShareView = field(default_factory=ShareView)
    lent: dict[str, TokenBucket] = field(default_factory=dict)
    safe: dict[str, TokenBucket] = field(default_factory=dict)
    held: dict[str, HeldTokens] = field(default_factory=dict)
    pending: dict[int, PendingLoan] = field(default_factory=dict)
    unanswered: dict[str, int] = field(default_factory=dict)
    avoided_until: dict[str, float] = field(default_factory=dict)
    empty_until: dict[tuple[str, str], tuple[float, float]] = field(default_factory=dict)
    safe_used_at: float = float("-inf")
