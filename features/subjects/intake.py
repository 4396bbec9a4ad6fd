"""Subjects: the decisions on clients, and one reader of requests."""

from __future__ import annotations

from dotterelgate_daemon.intake.closing import choose_evicted, choose_replaced, judge_pace
from dotterelgate_daemon.intake.heads import HeadLimits
from dotterelgate_daemon.intake.holdings import Awaited, Holding
from dotterelgate_daemon.request_reader import RequestReader

NOW = 100.0


class Clients:
    """Clients by name, as the decisions see them."""

    def __init__(self):
        self.holdings = {}

    def add(self, name, *, held=0, awaited="request", since=0.0, waits=False, address="a", got=0):
        """Add a client.

        :param since: seconds since its last progress
        """
        self.holdings[name] = Holding(
            address=address,
            opened_at=NOW - since,
            held=held,
            awaited=Awaited(awaited),
            received=got,
            progressed_at=NOW - since,
            window_at=NOW - since,
            waits_for_memory=waits,
        )

    def choose_evicted(self, *, excess, short_for=0.0, crowded=()):
        """Return the names of those to close to free memory."""
        pairs = [(holding, name) for name, holding in self.holdings.items()]
        return choose_evicted(
            pairs,
            excess=excess,
            now=NOW,
            short_since=NOW - short_for,
            crowded=frozenset(crowded),
        )

    def choose_replaced(self, *, count):
        """Return the names of those to close for further callers."""
        pairs = [(holding, name) for name, holding in self.holdings.items()]
        return choose_replaced(pairs, now=NOW, count=count)

    def judge_pace(self, name, least_rate):
        """Judge how fast a client is."""
        return judge_pace(self.holdings[name], now=NOW, least_rate=least_rate).value


class Requests:
    """A reader of requests with limits."""

    def __init__(self, *, size, lines, empty_lines):
        limits = HeadLimits(size=size, lines=lines, empty_lines=empty_lines)
        self.heads, self.bodies, self.refusals, self.ended = [], [], [], 0
        self.blocked = False
        self.reader = RequestReader(
            head_limit=size,
            begin=self.heads.append,
            body=self.bodies.append,
            end=self._end,
            refuse=lambda code, reason: self.refusals.append(code.status),
            find_limits=lambda: limits,
            is_blocked=lambda: self.blocked,
        )

    def _end(self):
        self.ended += 1
