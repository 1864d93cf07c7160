"""Keep the accepted connections of a listener within their number."""

import asyncio
import enum
import math
import sys
from typing import Protocol

from linnetwood.core.events import Event, log
from linnetwood.core.metrics import Metric, Metrics, NoMetrics

# A crowd is one line in this time, with a count.
_LOG_PERIOD_S = 5.0


class Stage(enum.Enum):
    """What a connection is used for now."""

    IDLE = enum.auto()
    # A part of a request has arrived.
    REQUEST = enum.auto()
    # A whole request is being served.
    BUSY = enum.auto()


class Accepted(Protocol):
    """A connection that was accepted."""

    @property
    def stage(self) -> Stage:
        """Return what it is used for now."""

    def close(self) -> None:
        """Close it; it must be discarded then."""


class ConnectionLimit:
    """Close connections on which nothing is served once there are too many.

    Of these the one that was used longest ago goes first, and one on which a
    part of a request has arrived only if none is idle. If all others are busy,
    the newest is closed: nothing was read on it.
    """

    __slots__ = ('_closed', '_conns', '_logged_at', '_metrics', '_name', 'most')

    def __init__(
        self,
        name: str,
        most: int = sys.maxsize,
        metrics: Metrics | None = None,
    ) -> None:
        """Allow so many connections; `name` is the listener's in logs."""
        self.most = most
        self._name = name
        self._metrics = metrics or NoMetrics()
        # In the order of their last use.
        self._conns: dict[Accepted, None] = {}
        # Since the last line about it.
        self._closed = 0
        self._logged_at = -math.inf

    def add(self, conn: Accepted) -> None:
        """Count a new connection, and close one if there are too many."""
        if len(self._conns) >= self.most:
            idle = self._first(Stage.IDLE)
            victim = idle or self._first(Stage.REQUEST) or conn
            self.discard(victim)
            victim.close()
            self._note_closed()
            if victim is conn:
                return
        self._conns[conn] = None

    def note_used(self, conn: Accepted) -> None:
        """Note that a connection was used just now."""
        if conn in self._conns:
            # Added anew, it comes last.
            self.discard(conn)
            self._conns.setdefault(conn)

    def discard(self, conn: Accepted) -> None:
        """Count a connection that has ended no longer."""
        self._conns.pop(conn, None)

    def _first(self, stage: Stage) -> Accepted | None:
        """Return the connection of a stage that was used longest ago."""
        return next((one for one in self._conns if one.stage is stage), None)

    def _note_closed(self) -> None:
        self._closed += 1
        self._metrics.count(Metric.CONNECTIONS_CLOSED, kind=self._name)
        now = asyncio.get_running_loop().time()
        if now < self._logged_at + _LOG_PERIOD_S:
            return
        self._logged_at = now
        log(
            Event.CONNECTIONS_CLOSED,
            listener=self._name,
            closed=self._closed,
            most=self.most,
        )
        self._closed = 0
