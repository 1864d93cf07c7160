"""What callers, servers and operators saw in one run; times in seconds.

All times are of the machine's monotonic clock, which its processes share.
"""

import dataclasses
import enum
from typing import Any


class Kind(enum.Enum):
    """Whether a call may be repeated."""

    STREAM = 'stream'
    NEVER = 'never'
    MAY = 'may'


@dataclasses.dataclass(slots=True)
class Call:
    """One attempt of a caller, and its answer."""

    call_id: str
    kind: Kind
    entry: str
    path: str
    sent_at: float
    patience_s: float
    status: int = 0
    ended_at: float = 0
    whole: bool = False
    signature: str = ''
    body: str = ''
    left_at: float = 0
    # The configuration whose route this calls; 0 if it is no probe.
    probes: int = 0


@dataclasses.dataclass(slots=True)
class Run:
    """One call that a server began."""

    call_id: str
    server: str
    service: str
    at: float
    version: int
    wait_ms: int
    signature: str
    tenant: str = ''
    body: str = ''
    ended_at: float = 0
    finished: bool = False
    # The server crashed under it.
    crashed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Saying:
    """The notice that a server sends in its answers."""

    # Rate limit in calls a second from all entries; 0 for none.
    limit: float = 0
    # It is leaving, whether or not its record in the store says so.
    leaving: bool = False
    # It refuses calls, and asks for this pause in seconds.
    rest_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One call that reached a server, begun or not, and the notice it got."""

    call_id: str
    server: str
    at: float
    said: Saying = Saying()
    # The incarnation of the server that it reached.
    born: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Acked:
    """A write that the store acknowledged."""

    what: str
    name: str
    number: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Trouble:
    """A fault, whom it affected (all if nobody is named), and when."""

    kind: str
    at: float
    until: float
    who: str = ''

    def touches(self, who: str, since: float, until: float) -> bool:
        """Return whether it affected somebody in a span of time."""
        mine = not self.who or self.who == who
        return mine and self.at < until and self.until > since


@dataclasses.dataclass(slots=True)
class History:
    """Everything that is checked."""

    calls: list[Call] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    acked: list[Acked] = dataclasses.field(default_factory=list)
    troubles: list[Trouble] = dataclasses.field(default_factory=list)
    # Faults that servers found themselves, as in their weights.
    found: list[str] = dataclasses.field(default_factory=list)

    def calm(self, who: str, since: float, until: float) -> bool:
        """Return whether no fault affected somebody."""
        return not any(one.touches(who, since, until) for one in self.troubles)


def arrivals_of(rows: list[dict[str, Any]]) -> list[Arrival]:
    """Decode the arrivals that a stand-in returns."""
    return [Arrival(**{**row, 'said': Saying(**row['said'])}) for row in rows]


def runs_of(rows: list[dict[str, Any]]) -> list[Run]:
    """Decode the runs that a stand-in returns."""
    return [Run(**row) for row in rows]
