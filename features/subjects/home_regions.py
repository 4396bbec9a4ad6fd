"""Subject: a daemon whose calls are restricted to home regions."""

from __future__ import annotations

import json

from dotterelgate_core import messages
from dotterelgate_core.organisations.credentials import digest_credential
from dotterelgate_core.store_control import ConfigurationStored
from dotterelgate_core.store_reading import StoreReadEnded
from dotterelgate_platform.configurations import make_configuration_decoder
from subjects.evacuations import evacuate
from subjects.organisations import HOST, build_route
from subjects.store_daemon import StoreDaemon, find

REGIONS = {"north": "one", "east": "one", "south": "two"}
ZONES = ("north", "east", "south", "west")
SLOTS = 3
TICKS = 6
TICK_SECONDS = 1.0
REVISION = 7


class HomeDaemon(StoreDaemon):
    """A daemon with a server in each zone."""

    def __init__(self):
        super().__init__(policy="granted_queue", name="front-1")
        self.state.regions = REGIONS
        for offset, zone in enumerate(ZONES):
            self.register(f"i-{zone}", offset=offset, service="stock", zone=zone, slots=SLOTS)

    def restrict(self, route, organisation):
        """Put a configuration with home regions in force."""
        document = {
            "config-version": REVISION,
            "routes": [build_route("/orders/", homes=route)],
            "services": [{"name": "stock"}],
            "tenants": [
                {"name": "one", "api-keys": ["key-one"], "homes": organisation},
                {"name": "two", "api-keys": ["key-two"]},
            ],
        }
        configuration = make_configuration_decoder(0.2)(json.dumps(document).encode())
        assert configuration.revision == REVISION and not configuration.problems, configuration
        stored = ConfigurationStored(now=self.now, configuration=configuration, source="a test")
        self.run_control(stored)
        self.tick()

    def send(self, key="key-one"):
        """Let a call arrive; returns its orders."""
        self.next_id += 1
        call = messages.Call(
            id=self.next_id,
            method="GET",
            host=HOST,
            path="/orders/1",
            credential=digest_credential(key.encode()),
        )
        return self.run(messages.CallArrived(now=self.now, wall=self.now, call=call))

    def send_many(self, count):
        """Let calls arrive one after the other; returns what became of them, each kind once."""
        outcomes = set()
        for _ in range(count):
            orders = self.send()
            sent, refused = find(orders, messages.Dispatch), find(orders, messages.RefuseCall)
            outcomes.add(sent.server.name if sent else f"refused with {refused.refusal.code.name}")
            if sent:
                self._pass_time()
                self.answer(self.next_id, sent.server.name)
        return outcomes

    def _pass_time(self):
        """Let time go by, with ticks and reads of the store, without which keys are not checked."""
        for _ in range(TICKS):
            self.now += TICK_SECONDS
            self.run_control(StoreReadEnded(now=self.now))
            self.tick()


ACTIONS = {
    "nothing happens": lambda daemon: None,
    "south is full": lambda daemon: setattr(
        daemon.state.servers.states["i-south"], "in_flight", SLOTS
    ),
    "south is evacuated": lambda daemon: evacuate(daemon, {"south"}, 1),
    "north is evacuated": lambda daemon: evacuate(daemon, {"north"}, 1),
}
