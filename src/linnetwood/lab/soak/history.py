"""What callers, back ends and operators saw in one run; times in seconds.

All times are of the machine's steady clock, which its processes share.
"""

import dataclasses
import enum
from typing import Any


class Kind(enum.Enum):
    """What may be done with a call a second time."""

    STREAM = 'stream'
    NEVER = 'never'
    MAY = 'may'


@dataclasses.dataclass(slots=True)
class Call:
    """One try of a caller, and what it got."""

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
    # The configuration of whose routes this asks, if it is a probe.
    probes: int = 0


@dataclasses.dataclass(slots=True)
class Run:
    """One call that a back end began."""

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
    # The server ended under it.
    crashed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Saying:
    """What a back end says of itself in its answers."""

    # Calls a second that it takes from all; 0 for any number.
    limit: float = 0
    # It leaves; what stands of it in the store need not say so.
    leaving: bool = False
    # It turns calls away, and wants so long a rest in seconds.
    rest_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One call that reached a back end, begun or not, and what it was told."""

    call_id: str
    server: str
    at: float
    said: Saying = Saying()
    # Which life of the back end it reached.
    born: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Acked:
    """Something that the store acknowledged to whoever wrote it."""

    what: str
    name: str
    number: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Trouble:
    """A fault, who had it (nobody named: all), and for how long."""

    kind: str
    at: float
    until: float
    who: str = ''

    def touches(self, who: str, since: float, until: float) -> bool:
        """Tell whether it lay on somebody in a span of time."""
        mine = not self.who or self.who == who
        return mine and self.at < until and self.until > since


@dataclasses.dataclass(slots=True)
class History:
    """All that is checked."""

    calls: list[Call] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    acked: list[Acked] = dataclasses.field(default_factory=list)
    troubles: list[Trouble] = dataclasses.field(default_factory=list)
    # What back ends found wrong by themselves, as engines with weights.
    found: list[str] = dataclasses.field(default_factory=list)

    def calm(self, who: str, since: float, until: float) -> bool:
        """Tell whether no fault lay on somebody."""
        return not any(one.touches(who, since, until) for one in self.troubles)


def arrivals_of(rows: list[dict[str, Any]]) -> list[Arrival]:
    """Read the arrivals that a stand-in tells."""
    return [Arrival(**{**row, 'said': Saying(**row['said'])}) for row in rows]


def runs_of(rows: list[dict[str, Any]]) -> list[Run]:
    """Read the runs that a stand-in tells."""
    return [Run(**row) for row in rows]
