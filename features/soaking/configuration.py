"""Configurations of the soak."""

from __future__ import annotations

__all__ = ["HOST", "PATIENT_SECONDS", "TIMEOUT_SECONDS", "build_configuration"]

TIMEOUT_SECONDS = 2.0
# Requests that may wait for a quarter of it, until the end of a stop of 5 s.
PATIENT_SECONDS = 12.0
HOST = "orders.example"


def build_configuration(version: int) -> dict:
    """Build the document of a version, which has a route of its own beside the lasting ones."""
    routes = {
        "/write/": ("unsafe", TIMEOUT_SECONDS),
        "/read/": ("safe", TIMEOUT_SECONDS),
        "/write-slow/": ("unsafe", PATIENT_SECONDS),
        f"/only-{version}/": ("safe", TIMEOUT_SECONDS),
    }
    return {
        "config-version": version,
        "routes": [
            {
                "name": prefix.strip("/"),
                "hostname": HOST,
                "path-prefix": prefix,
                "route-type": kind,
                "timeout": timeout,
                "target-latency": 0.5,
                "priority": 1,
                "service": "stock",
                "max-attempts": 3,
            }
            for prefix, (kind, timeout) in routes.items()
        ],
        "services": [{"name": "stock", "health-path": "/health", "max-conns": 50}],
    }
