"""Subject: a daemon's explanations of a request that is not sent."""

from __future__ import annotations

import random

from dotterelgate_core import messages
from dotterelgate_core.control_messages import ProbeEnded
from dotterelgate_core.explaining.dry_run import run_dry
from dotterelgate_core.peers import rank_by_rendezvous
from subjects.evacuations import evacuate
from subjects.store_daemon import StoreDaemon, find

SLOTS = 3


class ExplainedDaemon(StoreDaemon):
    """A daemon with two servers in north and one in south."""

    def __init__(self, *, seed=7):
        owner_last = rank_by_rendezvous("s", ("front-1", "front-2"))[1]
        super().__init__(seed=seed, policy="granted_queue", name="front-1")
        self.other = "front-2" if owner_last == "front-1" else "front-3"
        self.path = "/read/x"
        self.configure()
        for offset, (name, zone) in enumerate(
            (("i-1", "north"), ("i-2", "north"), ("i-3", "south"))
        ):
            self.register(
                name, offset=offset, zone=zone, slots=SLOTS, address=f"10.0.0.1:{offset + 1}"
            )
        self.tick()

    def explain(self):
        """Explain a read."""
        call = messages.Call(id=-1, method="GET", host="h", path=self.path, timeout=0.5)
        return run_dry(self.state, call, now=self.now, wall=self.now)

    def end_probe(self, name, **more):
        """Let a server answer a probe."""
        ended = ProbeEnded(
            now=self.now,
            wall=self.now,
            service="s",
            server=name,
            answered=True,
            draining=False,
            **more,
        )
        self.run_control(ended)

    def fill(self, *names):
        """Let servers have as many requests as slots."""
        for name in names:
            self.state.servers.states[name].in_flight = SLOTS

    def read_state(self):
        """Read what an explanation must not change."""
        state = self.state
        return repr(
            (state.servers, state.calls, state.waiting, state.retries, state.times, state.peers)
        )

    def decide(self):
        """Let the same read arrive; returns the server, and the name of the refusal's code."""
        _, orders = self.arrive(self.path)
        sent, refused = find(orders, messages.Dispatch), find(orders, messages.RefuseCall)
        return sent and sent.server.name, refused and refused.refusal.code.name


ACTIONS = {
    "nothing happens": lambda daemon: None,
    "north is evacuated": lambda daemon: evacuate(daemon, {"north"}, 1),
    "both zones are evacuated": lambda daemon: evacuate(daemon, {"north", "south"}, 1),
    "i-2 leaves": lambda daemon: daemon.register(
        "i-2", offset=9, draining=True, slots=SLOTS, address="10.0.0.1:2"
    ),
    "i-2 wants a pause": lambda daemon: daemon.state.servers.states["i-2"].pauses.update(
        {None: daemon.now + 2.0}
    ),
    "i-2 states the limit 0": lambda daemon: daemon.end_probe("i-2", limit=0.0),
    "i-2 is full": lambda daemon: daemon.fill("i-2"),
    "all are full": lambda daemon: daemon.fill("i-1", "i-2", "i-3"),
    "an unknown path is asked for": lambda daemon: setattr(daemon, "path", "/unknown/x"),
}


def draw_daemon(seed: int) -> ExplainedDaemon:
    """Draw a daemon to which some of the actions happened."""
    draw = random.Random(seed)
    daemon = ExplainedDaemon(seed=seed)
    for name in draw.sample(sorted(ACTIONS), 3):
        ACTIONS[name](daemon)
    return daemon
