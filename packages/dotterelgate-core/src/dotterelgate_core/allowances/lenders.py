"""Lenders of the zones, and what this daemon lends where it is one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core.allowances.buckets import ROUNDING, TokenBucket
from dotterelgate_core.allowances.messages import ReturnTokens
from dotterelgate_core.allowances.shares import PAUSE_SECONDS, update_shares
from dotterelgate_core.owners import list_owners
from dotterelgate_core.peers import rank_by_rendezvous

if TYPE_CHECKING:
    from dotterelgate_core.configuration import Organisation
    from dotterelgate_core.pipes import Message
    from dotterelgate_core.state import DaemonState

__all__ = [
    "accept_returned",
    "lend_tokens",
    "list_lenders",
    "refresh_view",
    "use_safe_share",
]

# The bound on a window is a tenth of the quota and 20 requests above rate and burst. Buckets may
# hold this much of that more than the burst, all together, since a zone whose bucket is full
# loses what another lacks, and a fraction of a token in each serves nobody. The rest covers
# tokens that are under way or held, and lenders that replace each other.
EXTRA_SHARE = 0.02
EXTRA_TOKENS = 8.0
# A zone whose part of a quota is smaller than this many requests a second also lends parts of
# tokens, which make a whole one with those of other zones; larger parts soon grow a token.
DIVISIBLE_RATE = 5.0
# Part of the quota with which a new lender begins: what its zone uses within some milliseconds.
FIRST_SHARE = 0.005
# While a daemon reaches no lender, the others may still lend the whole quota: the safe shares
# of all daemons together are this part of it and begin with this many tokens. A daemon that
# hears no others for long is a lender itself.
SAFE_FACTOR = 0.05
SAFE_TOKENS = 6.0
# Seconds without use for which the safe share grows; it is no store of unused tokens.
SAFE_SECONDS = 1.0


def list_lenders(state: DaemonState, organisation: str, now: float) -> list[str]:
    """List the lender of each zone, that of the own zone first, without unresponsive ones."""
    zones = {peer.zone for peer in state.peers.listed.values()} - {state.zone}
    subject = _name_subject(organisation)
    ranked = [rank_by_rendezvous(subject, state.quotas.view.able)]
    # Daemons prefer different zones, so that no zone lends most of what others lack.
    for zone in rank_by_rendezvous(f"{organisation}\0{state.name}", zones):
        ranked.append(list_owners(state, subject, now, zone))
    avoided = state.quotas.avoided_until
    lenders = []
    for names in ranked:
        usable = [each for each in names if avoided.get(each, now) <= now]
        lenders += usable[:1]
    return lenders


def _name_subject(organisation: str) -> str:
    return f"quota/{organisation}"


def _is_lender(state: DaemonState, organisation: str) -> bool:
    ranked = rank_by_rendezvous(_name_subject(organisation), state.quotas.view.able)
    return ranked[:1] == [state.name]


def refresh_view(state: DaemonState, now: float, *, at_once: bool = False) -> list[Message]:
    """Update the shares, and hand over the tokens that another daemon of the zone lends now.

    :param at_once: whether to update a recent view, where a peer may have a newer one
    :returns: orders, and a line where the share changed
    """
    if state.configuration.organisations is None:
        return []
    view = state.quotas.view
    changed_at = view.changed_at
    if now - view.updated_at > PAUSE_SECONDS:
        # Another daemon may have lent them while this one did not run.
        state.quotas.lent.clear()
    messages: list[Message] = [*update_shares(state, now, at_once=at_once)]
    if view.changed_at != changed_at:
        messages += _hand_over(state, now)
    return messages


def _hand_over(state: DaemonState, now: float) -> list[Message]:
    lent = state.quotas.lent
    orders: list[Message] = []
    for organisation in [each for each in lent if not _is_lender(state, each)]:
        level = lent.pop(organisation).level
        successor = next(iter(list_lenders(state, organisation, now)), None)
        if successor is not None and level > 0:
            order = ReturnTokens(lender=successor, organisation=organisation, count=level)
            orders.append(order)
    return orders


def lend_tokens(
    state: DaemonState, organisation: Organisation, count: float, now: float
) -> tuple[float, float] | None:
    """Lend up to ``count`` tokens of the zone's part of a quota.

    :returns: how many, and the seconds until there is one; ``None`` where another daemon lends
    """
    bucket = _refill_bucket(state, organisation, now)
    if bucket is None:
        return None
    rate = organisation.rate * state.quotas.view.share
    taken = bucket.take(count, is_divisible=rate < DIVISIBLE_RATE)
    is_enough = taken + ROUNDING >= min(count, 1.0)
    return taken, 0.0 if is_enough else bucket.promise(rate, lent=taken)


def accept_returned(
    state: DaemonState, organisation: Organisation, count: float, now: float
) -> bool:
    """Add tokens that a daemon returned or handed over.

    :returns: whether this daemon lends them
    """
    bucket = _refill_bucket(state, organisation, now)
    if bucket is not None:
        bucket.level += count
    return bucket is not None


def _refill_bucket(
    state: DaemonState, organisation: Organisation, now: float
) -> TokenBucket | None:
    view = state.quotas.view
    if not view.share or not _is_lender(state, organisation.name):
        return None
    whole = organisation.rate * state.limits.quota_window + organisation.burst
    # At most one part of a zone has its majority, and may round up to a whole token.
    first = FIRST_SHARE * whole * view.share + (1.0 if view.has_majority else view.zone_part)
    extra = view.share * (EXTRA_SHARE * whole + EXTRA_TOKENS)
    most = max(first, extra) + view.share * organisation.burst
    bucket = state.quotas.lent.get(organisation.name)
    if bucket is None:
        # A successor has no burst, only what grew since the same daemons can lend.
        bucket = TokenBucket(level=first, filled_at=view.changed_at)
        state.quotas.lent[organisation.name] = bucket
    bucket.refill(rate=organisation.rate * view.share, most=most, now=now)
    return bucket


def use_safe_share(
    state: DaemonState, organisation: Organisation, now: float
) -> tuple[bool, float]:
    """Use a token of the part that this daemon has while no lender answers.

    :returns: whether there was one, and the seconds until there is one
    """
    quotas = state.quotas
    share = quotas.view.own_share
    rate = organisation.rate * share * SAFE_FACTOR
    first = min(1.0, SAFE_TOKENS * share)
    bucket = quotas.safe.get(organisation.name)
    if bucket is None:
        bucket = quotas.safe[organisation.name] = TokenBucket(level=first, filled_at=now)
    bucket.filled_at = max(bucket.filled_at, now - SAFE_SECONDS)
    bucket.refill(rate=rate, most=first, now=now)
    quotas.safe_used_at = now
    if bucket.take(1):
        return True, 0.0
    return False, bucket.promise(rate)
