"""Exclusive leases on resources, granted by the order of records on the log."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_core.chain import Chain
from dotterelgate_core.peers import rank_by_rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection

    from dotterelgate_core.chain import Link

__all__ = ["Claim", "Grant", "Lease", "LeaseTable", "Moment", "Tenure"]

CLOCK_DRIFT_SHARE = 0.01
RENEWAL_SHARE = 1 / 3
RANK_DELAY_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """What a lease record carries.

    :param resource: what is leased
    :param holder: name of the daemon
    :param incarnation: which run of that daemon
    :param address: where the holder listens for peers
    :param length: seconds
    :param transfer: id of the handover, if the previous holder made the grant
    """

    resource: str
    holder: str
    incarnation: str
    address: str
    length: float
    transfer: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Moment:
    """A point in time on both clocks, the wall clock read first.

    :param now: monotonic second
    :param wall: wall-clock second
    """

    now: float
    wall: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """A grant to be appended to the log."""

    id: str
    previous: str | None
    grant: Grant


@dataclass(frozen=True, kw_only=True, slots=True)
class Tenure:
    """A continuous period in which this daemon holds a resource.

    :param id: id of its first grant
    :param since: monotonic second at which that grant was read
    :param history_known: whether no keys of earlier holders can be missing here
    :param transfer: id of the handover, if the previous holder made the grant
    """

    id: str
    since: float
    history_known: bool
    transfer: str | None


@dataclass(kw_only=True, slots=True)
class Lease:
    """This daemon's view of the lease on one resource.

    :param chain: accepted grant by the log's order
    :param read_at: monotonic second at which the accepted grant was read
    :param ends_at: monotonic second at which this daemon's own lease ends
    :param ends_wall: the same on the wall clock, which advances while a VM is paused
    :param tenure: set while this daemon is the accepted holder
    :param claimed_at: monotonic second of a claim that was not read on the log yet
    :param previous_ends_at: monotonic second until which the previous holder may still act
    :param received_transfer: id of the handover whose keys this daemon has received
    """

    chain: Chain = field(default_factory=Chain)
    read_at: float = 0.0
    ends_at: float = 0.0
    ends_wall: float = 0.0
    tenure: Tenure | None = None
    claimed_at: float | None = None
    previous_ends_at: float = 0.0
    received_transfer: str | None = None


@dataclass(kw_only=True, slots=True)
class LeaseTable:
    """All leases, and the claims of this daemon.

    :param holder: name of this daemon
    :param incarnation: unique to this run of the daemon
    :param address: where this daemon listens for peers
    :param length: seconds of a lease
    :param started_at: monotonic second at which reading the log began
    :param leases: by resource
    :param sent_claims: moment just before each own claim was sent, by grant id
    :param handed_over: resources whose handover was just read on the log, with its id
    :param is_retired: whether this daemon no longer acts on any resource
    """

    holder: str
    incarnation: str
    address: str
    length: float
    started_at: float = 0.0
    leases: dict[str, Lease] = field(default_factory=dict)
    sent_claims: dict[str, Moment] = field(default_factory=dict)
    next_claim: int = 0
    handed_over: dict[str, str] = field(default_factory=dict)
    is_retired: bool = False

    def begin(self, *, resources: Collection[str], start: int, now: float) -> None:
        """Start, or restart after a gap, to read the log at ``start``."""
        self.started_at = now
        for resource in resources:
            lease = self.leases.setdefault(resource, Lease())
            lease.chain.begin(start=start)
            lease.tenure = None
            lease.read_at = now

    def holds(self, resource: str, now: float, wall: float) -> bool:
        """Return whether this daemon alone may act on the resource now.

        :param wall: wall-clock second read before ``now``
        """
        lease = self.leases.get(resource)
        if lease is None:
            return False
        if lease.tenure is None or self.is_retired:
            return False
        if not self._is_open(lease, lease.tenure, now):
            return False
        return now < lease.ends_at and wall < lease.ends_wall

    def find_holder(self, resource: str) -> Grant | None:
        """Return the accepted grant, lapsed or not."""
        lease = self.leases.get(resource)
        current = lease.chain.current if lease is not None else None
        return current.body if current is not None else None

    def read(self, link: Link, now: float) -> bool:
        """Apply a grant in log order.

        :returns: whether the accepted grant changed
        """
        grant: Grant = link.body
        lease = self.leases.get(grant.resource)
        if lease is None:
            return False
        before = lease.chain.current
        lease.chain.read(link)
        if self._is_own(grant):
            lease.claimed_at = None
        if lease.chain.current is before:
            return False
        self._apply_accepted(lease, before, now)
        return True

    def prepare_claim(self, resource: str, moment: Moment) -> Claim:
        """Build an own claim whose length counts from a moment before it is sent."""
        grant = Grant(
            resource=resource,
            holder=self.holder,
            incarnation=self.incarnation,
            address=self.address,
            length=self.length,
        )
        claim = self.build_claim(self.allocate_claim_id(), grant)
        self._remove_old_claims(moment.now)
        self.sent_claims[claim.id] = moment
        self.leases[resource].claimed_at = moment.now
        return claim

    def allocate_claim_id(self) -> str:
        """Allocate the id of a claim."""
        self.next_claim += 1
        return f"{self.incarnation}/{self.next_claim}"

    def build_claim(self, claim_id: str, grant: Grant) -> Claim:
        """Build a claim that follows the accepted grant."""
        current = self.leases[grant.resource].chain.current
        previous = current.id if current is not None else None
        return Claim(id=claim_id, previous=previous, grant=grant)

    def select_due(
        self, now: float, usable: Collection[str], removed: Collection[str], oldest: int
    ) -> list[str]:
        """Select the resources that this daemon should claim or renew now.

        :param usable: names of daemons that may get work
        :param removed: names of daemons that can no longer act
        :param oldest: oldest offset that the log retains
        """
        due = []
        for resource, lease in self.leases.items():
            if lease.claimed_at is not None and now - lease.claimed_at < RANK_DELAY_SECONDS:
                continue
            lease.chain.expire(oldest=oldest)
            is_renewal = self._is_renewal_due(lease, now)
            if is_renewal or self._is_claim_due(resource, lease, now, usable, removed):
                due.append(resource)
        return due

    def _is_renewal_due(self, lease: Lease, now: float) -> bool:
        if lease.tenure is None:
            return False
        return lease.ends_at - now < self.length * (1 - RENEWAL_SHARE)

    def _is_claim_due(
        self,
        resource: str,
        lease: Lease,
        now: float,
        usable: Collection[str],
        removed: Collection[str],
    ) -> bool:
        if lease.tenure is not None or self.holder not in usable:
            return False
        free_since = self._compute_free_since(lease, removed)
        if free_since is None:
            return False
        rank = rank_by_rendezvous(resource, usable).index(self.holder)
        return now >= free_since + rank * RANK_DELAY_SECONDS

    def _compute_free_since(self, lease: Lease, removed: Collection[str]) -> float | None:
        chain = lease.chain
        if not chain.known:
            # Grants that the log no longer retains may still be in effect.
            return None if chain.undecided else self.started_at + self._add_drift(self.length)
        if chain.current is None:
            return lease.read_at
        grant: Grant | None = chain.current.body
        if grant is None:
            return lease.read_at + self._add_drift(self.length)
        if grant.holder in removed or self._is_earlier_run(grant):
            return lease.read_at
        return lease.read_at + self._add_drift(grant.length)

    def _apply_accepted(self, lease: Lease, before: Link | None, now: float) -> None:
        current = lease.chain.current
        previous_ends_at = lease.read_at + self._add_drift(self._find_length(before))
        lease.read_at = now
        if lease.tenure is not None and self._is_handover(current):
            assert current is not None
            self.handed_over[current.body.resource] = current.id
        if current is None or current.body is None or not self._is_own(current.body):
            lease.tenure = None
            return
        sent = self.sent_claims.pop(current.id, None)
        if sent is None:
            lease.tenure = None
            return
        lease.previous_ends_at = previous_ends_at
        length = current.body.length * (1 - CLOCK_DRIFT_SHARE)
        lease.ends_at = sent.now + length
        lease.ends_wall = sent.wall + length
        follows_own = before is not None and before.id == current.previous
        if lease.tenure is not None and follows_own:
            return
        lease.tenure = Tenure(
            id=current.id,
            since=now,
            history_known=before is None and lease.chain.start == 0,
            transfer=current.body.transfer,
        )

    def note_keys_received(self, resource: str, transfer: str) -> None:
        """Note that the keys of a handover have been received."""
        self.leases[resource].received_transfer = transfer

    def expect_transfer(self, claim_id: str, moment: Moment) -> None:
        """Note that a peer will grant a resource to this daemon under this id.

        Only the first moment counts, since the grant may be on the log already
        when the announcement is repeated.
        """
        self.sent_claims.setdefault(claim_id, moment)

    def _is_open(self, lease: Lease, tenure: Tenure, now: float) -> bool:
        if tenure.transfer is None or lease.received_transfer == tenure.transfer:
            return True
        return now >= lease.previous_ends_at

    def _is_handover(self, current: Link | None) -> bool:
        if current is None or current.body is None:
            return False
        return current.body.transfer is not None and not self._is_own(current.body)

    def _find_length(self, before: Link | None) -> float:
        if before is None or before.body is None:
            return self.length
        length: float = before.body.length
        return length

    def _remove_old_claims(self, now: float) -> None:
        # A lease from a claim this old would have ended already.
        old = [key for key, sent in self.sent_claims.items() if now - sent.now > self.length]
        for key in old:
            del self.sent_claims[key]

    def _is_own(self, grant: Grant) -> bool:
        return grant.holder == self.holder and grant.incarnation == self.incarnation

    def _is_earlier_run(self, grant: Grant) -> bool:
        # The peer address is bound by this run, so the earlier run has ended.
        return grant.holder == self.holder and grant.incarnation != self.incarnation

    def _add_drift(self, length: float) -> float:
        return length * (1 + CLOCK_DRIFT_SHARE)
