"""What ``dotterelgate explain`` asks a daemon, and how it shows the answer."""

from __future__ import annotations

import json
import os
from pathlib import Path

import httpx

from dotterelgate_core.organisations.credentials import digest_credential

__all__ = ["build_query", "format_explanation"]

# Names the settings of this VM's daemon.
SETTINGS_VARIABLE = "DOTTERELGATE_NODE_FILE"


def build_query(
    method: str, url: str, at: str, credential_file: Path | None
) -> tuple[str, httpx.QueryParams]:
    """Build the daemon's address and the query; the credential itself is not sent.

    :raises OSError: when a file cannot be read
    :raises ValueError: when the URL has no host, or no daemon is known
    """
    parsed = httpx.URL(url)
    if not parsed.host:
        raise ValueError(f"{url}: no host; write it as http://HOST/PATH")
    query = {"method": method.upper(), "host": parsed.host, "path": parsed.path}
    if credential_file is not None:
        digest = digest_credential(credential_file.read_bytes().strip())
        query["credential"] = digest.hex()
    return at or _find_own_endpoint(), httpx.QueryParams(query)


def _find_own_endpoint() -> str:
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise ValueError("--at: name a daemon, since this VM has none")
    return str(json.loads(Path(path).read_text(encoding="utf-8"))["endpoint"])


def format_explanation(document: dict) -> str:
    """Format a daemon's explanation for people."""
    lines = [f"{document['daemon']}, revision {document['revision']}: {document['result']}"]
    refusal = document["refusal"]
    if refusal is not None:
        line = f"refused with {refusal['status']} {refusal['name']} ({refusal['code']})"
        lines.append(f"{line}: {refusal['reason']}")
        if refusal["retry_after"] is not None:
            lines.append(f"retry after {refusal['retry_after']:.3f} s")
    if "service" not in document:
        return "\n".join(lines)
    lines.append(f"service {document['service']}, route {document['route'] or document['prefix']}")
    lines.append(f"priority of the route {document['priority']}, owner {document['owner']}")
    organisation = document["organisation"]
    if organisation is not None:
        line = f"organisation {organisation['name']}, priority {organisation['priority']}"
        quota = f"{organisation['rate']:g} requests a second, burst {organisation['burst']:g}"
        lines.append(f"{line}, {quota if organisation['rate'] else 'no quota'}")
    lines += [_format_candidate(each, document["server"]) for each in document["candidates"]]
    return "\n".join(lines)


def _format_candidate(candidate: dict, server: str) -> str:
    mark = "*" if candidate["name"] == server else " "
    load = f"{candidate['load']}/{candidate['slots']}"
    seconds = f"{candidate['expected_seconds'] * 1000:.0f} ms"
    reasons = "; ".join(candidate["obstacles"]) or ("chosen" if mark == "*" else "costs more")
    return f"{mark} {candidate['name']:<20}{candidate['zone']:<18}{load:>6}{seconds:>10}  {reasons}"
