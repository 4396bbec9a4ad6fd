"""Settings of one daemon, read from JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, TypeVar, get_type_hints

import msgspec

from dotterelgate_border.problems import InvalidDocumentError, load_json

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["Address", "CommonSettings", "DaemonSettings", "StoreDaemonSettings", "read_settings"]

AnySettings = TypeVar("AnySettings", bound="CommonSettings")

_OCTET = r"(?:25[0-5]|2[0-4]\d|1?\d?\d)"
_PORT = r"(?:6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]\d{4}|\d{1,4})"
_ADDRESS = rf"^{_OCTET}(?:\.{_OCTET}){{3}}:{_PORT}$"
_NAME = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
_MESSAGES = {
    _ADDRESS: "must be an IPv4 number and a port such as 10.0.0.5:8080",
    _NAME: "must be letters, digits, dots, hyphens and underscores",
}


def _describe(text: str) -> msgspec.Meta:
    return msgspec.Meta(description=text)


def _bound(least: float, most: float, text: str | None = None) -> msgspec.Meta:
    return msgspec.Meta(ge=least, le=most, description=text)


Address = Annotated[str, msgspec.Meta(pattern=_ADDRESS)]
Zone = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
Name = Annotated[str, msgspec.Meta(pattern=_NAME)]


class CommonSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that every daemon has; times are in seconds, sizes in bytes."""

    name: Annotated[Name, _describe("name of this VM, as the platform lists it")]
    zone: Annotated[str, _describe("availability zone of this VM")]
    callers: Annotated[Address, _describe("address on which callers are served")]
    peers: Annotated[Address, _describe("address for messages from other daemons")]
    endpoint: Annotated[Address, _describe("address of health, metrics and status")]
    platform_timeout: Annotated[float, _bound(0.1, 60)] = 2.0
    platform_answer_limit: Annotated[
        int, _bound(65_536, 1_073_741_824, "largest answer of the platform's services")
    ] = 33_554_432
    head_limit: Annotated[int, _bound(1024, 1_048_576)] = 32_768
    kept_body_limit: Annotated[int, _bound(0, 16_777_216)] = 262_144
    stop_limit: Annotated[float, _bound(0, 3600, "longest graceful stop")] = 60.0
    stop_linger: Annotated[float, _bound(0, 120, "seconds for the load balancer to react")] = 2.0
    connection_idle: Annotated[float, _bound(0.1, 3600)] = 30.0
    caller_connections: Annotated[int, _bound(1, 60_000)] = 2000
    memory_limit: Annotated[
        float, _bound(100_000_000, 1_099_511_627_776, "bytes of memory that the VM has")
    ] = 200_000_000
    descriptor_limit: Annotated[
        int, _bound(500, 1_048_576, "descriptors that the process may have open")
    ] = 4100
    caller_link_rate: Annotated[
        float, _bound(0, 1e10, "bytes a second of the slowest link that a VM's callers share")
    ] = 625_000
    head_line_limit: Annotated[int, _bound(16, 1_048_576, "header lines of a request")] = 4096
    empty_line_limit: Annotated[int, _bound(0, 1_048_576, "empty lines before a request")] = 1000
    unfinished_body_limit: Annotated[
        int, _bound(1, 60_000, "incomplete bodies of one address while memory is short")
    ] = 64


class DaemonSettings(CommonSettings, frozen=True, kw_only=True):
    """All settings of ``dotterelgated``."""

    log: Annotated[Address, _describe("address of the platform's log service")]
    vms: Annotated[Address, _describe("address of the platform's list of VMs")]
    log_poll: Annotated[float, _bound(0.01, 10, "seconds between log reads")] = 0.25
    vms_poll: Annotated[float, _bound(0.05, 60, "seconds between VM list reads")] = 1.0
    lease_length: Annotated[float, _bound(2, 7200, "seconds of a lease")] = 900.0
    key_ranges: Annotated[int, _bound(1, 1024, "the same on every daemon")] = 32
    key_retention: Annotated[float, _bound(1, 86400)] = 600.0
    key_limit: Annotated[int, _bound(1, 5_000_000)] = 200_000
    clock_error: Annotated[float, _bound(0, 10, "largest difference of wall clocks")] = 0.25
    holder_wait: Annotated[float, _bound(0, 30)] = 2.0


class StoreDaemonSettings(CommonSettings, frozen=True, kw_only=True):
    """All settings of a daemon that follows a platform's keyed store."""

    # Pages and reads of the store have 1 MB at most.
    platform_answer_limit: Annotated[int, _bound(65_536, 1_073_741_824)] = 4_194_304
    store: Annotated[Address, _describe("address of the platform's store")]
    metrics: Annotated[Address, _describe("address of the metrics for the platform")]
    zones: Annotated[dict[Zone, Zone], _describe("region of each availability zone")] = {}
    retry_share: Annotated[float, _bound(0, 1, "retries allowed per request")] = 0.1
    retry_burst: Annotated[float, _bound(0, 100, "retries that a service can save up")] = 1.5
    quota_window: Annotated[float, _bound(1, 60, "seconds over which quotas hold")] = 5.0
    hedging_share: Annotated[
        float, _bound(0, 0.2, "second attempts allowed for each request; 0 for none")
    ] = 0.0
    hedging_slots: Annotated[
        float, _bound(0, 1, "share of a service's slots that must be free for one")
    ] = 0.3


def read_settings(path: Path, model: type[AnySettings], given: str = "{}") -> AnySettings:
    """Read a JSON file of settings and check every value.

    :param given: JSON object of settings that the environment gives; the file goes before them
    :raises InvalidDocumentError: with a line for each problem
    """
    document = load_json(path)
    if not isinstance(document, dict):
        raise InvalidDocumentError(problems=[f"{path}: must be a JSON object; correct the file"])
    document = {**_decode_given(given), **document}
    types = get_type_hints(model, include_extras=True)
    required = {field.name for field in msgspec.structs.fields(model) if field.required}
    problems = [
        f"{path}: {key}: not a known key; remove it or correct its spelling"
        for key in document
        if key not in types
    ]
    problems += [f"{path}: {key}: missing; add it" for key in sorted(required - set(document))]
    values = {}
    for key in document.keys() & types.keys():
        try:
            values[key] = msgspec.convert(document[key], types[key])
        except msgspec.ValidationError as error:
            problems.append(f"{path}: {key}: {_explain(error)}; got {document[key]!r}")
    if problems:
        raise InvalidDocumentError(problems=sorted(problems))
    return model(**values)


def _decode_given(given: str) -> dict[str, object]:
    try:
        return msgspec.json.decode(given, type=dict[str, object])
    except msgspec.MsgspecError as error:
        problem = f"the settings of the environment: {error}; correct them"
        raise InvalidDocumentError(problems=[problem]) from error


def _explain(error: msgspec.ValidationError) -> str:
    message = str(error)
    messages = (text for pattern, text in _MESSAGES.items() if repr(pattern)[1:-1] in message)
    return next(messages, message)
