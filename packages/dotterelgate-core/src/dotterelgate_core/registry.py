"""Backend servers that register themselves in the platform's store."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_core.configuration import BackendServer
from dotterelgate_core.control_messages import ControlTicked
from dotterelgate_core.eras import EntryVersion, Position, StoreEra, merge_versions
from dotterelgate_core.messages import Decision, SlotFreed
from dotterelgate_core.warm_up.coldness import apply_cold_entry, follow_service

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState

__all__ = [
    "Registration",
    "RegistrationRead",
    "RegistryListed",
    "RegistryState",
    "StoreEraNamed",
    "StoreRecovered",
    "StoreRestored",
    "make_registry_filter",
]

# Entries that expired while the store was unavailable are written again within about
# two seconds of its recovery, as the users state; one missing then counts as removed.
RECOVERY_SECONDS = 2.2
# Connection limit of a backend server whose service sets none.
DEFAULT_CONNECTIONS = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class Registration:
    """A backend server's own entry in the registry.

    :param slots: requests that it runs concurrently
    :param cold_seconds: seconds after its start during which it is slow
    :param born: Unix millisecond of its start, if the entry states it
    :param write: number of this write, counted by the server from its start; 0 where it does not
    """

    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    cold_seconds: float = 0.0
    born: int | None = None
    write: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class RegistrationRead:
    """The newest entry of one backend server.

    :param offset: position of the entry among all writes of an era; the highest one wins
    :param registration: ``None`` when the entry was removed or is unusable
    :param reason: why ``registration`` is ``None``
    :param source: where it was read: the store or a peer
    :param era: era of the store in which it was written
    :param removed_run: of a removed entry, the start of the run that wrote it last, and the number
        of that write, where the source knows them
    """

    now: float
    name: str
    offset: int
    registration: Registration | None
    reason: str = ""
    source: str = "the store"
    era: int = 0
    removed_run: tuple[int, int] | None = None

    @property
    def version(self) -> EntryVersion:
        """Which write of the entry it is."""
        registration = self.registration
        run = self.removed_run if registration is None else None
        if registration is not None and registration.write:
            run = (registration.born or 0, registration.write)
        return EntryVersion(position=Position(era=self.era, offset=self.offset), run=run)


@dataclass(frozen=True, kw_only=True, slots=True)
class RegistryListed:
    """All entries were listed; those registered here and not listed are removed.

    :param end: position up to which the list is complete
    """

    now: float
    names: frozenset[str]
    end: Position


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreRecovered:
    """The store answers again after an outage."""

    now: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreEraNamed:
    """An answer of the store, or a peer that reads it, named the store's era.

    :param source: who named it
    """

    now: float
    era: int
    source: str = "the store"


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreRestored:
    """Order to check what this daemon wrote, since the store was restored from a copy."""

    era: int


@dataclass(kw_only=True, slots=True)
class RegistryState:
    """What this daemon has read of the registry.

    :param versions: which write of each backend server's entry is known
    :param era: the store's era
    :param lapsed: names of entries missing since an outage of the store, with the
        monotonic second from which they count as removed
    :param recovered_at: monotonic second at which the store answered again
    :param is_unavailable: whether the store is unavailable to this daemon
    """

    versions: dict[str, EntryVersion] = field(default_factory=dict)
    era: StoreEra = field(default_factory=StoreEra)
    lapsed: dict[str, float] = field(default_factory=dict)
    recovered_at: float = float("-inf")
    is_unavailable: bool = False

    def is_news(self, read: RegistrationRead) -> bool:
        """Return whether an entry supersedes what is known of it."""
        return merge_versions(self.versions.get(read.name), read.version)[1]


def make_registry_filter(state: DaemonState, registry: RegistryState) -> Filter:
    """Build the filter that keeps the backend servers in step with the registry."""

    def register(message: Message) -> Iterable[Message]:
        if isinstance(message, RegistrationRead):
            return _apply_entry(state, registry, message)
        if isinstance(message, RegistryListed):
            return _remove_unlisted(state, registry, message)
        if isinstance(message, StoreRecovered):
            return _apply_recovery(registry, message.now)
        if isinstance(message, StoreEraNamed):
            return _note_era(registry, message)
        if isinstance(message, ControlTicked):
            return [*_remove_lapsed(state, registry, message.now), message]
        return (message,)

    return register


def _apply_recovery(registry: RegistryState, now: float) -> list[Message]:
    registry.is_unavailable = False
    registry.recovered_at = now
    for name in registry.lapsed:
        registry.lapsed[name] = now + RECOVERY_SECONDS
    return []


def _note_era(registry: RegistryState, named: StoreEraNamed) -> list[Message]:
    if not registry.era.note(named.era):
        return []
    sentence = f"it was restored; era {named.era} begins, learned from {named.source}"
    return [
        # Entries written since the copy was taken are missing until they are written again.
        *_apply_recovery(registry, named.now),
        StoreRestored(era=named.era),
        Decision(part="store", sentence=sentence, facts={"era": named.era}),
    ]


def _apply_entry(
    state: DaemonState, registry: RegistryState, read: RegistrationRead
) -> list[Message]:
    version, is_news = merge_versions(registry.versions.get(read.name), read.version)
    registry.versions[read.name] = version
    if not is_news:
        return []
    if read.registration is None:
        return _remove_entry(state, registry, read)
    registry.lapsed.pop(read.name, None)
    return _apply_registration(state, read, read.registration)


def _apply_registration(
    state: DaemonState, read: RegistrationRead, registration: Registration
) -> list[Message]:
    before = state.servers.states.get(read.name)
    service = state.configuration.find_service(registration.service)
    connections = service.connections if service is not None else 0
    server = BackendServer(
        name=read.name,
        address=registration.address,
        zone=registration.zone,
        slots=registration.slots,
        connections=connections or DEFAULT_CONNECTIONS,
        draining=registration.is_draining,
        born=registration.born,
    )
    if before is not None and before.server == server:
        return [*apply_cold_entry(before, registration.cold_seconds, read.now)]
    added = state.servers.add_or_update(registration.service, server)
    added.is_evacuated = registration.zone in state.evacuations.list_evacuated()
    follow_service(added, service, read.now)
    cold_lines = apply_cold_entry(added, registration.cold_seconds, read.now)
    status = "is leaving; it gets no new requests" if registration.is_draining else "can be used"
    sentence = f"{read.name} {status} (entry {read.offset} from {read.source})"
    return [
        Decision(
            part="registry",
            sentence=sentence,
            service=registration.service,
            target=read.name,
        ),
        *cold_lines,
        SlotFreed(now=read.now, service=registration.service),
    ]


def _remove_entry(
    state: DaemonState, registry: RegistryState, read: RegistrationRead
) -> list[Message]:
    if read.name not in state.servers.states:
        return []
    since = read.now - registry.recovered_at
    if registry.is_unavailable or since < RECOVERY_SECONDS:
        registry.lapsed[read.name] = max(read.now, registry.recovered_at + RECOVERY_SECONDS)
        sentence = f"{read.name}: entry lapsed while the store was unavailable; waiting for it"
        return [Decision(part="registry", sentence=sentence, target=read.name)]
    return [
        _remove_server(
            state, read.name, f"{read.reason or 'its entry was removed'} (from {read.source})"
        )
    ]


def _remove_server(state: DaemonState, name: str, reason: str) -> Decision:
    state.servers.remove(name)
    sentence = f"{name} is removed: {reason}; it gets no new requests"
    return Decision(part="registry", sentence=sentence, target=name)


def _remove_unlisted(
    state: DaemonState, registry: RegistryState, listed: RegistryListed
) -> list[Message]:
    messages: list[Message] = []
    for name in list(state.servers.states):
        if name in listed.names or registry.versions[name].position >= listed.end:
            continue
        missing = RegistrationRead(
            now=listed.now,
            name=name,
            offset=listed.end.offset - 1,
            registration=None,
            era=listed.end.era,
        )
        messages.extend(_apply_entry(state, registry, missing))
    return messages


def _remove_lapsed(state: DaemonState, registry: RegistryState, now: float) -> list[Message]:
    if registry.is_unavailable or not registry.lapsed:
        return []
    due = [name for name, at in registry.lapsed.items() if at <= now]
    for name in due:
        del registry.lapsed[name]
    return [
        _remove_server(state, name, "its entry is still missing after the store recovered")
        for name in due
        if name in state.servers.states
    ]
