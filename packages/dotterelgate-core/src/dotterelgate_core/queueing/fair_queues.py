"""Start-time fair queue of the waiting calls of one rank."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import floor
from operator import attrgetter
from typing import TYPE_CHECKING

from dotterelgate_core.queueing.arrival_shares import ArrivalShares

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from dotterelgate_core.calls import CallState

__all__ = ["FairQueue", "WaitingCall"]

# No organisation may be served less than a quarter as often as all. Weights aim at this share,
# since calls that waited too long are refused beside it: at three times the capacity, the largest
# of 81 organisations was served 0.23 times as often as all with a share of 0.25.
LEAST_SERVED_SHARE = 0.3
# Flows remembered that have no waiting calls; the one whose service passes first is forgotten.
MAX_SERVED = 256

# Cost of a call without a known work time, so that every call served costs its flow something.
MIN_COST_SECONDS = 0.001

_get_position = attrgetter("position")
_get_order = attrgetter("start", "sequence")


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitingCall:
    """A call in the queue.

    :param position: order within its flow; lower goes first
    :param cost: expected seconds of work
    """

    call_state: CallState
    flow: str
    position: int
    cost: float

    def has_ended(self, states: Mapping[int, CallState]) -> bool:
        """Return whether the call no longer waits in this queue."""
        current = states.get(self.call_state.call.id)
        return current is not self.call_state or not current.queued


@dataclass(kw_only=True, slots=True)
class Flow:
    """The calls of one organisation, and the service that they had.

    :param start: virtual second at which its next call starts
    :param sequence: order among flows with the same start
    :param reachable: calls that could still reach their target when last checked
    :param late: calls that no longer can, by position
    :param cost: cost of all its calls
    :param weight: its weight when it last joined the backlog or was served
    :param is_backlogged: whether it stands in the backlog
    """

    name: str
    start: float
    sequence: int
    reachable: deque[WaitingCall] = field(default_factory=deque)
    late: list[WaitingCall] = field(default_factory=list)
    cost: float = 0.0
    weight: float = 1.0
    is_backlogged: bool = False

    def __len__(self) -> int:
        """Count the calls, including those that ended and were not dropped yet."""
        return len(self.reachable) + len(self.late)

    def get_first(self) -> WaitingCall | None:
        """Return the call with the lowest position."""
        if not self.late or not self.reachable:
            return self.late[0] if self.late else (self.reachable or (None,))[0]
        return min(self.late[0], self.reachable[0], key=_get_position)

    def drop_ended(self, states: Mapping[int, CallState]) -> None:
        """Drop the calls at the head that have ended."""
        first = self.get_first()
        while first is not None and first.has_ended(states):
            self.remove(first)
            first = self.get_first()

    def find_reachable(self, states: Mapping[int, CallState], now: float) -> WaitingCall | None:
        """Return the first call that can still reach its target.

        A call that cannot reach it now never will, so it is checked only until then.
        """
        self.drop_ended(states)
        while self.reachable:
            first = self.reachable[0]
            if not first.has_ended(states) and first.call_state.can_reach_target(now):
                return first
            insort(self.late, self.reachable.popleft(), key=_get_position)
        return None

    def remove(self, waiting: WaitingCall) -> None:
        """Remove the first call of either kind."""
        if self.reachable and self.reachable[0] is waiting:
            self.reachable.popleft()
        else:
            self.late.pop(0)
        self.cost -= waiting.cost


@dataclass(kw_only=True, slots=True)
class FairQueue:
    """Waiting calls of one rank, served by start-time fair queueing over organisations.

    A flow that was served may start again only after the cost of that service in virtual time.
    Its record is kept until virtual time has passed that, or until the queue is empty. Weights
    are equal, except where an equal share would serve an organisation less than
    ``LEAST_SERVED_SHARE`` as often as all.

    :param virtual: virtual second: the start of the call served last
    :param flows: by organisation, those that wait and those whose service has not passed
    :param backlog: flows with waiting calls, ordered by start
    :param served: ends of service of flows that have no waiting calls, as a heap
    :param arrivals: shares of the organisations in what arrived, refused calls included
    """

    virtual: float = 0.0
    flows: dict[str, Flow] = field(default_factory=dict)
    backlog: list[Flow] = field(default_factory=list)
    served: list[tuple[float, str]] = field(default_factory=list)
    arrivals: ArrivalShares = field(default_factory=ArrivalShares)
    _last_position: int = 0
    _first_position: int = 0
    _last_sequence: int = 0

    def __len__(self) -> int:
        """Count the calls, including those that ended and were not dropped yet."""
        return sum(map(len, self.backlog))

    def __iter__(self) -> Iterator[CallState]:
        """Iterate over the calls by flow; some may have ended already."""
        for flow in self.backlog:
            for waiting in (*flow.late, *flow.reachable):
                yield waiting.call_state

    def add(self, call_state: CallState) -> None:
        """Append a call to its organisation's flow."""
        self._last_position += 1
        flow, waiting = self._enter(call_state, self._last_position)
        flow.reachable.append(waiting)

    def add_first(self, call_state: CallState) -> None:
        """Put a retried call at the head of its organisation's flow."""
        self._first_position -= 1
        flow, waiting = self._enter(call_state, self._first_position)
        flow.reachable.appendleft(waiting)

    def find_next(self, states: Mapping[int, CallState], now: float) -> WaitingCall | None:
        """Find the call to serve next: of those that can still reach their target, or of all."""
        for flow in self.backlog:
            waiting = flow.find_reachable(states, now)
            if waiting is not None:
                return waiting
        # No call can reach its target, so each flow holds late ones only, if any.
        self.drop_ended(states)
        return self.backlog[0].get_first() if self.backlog else None

    def drop_ended(self, states: Mapping[int, CallState]) -> None:
        """Drop the ended calls at the heads of all flows, and the flows that wait for nothing."""
        for flow in self.backlog.copy():
            flow.drop_ended(states)
            if not len(flow):
                self._leave_backlog(flow)
                heappush(self.served, (flow.start, flow.name))
        self._forget_passed()

    def take(self, waiting: WaitingCall) -> None:
        """Remove the call that ``find_next`` returned, and charge its organisation for it."""
        flow = self.flows[waiting.flow]
        flow.weight = self._compute_weight(flow.name)
        self._leave_backlog(flow)
        flow.remove(waiting)
        # A flow that was passed over, since its calls were late, keeps no claim for that time.
        self.virtual = max(self.virtual, flow.start)
        flow.start = self.virtual + waiting.cost / flow.weight
        if len(flow):
            self._join_backlog(flow)
        else:
            heappush(self.served, (flow.start, flow.name))
        self._forget_passed()

    def count_ahead(self, organisation: str) -> int:
        """Count the waiting calls that would be served before a new one of an organisation."""
        own = self.flows.get(organisation)
        start, ahead = self.virtual, 0
        if own is not None:
            start, ahead = max(start, own.start) + own.cost / own.weight, len(own)
        for flow in self.backlog:
            if flow is not own:
                ahead += _count_before(flow, start - max(self.virtual, flow.start))
        return ahead

    def _compute_weight(self, organisation: str) -> float:
        """Compute a weight of at least 1.

        With a least share of a quarter, weights above 1 are ``share * flows / 3``. The sum of all
        is then at most ``4 / 3 * flows``, so each gets a quarter of its share of arrivals or more.
        """
        share = self.arrivals.find(organisation)
        factor = LEAST_SERVED_SHARE / (1.0 - LEAST_SERVED_SHARE)
        return max(1.0, share * len(self.backlog) * factor)

    def _enter(self, call_state: CallState, position: int) -> tuple[Flow, WaitingCall]:
        name = call_state.organisation_name
        cost = max(MIN_COST_SECONDS, call_state.work)
        waiting = WaitingCall(call_state=call_state, flow=name, position=position, cost=cost)
        flow = self.flows.get(name)
        if flow is None:
            flow = self.flows[name] = Flow(name=name, start=self.virtual, sequence=0)
        if not flow.is_backlogged:
            self._last_sequence += 1
            flow.sequence = self._last_sequence
            flow.weight = self._compute_weight(name)
            flow.start = max(flow.start, self.virtual)
            self._join_backlog(flow)
        flow.cost += cost
        return flow, waiting

    def _join_backlog(self, flow: Flow) -> None:
        flow.is_backlogged = True
        insort(self.backlog, flow, key=_get_order)

    def _leave_backlog(self, flow: Flow) -> None:
        flow.is_backlogged = False
        del self.backlog[bisect_left(self.backlog, _get_order(flow), key=_get_order)]

    def _forget_passed(self) -> None:
        if not self.backlog:
            self.flows.clear()
            self.served.clear()
            self.virtual = 0.0
            return
        if len(self.served) > MAX_SERVED:
            self.virtual = max(self.virtual, self.served[0][0])
        while self.served and self.served[0][0] <= self.virtual:
            name = heappop(self.served)[1]
            flow = self.flows.get(name)
            if flow is not None and not flow.is_backlogged and flow.start <= self.virtual:
                del self.flows[name]


def _count_before(flow: Flow, span: float) -> int:
    """Count the calls of a flow that start within a span of virtual time."""
    if span < 0.0:
        return 0
    count = len(flow)
    if flow.cost <= 0.0:
        return count
    return min(count, floor(span * flow.weight * count / flow.cost) + 1)
