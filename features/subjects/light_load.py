"""Subject: the choice of backend servers while reads come one after another."""

from __future__ import annotations

import random

from dotterelgate_core.configuration import BackendServer
from dotterelgate_core.policies import make_policies
from dotterelgate_core.servers import ServerState

USUAL_SECONDS = 0.02
LONGEST_SECONDS = 60.0


class LightLoad:
    """One daemon's choices; each read has ended before the next one comes."""

    def __init__(self, *, policy, servers):
        self._choose = make_policies(random.Random(1))[policy].choose
        self._now = 100.0
        self._states = {}
        for number in range(servers):
            name = f"i-{number}"
            server = BackendServer(name=name, address="127.0.0.1:1", slots=3, connections=10)
            self._states[name] = ServerState(server=server)

    def answer(self, name, seconds):
        """Let a backend server answer one read."""
        self._states[name].record_success(self._now, seconds)

    def find_first_choice(self, name, *, rate):
        """Send reads until a backend server is chosen; return after how many seconds it is."""
        start = self._now
        while self._now - start < LONGEST_SECONDS:
            self._now += 1.0 / rate
            chosen = self._choose(list(self._states.values()), None, self._now)
            if chosen is self._states[name]:
                return self._now - start
            chosen.record_success(self._now, USUAL_SECONDS)
        return float("inf")
