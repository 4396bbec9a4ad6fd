"""Metrics of one daemon for the platform's collector."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

__all__ = ["Metrics"]

LATENCY_BUCKETS_SECONDS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)


class Metrics:
    """All metrics, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.answers = Counter(
            "dotterelgate_answers", "Answers by result", ["result"], registry=self.registry
        )
        self.latency = Histogram(
            "dotterelgate_latency_seconds",
            "Seconds from whole request to answer",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "dotterelgate_in_flight", "Requests in progress", registry=self.registry
        )
        self.dispatches = Counter(
            "dotterelgate_dispatches",
            "Requests sent, by backend server",
            ["server"],
            registry=self.registry,
        )
        self.second_attempts = Counter(
            "dotterelgate_second_attempts",
            "Second attempts of slow requests, by result",
            ["result"],
            registry=self.registry,
        )
        self.handovers = Counter(
            "dotterelgate_handovers",
            "Requests handed to a peer, by purpose",
            ["purpose"],
            registry=self.registry,
        )
        self.measuring_seconds = Counter(
            "dotterelgate_measuring_seconds",
            "Slot seconds of backend servers charged to probes",
            ["service"],
            registry=self.registry,
        )
        self.revision = Gauge(
            "dotterelgate_configuration_revision",
            "Revision of the configuration in force",
            registry=self.registry,
        )
        self.configuration_problems = Gauge(
            "dotterelgate_configuration_problems",
            "Routes, services and organisations of the configuration that cannot be used",
            registry=self.registry,
        )
        self.configuration_age = Gauge(
            "dotterelgate_configuration_age_seconds",
            "Seconds since the configuration was known to be the newest in the store",
            registry=self.registry,
        )
        self.store_era = Gauge(
            "dotterelgate_store_era",
            "Era of the store, which rises each time it is restored from a copy",
            registry=self.registry,
        )
        self.statements = Gauge(
            "dotterelgate_server_statements",
            "Backend servers that state that they leave, are cold, want nothing, or name a limit",
            ["kind"],
            registry=self.registry,
        )
        self.evacuated = Gauge(
            "dotterelgate_evacuated",
            "Evacuated zones, their backend servers, and servers that return to use in steps",
            ["kind"],
            registry=self.registry,
        )
        self.waiting = Gauge(
            "dotterelgate_waiting",
            "Requests that wait for a slot here, and the organisations that they come from",
            ["kind"],
            registry=self.registry,
        )
        self.suspects = Gauge(
            "dotterelgate_suspect_requests",
            "Requests under which backend servers ended, and those refused for it",
            ["kind"],
            registry=self.registry,
        )
        self.quota_calls = Counter(
            "dotterelgate_quota_calls",
            "Calls of organisations with a quota, by the source of their token, none if refused",
            ["source"],
            registry=self.registry,
        )
        self.quota_wait = Histogram(
            "dotterelgate_quota_wait_seconds",
            "Seconds that calls waited for a token or for its refusal",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.quota_share = Gauge(
            "dotterelgate_quota_share",
            "Part of each quota that the lender of this zone lends, and the safe share in use",
            ["kind"],
            registry=self.registry,
        )
        self.control_bytes = Counter(
            "dotterelgate_control_bytes",
            "Bytes sent for control, by channel",
            ["channel"],
            registry=self.registry,
        )

        self.datagrams_dropped = Counter(
            "dotterelgate_datagrams_dropped",
            "Datagrams to peers that the kernel did not take",
            registry=self.registry,
        )
        self.log_lines_dropped = Counter(
            "dotterelgate_log_lines_dropped",
            "Log lines dropped because nobody read the earlier ones",
            registry=self.registry,
        )
        self.caller_memory = Gauge(
            "dotterelgate_caller_memory_bytes",
            "Bytes that callers make the daemon hold, and the most that they may",
            ["kind"],
            registry=self.registry,
        )
        self.caller_connections = Gauge(
            "dotterelgate_caller_connections",
            "Open connections of callers, and the most that there may be",
            ["kind"],
            registry=self.registry,
        )
        self.callers_closed = Counter(
            "dotterelgate_callers_closed",
            "Callers refused or closed for a limit, by reason",
            ["reason"],
            registry=self.registry,
        )
        self.caller_pauses = Counter(
            "dotterelgate_caller_pauses",
            "Times that reading or accepting paused, by reason",
            ["reason"],
            registry=self.registry,
        )
        self.probes = Counter(
            "dotterelgate_probes", "Probes by outcome", ["outcome"], registry=self.registry
        )

    def render(self) -> bytes:
        """Render all metrics in the text format."""
        return generate_latest(self.registry)
