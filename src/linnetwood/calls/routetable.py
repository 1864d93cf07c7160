"""Routes, services, limits and API keys of one configuration; no I/O."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping

from linnetwood.calls.engine import EngineProfile
from linnetwood.calls.prioritylevels import PriorityLevels

PRIORITY_LOWEST = 9


class Repeat(enum.Enum):
    """Whether a call may be sent a second time."""

    MAY = 'may'
    NEVER = 'never'
    # A stream may go on elsewhere from behind the last event that was sent.
    RESUME = 'resume'


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route of the configuration; times in seconds.

    `target_s` is promised for the first event of a stream, `gap_s` for the
    longest pause between two events; 0 stands for no promise.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    streams: bool
    timeout_s: float
    target_s: float
    gap_s: float
    attempts: int
    priority: int
    public: bool
    shares: tuple[Share, ...]
    # Regions in which its calls may be served; empty for any.
    regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One service: its connection limit, and its engines if it has any."""

    name: str
    connection_limit: int
    engine: EngineProfile | None = None
    # Limit on calls per second to a cold endpoint from all entries together; 0
    # for none.
    cold_per_s: float = 0
    # How long an endpoint is cold after its start, in seconds.
    cold_start_s: float = 0
    # One level where the configuration has no different priorities.
    levels: PriorityLevels = PriorityLevels()


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The store that weights are read from."""

    host: str = ''
    port: int = 0
    bytes_per_s: float = 0
    connection_limit: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits on callers: sizes in bytes, times in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_s: float = 3
    idle_s: float = 15


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """The organisation that holds an API key."""

    name: str
    priority: int
    # Regions in which its calls may be served; empty for any.
    regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """One configuration of routes, services, limits and API keys."""

    revision: int = 0
    version: int = 0
    by_host: Mapping[str, tuple[Route, ...]] = dataclasses.field(
        default_factory=dict,
    )
    services: Mapping[str, Service] = dataclasses.field(default_factory=dict)
    organisations: Mapping[str, Organisation] | None = None
    limits: CallLimits = CallLimits()
    origin: Origin = Origin()

    def has_engines(self, name: str) -> bool:
        """Return whether a service is known, and its endpoints are engines."""
        service = self.services.get(name)
        return service is not None and service.engine is not None

    def find(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of the path, if any."""
        path = target.partition('?')[0]
        for route in self.by_host.get(host_name(host), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def replaces(self, in_force: 'RouteTable') -> bool:
        """Return whether this is to be in force in place of another one.

        The higher version is. Of two that differ under one version it is the
        one that was written last, as entries that start read only that one.
        """
        if self.version != in_force.version:
            return self.version > in_force.version
        if self.revision <= in_force.revision:
            return False
        return dataclasses.replace(self, revision=in_force.revision) != in_force

    def without_priorities(self) -> 'RouteTable':
        """Return this configuration with one priority level per service."""
        services = {
            name: dataclasses.replace(service, levels=PriorityLevels())
            for name, service in self.services.items()
        }
        return dataclasses.replace(self, services=services)

    def organisation(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key, if any."""
        return (self.organisations or {}).get(key)


def index_by_host(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host in lower case, the longest prefixes first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(host_name(route.host), []).append(route)
    return {
        host: tuple(sorted(host_routes, key=_longest_prefix_first))
        for host, host_routes in by_host.items()
    }


def host_name(host: str) -> str:
    """Return a host without its port, in lower case."""
    name, bracket, _ = host.partition(']')
    if not bracket:
        # An address that begins with a colon has no port.
        name = host.partition(':')[0] or host
    return f'{name}{bracket}'.lower()


def _longest_prefix_first(route: Route) -> int:
    return -len(route.prefix)


def pick_service(route: Route, chance: float) -> str:
    """Choose a service by weight; `chance` is in [0, 1)."""
    total = sum(share.weight for share in route.shares)
    left = chance * total
    for share in route.shares:
        left -= share.weight
        if left < 0:
            return share.service
    return route.shares[-1].service
