"""The state behind one daemon's decisions."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_core.allowances.table import QuotaTable
from dotterelgate_core.calls import CallTable
from dotterelgate_core.configuration import ConfigurationState
from dotterelgate_core.evacuations.state import EvacuationState
from dotterelgate_core.hedging.table import HedgingTable
from dotterelgate_core.owners import OwnerTable
from dotterelgate_core.queueing.queues import WaitingTable
from dotterelgate_core.retries import BudgetTable
from dotterelgate_core.servers import ServerTable
from dotterelgate_core.splits import SplitTable
from dotterelgate_core.suspects import SuspectTable
from dotterelgate_core.warm_up.shares import ShareState
from dotterelgate_core.work_times import WorkTimes

if TYPE_CHECKING:
    from dotterelgate_core.handovers import HandoverTable
    from dotterelgate_core.keys import KeyTable
    from dotterelgate_core.leases import LeaseTable
    from dotterelgate_core.peers import PeerTable

__all__ = ["DaemonState", "Limits", "LogPosition", "PlannedStop"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Settings that the filters use.

    :param key_ranges: leased ranges that the idempotency keys are divided into
    :param clock_error: seconds by which wall clocks of two VMs may differ
    :param holder_wait: seconds that a keyed request may wait for a holder
    :param retry_attempts: maximum number of dispatches of one request
    :param quota_window: seconds over which the quotas of organisations hold
    :param hedging_share: second attempts allowed for each request, 0 for none
    :param hedging_slots: share of a service's slots that must be free for one
    """

    key_ranges: int = 32
    clock_error: float = 0.25
    holder_wait: float = 2.0
    retry_attempts: int = 3
    quota_window: float = 5.0
    hedging_share: float = 0.0
    hedging_slots: float = 0.3


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedStop:
    """A graceful stop of this daemon.

    :param late_at: monotonic second from which on requests are taken only if they end in time
    :param ends_at: monotonic second at which what is in progress is cut off
    """

    late_at: float
    ends_at: float


@dataclass(kw_only=True, slots=True)
class DaemonState:
    """The state that the filters share; each part belongs to one module.

    :param zone: availability zone of this daemon
    :param zone_daemons: number of live daemons in this zone, this one included
    :param stop: the graceful stop, once it began
    :param live_zones: number of zones with live daemons, this one included
    :param regions: region of each availability zone, by the settings
    """

    name: str
    zone: str = ""
    zone_daemons: int = 1
    live_zones: int = 1
    regions: dict[str, str] = field(default_factory=dict)
    limits: Limits
    peers: PeerTable
    leases: LeaseTable
    keys: KeyTable
    configuration: ConfigurationState = field(default_factory=ConfigurationState)
    calls: CallTable = field(default_factory=CallTable)
    servers: ServerTable = field(default_factory=ServerTable)
    waiting: WaitingTable = field(default_factory=WaitingTable)
    retries: BudgetTable = field(default_factory=BudgetTable)
    splits: SplitTable = field(default_factory=SplitTable)
    times: WorkTimes = field(default_factory=WorkTimes)
    owners: OwnerTable = field(default_factory=OwnerTable)
    suspects: SuspectTable = field(default_factory=SuspectTable)
    evacuations: EvacuationState = field(default_factory=EvacuationState)
    quotas: QuotaTable = field(default_factory=QuotaTable)
    hedging: HedgingTable = field(default_factory=HedgingTable)
    shares: ShareState = field(default_factory=ShareState)
    handovers: HandoverTable | None = None
    stop: PlannedStop | None = None

    @property
    def can_decide(self) -> bool:
        """Whether this daemon has a configuration and backend servers."""
        return self.configuration.current is not None and bool(self.servers.states)


@dataclass(kw_only=True, slots=True)
class LogPosition:
    """How far this daemon has read the log, and the last record of the configuration in force.

    :param confirm_interval: seconds between confirmations of the configuration
    :param missing_since: monotonic second since which the log no longer retains that record
    """

    confirm_interval: float
    read_to: int | None = None
    oldest: int = 0
    confirmed_offset: int = -1
    confirmed_at: float = float("-inf")
    confirm_ordered_at: float = float("-inf")
    missing_since: float | None = None
