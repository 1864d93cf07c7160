"""Which service a call goes to, and what is allowed on the way; no I/O."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping

from linnetwood.calls.engine import EngineProfile

PRIORITY_LOWEST = 9


class Repeat(enum.Enum):
    """Say what may be done with a call a second time."""

    MAY = 'may'
    NEVER = 'never'
    RESUME = 'resume'


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service and its part of a route's calls."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route of the configuration; times in seconds."""

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
    # Where it may be served; empty for anywhere.
    regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One service: its connections, and its engines if it has any."""

    name: str
    connection_limit: int
    engine: EngineProfile | None = None
    # Calls a second that a cold endpoint bears from all entries; 0 for any.
    cold_per_s: float = 0
    # How long one is cold after its start.
    cold_start_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where weights are read from."""

    host: str = ''
    port: int = 0
    bytes_per_s: float = 0
    connection_limit: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class CallLimits:
    """What a caller may send and how long it may take; bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_s: float = 3
    idle_s: float = 15


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """Who holds a key."""

    name: str
    priority: int
    # Where its calls may be served; empty for anywhere.
    regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """One configuration of routes, services, limits and keys."""

    revision: int = 0
    version: int = 0
    by_host: Mapping[str, tuple[Route, ...]] = dataclasses.field(
        default_factory=dict,
    )
    services: Mapping[str, Service] = dataclasses.field(default_factory=dict)
    organisations: Mapping[str, Organisation] | None = None
    limits: CallLimits = CallLimits()
    origin: Origin = Origin()

    def find(self, host: str, target: str) -> Route | None:
        """Give the route with the longest prefix that begins the path."""
        path = target.partition('?')[0]
        for route in self.by_host.get(host.partition(':')[0].lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def organisation(self, key: str) -> Organisation | None:
        """Give who holds a key."""
        return (self.organisations or {}).get(key)


def index_by_host(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Order routes by host, the longest prefixes first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(host_routes, key=_longest_prefix_first))
        for host, host_routes in by_host.items()
    }


def _longest_prefix_first(route: Route) -> int:
    return -len(route.prefix)


def pick_service(route: Route, chance: float) -> str:
    """Give the service for a call, by weight; chance runs from 0 to 1."""
    total = sum(share.weight for share in route.shares)
    left = chance * total
    for share in route.shares:
        left -= share.weight
        if left < 0:
            return share.service
    return route.shares[-1].service
