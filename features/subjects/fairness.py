"""Subject: organisations that share the slots of a zone under load, without a network."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from dotterelgate_core.calls import CallState
from dotterelgate_core.configuration import Organisation, Route, Service
from dotterelgate_core.messages import Call, CallRouted
from dotterelgate_core.owners import is_ranked_first
from dotterelgate_core.queueing.fair_queues import FairQueue
from subjects.zone import CallerRequest, ZoneLoad

# Usual shares of the organisations fall with this power of their rank.
SHARE_POWER = -1.2


@dataclass(kw_only=True)
class OrganisationsLoad(ZoneLoad):
    """A zone under the load of many organisations.

    :param count: number of organisations
    :param peak: number of the organisation that has a load peak, from 0, the largest
    :param peak_factor: its rate relative to the usual one
    :param is_fair: whether daemons know the organisations; otherwise first in, first out
    :param ranks: number of ranks that the organisations have in turn
    :param killed_at: second at which the owner is killed
    """

    count: int = 81
    peak: int = 0
    peak_factor: float = 1.0
    is_fair: bool = True
    ranks: int = 1
    killed_at: float = float("inf")
    sent: Counter = field(default_factory=Counter)
    answered: Counter = field(default_factory=Counter)
    refused_early: Counter = field(default_factory=Counter)

    def run(self) -> OrganisationsLoad:
        """Run the load to its end."""
        self._numbers = {b"%d" % number: number for number in range(self.count)}
        self._weights = [(1 + number) ** SHARE_POWER for number in range(self.count)]
        self._weights[self.peak] *= self.peak_factor
        self._choices = random.Random(self.seed)
        if self.is_fair:
            self.organisations = tuple(
                Organisation(
                    name=f"organisation-{number}",
                    credentials=frozenset((credential,)),
                    priority=number % self.ranks,
                )
                for credential, number in self._numbers.items()
            )
        super().run()
        return self

    def compute_share(self, numbers=None) -> float:
        """Return the share of the requests of some or all organisations that were answered."""
        numbers = range(self.count) if numbers is None else numbers
        sent = sum(self.sent[each] for each in numbers)
        return sum(self.answered[each] for each in numbers) / max(1, sent)

    def list_least(self, least_sent: int) -> list[tuple[float, int]]:
        """List the answered shares of those with enough requests, the least first."""
        return sorted(
            (self.compute_share([each]), each)
            for each, sent in self.sent.items()
            if sent >= least_sent
        )

    def _run_step(self, step: int, second: float) -> None:
        super()._run_step(step, second)
        if second >= self.killed_at:
            self.killed_at = float("inf")
            self._daemons = [
                each for each in self._daemons if not is_ranked_first(each.state, "s", self.now)
            ]

    def _build_request(self, second: float) -> CallerRequest:
        (credential,) = self._choices.choices(list(self._numbers), self._weights)
        self.sent[self._numbers[credential]] += 1
        return CallerRequest(first_sent_at=self.now, credential=credential)

    def _count_answer(self, request: CallerRequest) -> None:
        super()._count_answer(request)
        self.answered[self._numbers[request.credential]] += 1

    def _count_refusal(self, key: tuple, order: object) -> None:
        number = self._numbers[self._calls[key].credential]
        self.refused_early[number] += "expected wait" in order.refusal.reason
        super()._count_refusal(key, order)


class PlainQueue:
    """The order of earlier builds: a list; calls that can reach their target go first."""

    def __init__(self):
        self.calls = []

    def add(self, call):
        """Append a call."""
        self.calls.append(call)

    def add_first(self, call):
        """Put a call at the head."""
        self.calls.insert(0, call)

    def take_next(self, now):
        """Remove the next call and return it, or None."""
        waiting = [call for call in self.calls if call.queued]
        chosen = next((call for call in waiting if call.can_reach_target(now)), None)
        chosen = chosen or (waiting[0] if waiting else None)
        if chosen is not None:
            self.calls.remove(chosen)
        return chosen


@dataclass
class QueuePair:
    """A queue and the plain one beside it, which get the same calls."""

    random: random.Random
    fair: FairQueue = field(default_factory=FairQueue)
    plain: PlainQueue = field(default_factory=PlainQueue)
    states: dict = field(default_factory=dict)
    now: float = 0.0

    def step(self):
        """Add, end or serve a call; returns what each queue served."""
        self.now += self.random.random() * 0.02
        event = self.random.random()
        if event < 0.5:
            call = build_call(len(self.states), self.now, self.random.choice((0.1, 0.5)))
            self.states[call.call.id] = call
            name = "add_first" if event < 0.1 else "add"
            getattr(self.fair, name)(call)
            getattr(self.plain, name)(call)
        elif event < 0.65 and self.plain.calls:
            self.random.choice(self.plain.calls).queued = False
        else:
            return self.serve(), self.plain.take_next(self.now)
        return None, None

    def serve(self):
        """Serve the next call of the fair queue."""
        waiting = self.fair.find_next(self.states, self.now)
        if waiting is None:
            return None
        self.fair.take(waiting)
        return waiting.call_state


def build_call(number, now, target=0.2, organisation=""):
    """Build a call that waits, whose work is 0.05 s."""
    route = Route(prefix="/", idempotent=True, timeout=1.0, target=target)
    routed = CallRouted(
        now=now,
        wall=0.0,
        call=Call(id=number, method="GET", host="h", path="/"),
        service=Service(name="s", servers=(), routes=(route,)),
        route=route,
        deadline=now + 1.0,
    )
    return CallState(
        routed=routed, arrived=now, work=0.05, queued=True, organisation_name=organisation
    )
