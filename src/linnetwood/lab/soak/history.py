"""What callers, servers and operators observed in a run; times in seconds.

All times are of the machine's monotonic clock, which its processes share.
"""

import dataclasses
import enum
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final

# The key that every configuration has.
KEY: Final = 'key-1'
# The host of most routes.
HOST: Final = 'soak.example'
# The fault that an entry, or the stand-ins, had no processor.
PROCESSOR_WAIT: Final = 'waited for a processor'


class CallKind(enum.Enum):
    """The kind of a call, which decides whether it may be repeated."""

    STREAM = 'stream'
    NON_IDEMPOTENT = 'never'
    IDEMPOTENT = 'may'


@dataclasses.dataclass(slots=True)
class Call:
    """One attempt of a caller, and its answer."""

    call_id: str
    kind: CallKind
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
    # When its last byte was written; 0 if it never was.
    written_at: float = 0
    # Whether its connection had carried another call before.
    on_kept_connection: bool = False
    # The configuration whose route or key this has; 0 if it is no probe.
    probes: int = 0
    key: str = KEY
    host: str = HOST
    # The parts of its prompt, in order; the last is its own.
    parts: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class Run:
    """One call that a server began to run."""

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
    # Whether the server crashed while it ran.
    crashed: bool = False


# The writes that may bring a configuration into force: acknowledged ones, and
# those that were sent to the store and not answered.
SENT: Final = 'config sent'
_CONFIGURATIONS: Final = frozenset(('config', SENT))
# The runs of each call, by its id.
Runs = Mapping[str, Sequence[Run]]
# Whether no fault affected an entry before a time.
IsConnected = Callable[[str, float], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """The notice that a server sends in its answers."""

    # Rate limit in calls a second from all entries; 0 for none.
    limit: float = 0
    # Whether it is leaving, also where its record in the store lacks that.
    leaving: bool = False
    # The pause in seconds that it requests as it refuses calls; 0 for none.
    rest_s: float = 0


@dataclasses.dataclass(slots=True)
class Arrival:
    """A call that reached a server, run or not, and the answer's notice."""

    call_id: str
    server: str
    at: float
    said: Notice = Notice()
    # The incarnation of the server that it reached.
    born: int = 0
    # When a silent server began to answer; infinite if it never did, and 0 if
    # it was not silent then.
    held_until: float = 0

    @property
    def notified_at(self) -> float:
        """Return the earliest time at which the notice can be known."""
        return max(self.at, self.held_until)


@dataclasses.dataclass(frozen=True, slots=True)
class AckedWrite:
    """A write that the store acknowledged."""

    what: str
    name: str
    number: int
    at: float
    sent_at: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FaultRecord:
    """A fault, what it affected (everything if `who` is empty), and when."""

    kind: str
    at: float
    until: float
    who: str = ''

    def affects(self, who: str, since: float, until: float) -> bool:
        """Return whether it affected a process or server between two times."""
        applies = not self.who or self.who == who
        return applies and self.at < until and self.until > since


@dataclasses.dataclass(frozen=True, slots=True)
class EndlessAnswer:
    """An answer without end, and the bytes that were taken of it."""

    call_id: str
    server: str
    framing: str
    at: float
    until: float
    taken: int


@dataclasses.dataclass(slots=True)
class History:
    """All observations that are checked."""

    calls: list[Call] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    acked: list[AckedWrite] = dataclasses.field(default_factory=list)
    troubles: list[FaultRecord] = dataclasses.field(default_factory=list)
    # When stand-ins did not run, so that they recorded calls late.
    stalls: list[FaultRecord] = dataclasses.field(default_factory=list)
    # Silences of sound servers, which excuse nothing.
    silences: list[FaultRecord] = dataclasses.field(default_factory=list)
    # Reloads of entries, which are planned and excuse nothing.
    reloads: list[FaultRecord] = dataclasses.field(default_factory=list)
    endless: list[EndlessAnswer] = dataclasses.field(default_factory=list)
    # Errors that servers detected themselves, such as wrong weights.
    found: list[str] = dataclasses.field(default_factory=list)

    def newest_acked(self, what: str, before: float) -> int:
        """Return the newest number that was acknowledged by a time, or 0."""
        numbers = (
            one.number
            for one in self.acked
            if one.what == what and one.at <= before
        )
        return max(numbers, default=0)

    def newest_sent(self, by: float) -> int:
        """Return the newest configuration that was sent by a time, or 0."""
        numbers = (
            one.number
            for one in self.acked
            if one.what in _CONFIGURATIONS and one.sent_at <= by
        )
        return max(numbers, default=0)

    def is_fault_free(self, who: str, since: float, until: float) -> bool:
        """Return whether no fault affected a process or server in between."""
        return not any(one.affects(who, since, until) for one in self.troubles)

    def is_recorded_in_time(self, since: float, until: float) -> bool:
        """Return whether the stand-ins ran all the while."""
        return not any(
            one.at < until and one.until > since for one in self.stalls
        )


def decode_arrivals(rows: list[dict[str, Any]]) -> list[Arrival]:
    """Decode the arrivals that a stand-in returns."""
    return [Arrival(**{**row, 'said': Notice(**row['said'])}) for row in rows]


def decode_runs(rows: list[dict[str, Any]]) -> list[Run]:
    """Decode the runs that a stand-in returns."""
    return [Run(**row) for row in rows]


def describe(rule: str, call: Call, detail: str) -> str:
    """Return the description of a violation that a call shows."""
    return (
        f'{rule} {call.sent_at:.3f} {call.call_id} by {call.entry}: '
        f'{call.status} {detail}'
    )
